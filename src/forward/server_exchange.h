#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "forward/forward_core.h"
#include "waxwingwing/streaming/event_splitter.h"

namespace waxwingwing {

/// The head of a backend server's answer, and its body unless it is passed on as it arrives.
struct server_answer {
  unsigned status = 0;
  std::string reason;
  http_fields fields;
  answer_facts facts;
  std::string body;
};

/// What is sent to a backend server, and how its answer is treated.
struct exchange_plan {
  dispatch_candidate target;
  std::string request;
  request_id id;
  bool head_only = false;
  /// Pass events on as they arrive instead of collecting the answer.
  bool stream = false;
  /// The last event that the caller has.
  std::optional<std::uint64_t> last_event;
  /// Time within which the answer should begin.
  duration objective{};
  /// Longest wait for the answer to begin.
  duration first_limit{};
  time_point deadline{};
};

/// Takes the events of a stream.
class event_receiver {
 public:
  virtual ~event_receiver() = default;
  /// Whole events that follow what was received before; `answer` has the head of this answer.
  virtual void OnEvents(const server_answer& answer, std::string_view events) = 0;
  /// Waits while the caller is too slow; false when it is gone.
  virtual awaitable<bool> WaitForCaller() = 0;
  /// Whether the request may be moved to another server now.
  virtual bool CanMove() = 0;
};

enum class exchange_end {
  /// The whole answer was received; events were passed on.
  kComplete,
  /// No byte of the request left this VM.
  kNotSent,
  /// The request may have run; there is no whole answer.
  kBroken,
  /// Ended from outside, see `cut`.
  kCut,
};

enum class exchange_cut { kNone, kCallerLeft, kDeadline, kConnectLimit, kFirstLimit, kStall };

const char* NameOf(exchange_cut cut);

/// One request to one backend server, from connecting to the end of the answer.
class server_exchange {
 public:
  server_exchange(forward_core& core, exchange_plan plan, event_receiver& receiver);
  ~server_exchange();
  server_exchange(const server_exchange&) = delete;
  server_exchange& operator=(const server_exchange&) = delete;

  awaitable<exchange_end> Run();
  /// Ends the exchange; closing the connection tells the server to stop.
  void Cut(exchange_cut cut);
  /// Checks time limits and the silence of the server's streams.
  void Check(time_point now);

  const server_answer& answer() const { return answer_; }
  server_answer& answer() { return answer_; }
  exchange_cut cut() const { return cut_; }
  const std::string& failure() const { return failure_; }
  bool begun() const { return begun_; }
  /// Whether the answer is a stream whose events were passed on.
  bool passes_events() const { return pass_events_; }
  /// The last event that was passed on or that the caller had.
  std::optional<std::uint64_t> last_event() const { return splitter_.last_id(); }

 private:
  using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  awaitable<bool> Connect();
  awaitable<exchange_end> Send();
  awaitable<bool> ReadHead();
  awaitable<bool> ReadBody();
  awaitable<bool> SkipBody();
  bool TakeBytes(std::string_view bytes);
  void AnswerBegun();
  void CheckStall(time_point now, server_load& load);
  /// Whether a wait for the first event is the server's fault.
  bool IsStuck(time_point now, const server_load& load) const;
  exchange_end Failed(std::string_view step, const error_code& error);
  void Finish();

  forward_core& core_;
  const exchange_plan plan_;
  event_receiver& receiver_;
  std::unique_ptr<server_connection> connection_;
  std::optional<parser_type> parser_;
  event_splitter splitter_;
  server_answer answer_;
  std::string failure_;
  time_point started_at_{};
  std::optional<time_point> sent_at_;
  bool pass_events_ = false;
  bool begun_ = false;
  bool stall_reported_ = false;
  bool congestion_noted_ = false;
  exchange_cut cut_ = exchange_cut::kNone;
};

}  // namespace waxwingwing
