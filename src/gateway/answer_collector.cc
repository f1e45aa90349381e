#include "gateway/answer_collector.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "gateway/async_event.h"

namespace waxwingwing {
namespace {

// Buffer accounts do not notify waiters when bytes are released, so they are polled.
constexpr milliseconds kAccountPollInterval{20};

}  // namespace

answer_collector::answer_collector(request_context& context)
    : context_(context), account_(context.core.accounts.Find(*context.organisation)) {}

answer_collector::~answer_collector() { account_->Release(byte_count(content_.size())); }

awaitable<push_result> answer_collector::Push(const std::string&,
                                              const engine_stream::event_result& token) {
  const gateway_settings& settings = context_.core.settings;
  const byte_count added(token.content.size());
  if (byte_count(content_.size()) + added > settings.max_collected_answer) {
    co_return push_result::kTooLarge;
  }
  async_event pause(context_.executor());
  const time_point reserve_deadline = std::chrono::steady_clock::now() + settings.stall_timeout;
  while (!account_->TryReserve(added)) {
    const time_point now = std::chrono::steady_clock::now();
    if (context_.caller->gone()) co_return push_result::kCallerGone;
    if (now >= reserve_deadline) co_return push_result::kBufferFull;
    co_await pause.WaitUntil(now + kAccountPollInterval);
  }
  content_ += token.content;
  if (!token.finish_reason.empty()) finish_reason_ = token.finish_reason;
  ++tokens_;
  co_return push_result::kTaken;
}

awaitable<bool> answer_collector::WaitUntilRead() {
  // `Push` never returns `kStalled`: the caller gets the answer only when it is complete.
  co_return false;
}

awaitable<void> answer_collector::Complete() {
  nlohmann::json message;
  message["role"] = "assistant";
  message["content"] = content_;
  nlohmann::json choice;
  choice["index"] = 0;
  choice["message"] = std::move(message);
  choice["finish_reason"] = finish_reason_;
  nlohmann::json document;
  document["id"] = context_.id.str();
  document["object"] = "chat.completion";
  document["model"] = context_.model_group->id.str();
  document["choices"] = nlohmann::json::array({std::move(choice)});
  document["usage"]["completion_tokens"] = tokens_;
  context_.answer.body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  co_return;
}

awaitable<void> answer_collector::Fail(const refusal& reason) {
  context_.Refuse(reason);
  co_return;
}

}  // namespace waxwingwing
