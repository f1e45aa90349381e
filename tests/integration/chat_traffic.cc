#include "tests/integration/chat_traffic.h"

#include "tests/integration/serving_deployment.h"

namespace waxwingwing::integration {
namespace {

constexpr std::uint64_t kTokens = 5;
constexpr milliseconds kPeriod{20};
constexpr milliseconds kTimeout{3000};

}  // namespace

chat_traffic::chat_traffic(const std::vector<std::string>& caller_addresses) {
  for (const std::string& address : caller_addresses) {
    threads_.emplace_back([this, address] { Run(address); });
  }
}

void chat_traffic::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

void chat_traffic::Run(const std::string& address) {
  event_stream::settings options;
  options.timeout = kTimeout;
  for (std::uint64_t number = 0; !stopped_; ++number) {
    const std::string text = "request " + std::to_string(number) + " at " + address;
    event_stream stream(address, "/v1/chat/completions", CallerHeaders(), ChatBody(text, kTokens),
                        options);
    const stream_answer& answer = stream.ReadAll();
    if (IsWhole(answer, text, kTokens)) {
      ++whole_;
    } else if (answer.done) {
      ++wrong_;
    } else {
      ++failed_;
    }
    std::this_thread::sleep_for(kPeriod);
  }
}

}  // namespace waxwingwing::integration
