#include <atomic>
#include <cctype>
#include <iostream>
#include <thread>

#include "../common/net.h"

namespace review {
namespace {

constexpr std::size_t kCallers = 24;
constexpr milliseconds kPeriod{30000};
/// The route's time-out and half a second.
constexpr milliseconds kAnswerLimit{4500};
/// Pause of a caller between two calls.
constexpr milliseconds kPause{60};

struct counts {
  std::atomic<std::size_t> calls{0};
  std::atomic<std::size_t> answered{0};
  std::atomic<std::size_t> unanswered{0};
  std::atomic<std::size_t> malformed{0};
};

bool IsStatusLine(const std::string& line) {
  const std::string start = "HTTP/1.1 ";
  if (!line.starts_with(start) || line.size() < start.size() + 3) return false;
  const std::string code = line.substr(start.size(), 3);
  for (const char digit : code) {
    if (std::isdigit(static_cast<unsigned char>(digit)) == 0) return false;
  }
  return code >= "100" && code < "600" && (line.size() == 12 || line[12] == ' ');
}

/// Sends one call and reads up to its final answer. Returns whether the connection may be used
/// again.
bool Call(connection& caller, const std::string& id, counts& seen, record_file& record) {
  ++seen.calls;
  caller.Write(WriteCall("/once/a", id, "key-1", "", "confirm"));
  const time_point limit = After(kAnswerLimit);
  for (;;) {
    message head;
    const read_result result = caller.ReadHead(head, limit);
    if (result != read_result::kMessage) {
      ++seen.unanswered;
      record.Write(id + (result == read_result::kEnd ? " connection closed" : " no final answer") +
                   " within 4500 ms");
      return false;
    }
    if (!IsStatusLine(head.start_line)) {
      ++seen.malformed;
      record.Write(id + " got the bytes: " + head.start_line);
      return false;
    }
    // An interim response has no body and is followed by the answer.
    if (head.SecondWord().front() == '1') {
      record.Write(id + " got the interim response: " + head.start_line);
      continue;
    }
    std::string body;
    const std::size_t length = std::stoul("0" + head.Field("Content-Length"));
    if (caller.ReadBody(length, body, limit) != read_result::kMessage) {
      ++seen.unanswered;
      record.Write(id + " answer cut short");
      return false;
    }
    ++seen.answered;
    return head.Field("Connection") != "close";
  }
}

int Run(const std::string& address, const std::string& record_path) {
  record_file record(record_path);
  counts seen;
  const time_point end = After(kPeriod);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::optional<connection> opened;
      for (std::size_t number = 0; std::chrono::steady_clock::now() < end; ++number) {
        if (!opened) opened = connection::Open(address);
        if (!opened) return;
        const std::string id = "call-" + std::to_string(i) + "-" + std::to_string(number);
        if (!Call(*opened, id, seen, record)) opened.reset();
        std::this_thread::sleep_for(kPause);
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  std::cout << seen.calls << ' ' << seen.answered << ' ' << seen.unanswered << ' ' << seen.malformed
            << '\n';
  return 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  return review::Run(argv[1], argv[2]);
}
