#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/serving_deployment.h"
#include "waxwingwing/core/finding.h"

namespace waxwingwing::integration {

/// What a check finds when all is well; a failed comparison with it prints the findings.
inline const std::string kNothing;

/// One call of the plain service through an entry VM.
struct desk_call {
  /// `ip:port` of the entry VM for callers.
  std::string address;
  std::string key;
  std::string body = R"({"confirm":1})";
  milliseconds deadline{2000};
};

result<http_answer> Send(const desk_call& call);
/// Sends on a thread of its own.
std::future<result<http_answer>> SendLater(const desk_call& call);

/// The code of an error answer; empty when the answer is none.
std::string ErrorCode(const http_answer& answer);
/// The `attempt` field of an error answer or error event; empty when there is none.
std::string AttemptOf(const nlohmann::json& error);

/// Number of calls with the key that reached any run of the service.
std::size_t RunsOf(const deployment& running, const std::string& key);
/// Number of requests with the id that reached any run of an engine.
std::size_t RequestsOf(const deployment& running, const std::string& request_id);

/// Applies the base note and waits until every entry VM sees `services` serving plain services and
/// gets an answer from one of them.
void StartDesk(deployment& running, std::size_t services);

/// Streamed chat completions by concurrent callers until stopped. Callers only use sockets, so that
/// the processes stay with the thread of the test.
class chat_callers {
 public:
  struct settings {
    std::vector<std::string> addresses;
    std::size_t callers = 1;
    std::uint64_t max_tokens = 20;
    milliseconds deadline{2000};
    /// Names the texts, so that no two loads share one.
    std::string name = "load";
  };
  struct outcome {
    std::string text;
    std::string address;
    bool whole = false;
    stream_answer answer;
  };

  explicit chat_callers(settings options);
  chat_callers(const chat_callers&) = delete;
  chat_callers& operator=(const chat_callers&) = delete;
  ~chat_callers() { Stop(); }

  std::size_t whole() const { return whole_; }
  /// Ends the load; callers finish their last request.
  std::vector<outcome> Stop();

 private:
  void Call(std::size_t caller);

  settings settings_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> whole_ = 0;
  std::mutex mutex_;
  std::vector<outcome> outcomes_;
  std::vector<std::thread> threads_;
};

/// P5: the answer is whole, or it is an error: a refusal, or a stream with an `event: error`, a
/// correct beginning and no `[DONE]`. Empty when that holds, else what is wrong.
std::string FaultOfAnswer(const stream_answer& answer, const std::string& text,
                          std::uint64_t max_tokens);

/// Numbers of outcomes by status and by the error's code or the failure, for messages of tests.
std::string CountByEnd(const std::vector<chat_callers::outcome>& outcomes);

/// P6: no request whose refusal says `not_run` is in the records of the engines.
finding_list CheckNotRun(const deployment& running,
                         const std::vector<chat_callers::outcome>& outcomes);

}  // namespace waxwingwing::integration
