// What is taken as the end of a response that has neither a length nor chunks.
// g++ 12 needs <utility> before the header of awaitable, which does not include it itself.
#include <utility>
//
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "forward/forward_core.h"
#include "forward/server_exchange.h"
#include "platform/header_codec.h"
#include "tests/unit/run_awaitable.h"
#include "tests/unit/silent_hooks.h"

namespace waxwingwing {
namespace {

using asio::ip::tcp;

const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\n";
const std::string kStreamHead = kHead + "Content-Type: text/event-stream\r\n\r\n";

std::string Event(int number) { return "id: " + std::to_string(number) + "\ndata: x\n\n"; }

/// Keeps the events that an exchange passes on.
class event_receiver final : public exchange_receiver {
 public:
  void OnEvents(const server_exchange& /*exchange*/, std::string_view events) override {
    events_ += events;
  }
  bool IsCallerConnected() override { return true; }
  awaitable<bool> WaitForCaller() override { co_return true; }
  void OnNoProgress(const server_exchange& /*exchange*/, exchange_abort /*reason*/) override {}
  const std::string& events() const { return events_; }

 private:
  std::string events_;
};

/// What a server does after it has written its answer.
enum class server_end {
  /// Closes the connection and takes further ones.
  kRunsOn,
  /// Closes the connection and refuses further ones.
  kEnds,
  /// Closes the connection and resets the next one, but not the one after it.
  kIsFull,
  /// Closes the connection and all further ones, like a proxy whose server has ended.
  kClosesAll,
  /// Closes the connection and, a moment after it has taken the next one, all others.
  kEndsLater,
};

/// A server on loopback and an exchange with it.
class exchange_fixture {
 public:
  exchange_fixture()
      : log_(clock_, "vm", [](std::string_view text) { return text.size(); }),
        selection_({}, failure_domain_id("f"), random_source(1)),
        retries_(1, 1),
        core_({context_, clock_, codec_, selection_, retries_, quarantine_, carriers_, log_,
               metrics_, hooks_},
              {}),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    plan_.target.server = backend_server_id("s1");
    plan_.target.address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    plan_.head = "GET /x HTTP/1.1\r\n\r\n";
    plan_.id = request_id("r1");
    plan_.stream = true;
    plan_.objective = milliseconds(400);
    plan_.first_limit = milliseconds(900);
    plan_.deadline = clock_.Now() + milliseconds(8000);
  }

  exchange_plan& plan() { return plan_; }
  /// Time that passes between the last bytes of the answer and the end of the connection.
  void DelayEnd(milliseconds time) { end_delay_ = time; }
  void AbortAtCheck() { aborts_at_check_ = true; }

  /// Runs the exchange with a server that writes `answer`.
  exchange_outcome Run(const std::string& answer, server_end end) {
    asio::co_spawn(context_, Serve(answer, end), asio::detached);
    exchange_.emplace(core_, plan_, receiver_);
    return RunAwaitable(context_, exchange_->Run());
  }

  const server_exchange& exchange() const { return *exchange_; }
  const std::string& events() const { return receiver_.events(); }
  /// Whether the server takes that many connections in time.
  bool TakesConnections(int count) {
    return RunUntil(context_, [&] { return connections_ >= count; });
  }
  /// Number of connections that the server took.
  int connections() const { return connections_; }
  bool HasIdleConnection() {
    return core_.pool.Take(plan_.target.address, request_id("r2"), clock_.Now()) != nullptr;
  }

 private:
  awaitable<void> Serve(std::string answer, server_end end) {
    error_code error;
    tcp::socket first(context_);
    co_await acceptor_.async_accept(first, StoreError(error));
    ++connections_;
    std::string request;
    co_await asio::async_read_until(first, asio::dynamic_buffer(request), "\r\n\r\n",
                                    StoreError(error));
    co_await asio::async_write(first, asio::buffer(answer), StoreError(error));
    if (end_delay_ > duration::zero()) {
      asio::steady_timer read(context_, milliseconds(50));
      co_await read.async_wait(StoreError(error));
      clock_.Advance(end_delay_);
    }
    if (end == server_end::kEnds) acceptor_.close();
    first.close();
    if (end != server_end::kEnds) co_await TakeOthers(end);
  }

  awaitable<void> TakeOthers(server_end end) {
    error_code error;
    for (;;) {
      auto next = std::make_unique<tcp::socket>(context_);
      co_await acceptor_.async_accept(*next, StoreError(error));
      if (error) co_return;
      ++connections_;
      if (aborts_at_check_) exchange_->Abort(exchange_abort::kCallerLeft);
      const bool resets = end == server_end::kIsFull && connections_ == 2;
      if (resets) {
        next->set_option(asio::socket_base::linger(true, 0));
        // A destructor closes in an orderly way.
        next->close();
      }
      if (end == server_end::kEndsLater) acceptor_.close();
      if (!resets) others_.push_back(std::move(next));
      if (end == server_end::kEndsLater || end == server_end::kClosesAll) others_.clear();
    }
  }

  asio::io_context context_;
  manual_clock clock_;
  header_codec codec_;
  event_log log_;
  server_selection selection_;
  service_retry_budgets retries_;
  prompt_quarantine quarantine_{quarantine_options{}};
  carrier_table carriers_{failure_domain_id("f"), random_source(2)};
  metrics_registry metrics_;
  silent_hooks hooks_;
  forward_core core_;
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<tcp::socket>> others_;
  event_receiver receiver_;
  exchange_plan plan_;
  std::optional<server_exchange> exchange_;
  duration end_delay_{};
  int connections_ = 0;
  bool aborts_at_check_ = false;
};

// Guards against taking the end of a killed server's connection for the end of its stream.
TEST_CASE("a stream that ends with its connection is whole only if its server runs on",
          "[forward]") {
  exchange_fixture fixture;
  const std::string answer = kStreamHead + Event(1) + Event(2);
  SECTION("the server runs on") {
    CHECK(fixture.Run(answer, server_end::kRunsOn) == exchange_outcome::kComplete);
    CHECK(fixture.HasIdleConnection());
  }
  SECTION("the server takes no more connections at the moment") {
    CHECK(fixture.Run(answer, server_end::kIsFull) == exchange_outcome::kComplete);
    CHECK(fixture.TakesConnections(3));
  }
  SECTION("the server has ended") {
    CHECK(fixture.Run(answer, server_end::kEnds) == exchange_outcome::kBroken);
  }
  SECTION("a proxy takes connections and cannot reach the server") {
    CHECK(fixture.Run(answer, server_end::kClosesAll) == exchange_outcome::kBroken);
  }
  SECTION("the server ends while it is checked") {
    CHECK(fixture.Run(answer, server_end::kEndsLater) == exchange_outcome::kBroken);
  }
  CHECK(fixture.events() == Event(1) + Event(2));
}

// Guards against taking an end without an event for a whole stream.
TEST_CASE("a stream that ends with its connection before its first event is not whole",
          "[forward]") {
  exchange_fixture fixture;
  CHECK(fixture.Run(kStreamHead, server_end::kRunsOn) == exchange_outcome::kBroken);
  CHECK(fixture.connections() == 1);
}

TEST_CASE("a resumed stream that ends with its connection may have no more events", "[forward]") {
  exchange_fixture fixture;
  fixture.plan().last_event = 5;
  SECTION("the server runs on") {
    CHECK(fixture.Run(kStreamHead, server_end::kRunsOn) == exchange_outcome::kComplete);
    CHECK_FALSE(fixture.exchange().shows_progress());
  }
  SECTION("the server has ended") {
    CHECK(fixture.Run(kStreamHead, server_end::kEnds) == exchange_outcome::kBroken);
  }
  SECTION("an earlier run broke off within the next event") {
    fixture.plan().more_follow = true;
    CHECK(fixture.Run(kStreamHead, server_end::kRunsOn) == exchange_outcome::kBroken);
  }
  SECTION("it began anew and has not got as far as the earlier run") {
    CHECK(fixture.Run(kStreamHead + Event(3), server_end::kRunsOn) == exchange_outcome::kBroken);
  }
  SECTION("it began anew and has got as far as the earlier run") {
    const std::string answer = kStreamHead + Event(4) + Event(5);
    CHECK(fixture.Run(answer, server_end::kRunsOn) == exchange_outcome::kComplete);
  }
  CHECK(fixture.events().empty());
}

// Guards against taking the end of work that a stalled group has given up for that of a stream.
TEST_CASE("a stream whose connection ends after a long silence is not whole", "[forward]") {
  exchange_fixture fixture;
  fixture.DelayEnd(milliseconds(6000));
  const std::string answer = kStreamHead + Event(1);
  CHECK(fixture.Run(answer, server_end::kRunsOn) == exchange_outcome::kBroken);
  CHECK(fixture.exchange().failure() == "the stream ended after a long silence");
}

TEST_CASE("an answer that ends with its connection is whole only if its server runs on",
          "[forward]") {
  exchange_fixture fixture;
  fixture.plan().stream = false;
  SECTION("with a body, the server runs on") {
    CHECK(fixture.Run(kHead + "\r\nwhole", server_end::kRunsOn) == exchange_outcome::kComplete);
    CHECK(fixture.exchange().response().body == "whole");
  }
  SECTION("with a body, the server has ended") {
    CHECK(fixture.Run(kHead + "\r\npart", server_end::kEnds) == exchange_outcome::kBroken);
  }
  SECTION("without a body, the server runs on") {
    CHECK(fixture.Run(kHead + "\r\n", server_end::kRunsOn) == exchange_outcome::kComplete);
  }
  SECTION("without a body, the server has ended") {
    CHECK(fixture.Run(kHead + "\r\n", server_end::kEnds) == exchange_outcome::kBroken);
  }
  SECTION("with a transfer coding other than chunks, the server has ended") {
    const std::string answer = kHead + "Transfer-Encoding: gzip\r\n\r\npart";
    CHECK(fixture.Run(answer, server_end::kEnds) == exchange_outcome::kBroken);
  }
}

// Guards against distrusting a response that states its end, and against losing a refusal.
TEST_CASE("a response that states its end needs no check of its server", "[forward]") {
  exchange_fixture fixture;
  std::string answer;
  SECTION("a length") {
    fixture.plan().stream = false;
    answer = kHead + "Content-Length: 5\r\n\r\nwhole";
  }
  SECTION("chunks") {
    answer = kHead + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + Event(1) + "\r\n0\r\n\r\n";
  }
  SECTION("a stream of chunks without an event") {
    answer = kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  }
  SECTION("a status without a body") {
    answer = "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\nResponse-Signature: x\r\n\r\n";
  }
  SECTION("the answer to a HEAD request") {
    fixture.plan().head_only = true;
    fixture.plan().stream = false;
    answer = kHead + "\r\n";
  }
  SECTION("a refusal") {
    answer = "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n\r\n{";
  }
  CHECK(fixture.Run(answer, server_end::kEnds) == exchange_outcome::kComplete);
  CHECK(fixture.connections() == 1);
}

TEST_CASE("an exchange that is aborted while its server is checked is not complete", "[forward]") {
  exchange_fixture fixture;
  fixture.AbortAtCheck();
  CHECK(fixture.Run(kStreamHead + Event(1), server_end::kRunsOn) == exchange_outcome::kAborted);
}

}  // namespace
}  // namespace waxwingwing
