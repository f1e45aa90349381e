#include "forward/call_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "platform/header_codec.h"
#include "tests/unit/run_awaitable.h"
#include "tests/unit/silent_hooks.h"
#include "waxwingwing/formation/group_name.h"

namespace waxwingwing {
namespace {

using asio::ip::tcp;

constexpr int kSmallBuffer = 2048;
constexpr std::size_t kLongAnswer = 15000;

/// A session with a caller on loopback. Its service has no server, so each request is refused.
class session_fixture {
 public:
  explicit session_fixture(const forward_options& options = {}, bool small_buffers = false)
      : log_(clock_, "vm", [](std::string_view text) { return text.size(); }),
        selection_({}, failure_domain_id("f"), random_source(1)),
        retries_(1, 1),
        core_({context_, clock_, codec_, selection_, retries_, quarantine_, carriers_, log_,
               metrics_, hooks_},
              options),
        caller_(context_) {
    auto configuration = std::make_shared<traffic_configuration>();
    traffic_route route;
    route.host = "desk.example";
    route.path_prefix = "/";
    route.services = {{service_id("desk"), 1}};
    configuration->AddRoute(route);
    core_.configuration = configuration;
    tcp::acceptor acceptor(context_, {asio::ip::address_v4::loopback(), 0});
    caller_.open(tcp::v4());
    if (small_buffers) {
      // An accepted socket has the options of its acceptor.
      acceptor.set_option(asio::socket_base::send_buffer_size(kSmallBuffer));
      caller_.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    }
    caller_.connect(acceptor.local_endpoint());
    session_ = std::make_shared<call_session>(core_, acceptor.accept());
    asio::co_spawn(context_, session_->Run(), [this](const std::exception_ptr&) { ended_ = true; });
  }

  call_session& session() { return *session_; }
  forward_core& core() { return core_; }
  manual_clock& clock() { return clock_; }
  bool ended() const { return ended_; }

  void Send(const std::string& text) { asio::write(caller_, asio::buffer(text)); }

  /// Sends a request, the last one of its connection, whose answer does not fit into the buffers.
  void SendForLongAnswer() {
    Send("GET /x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nRequest-Id: " +
         std::string(kLongAnswer, 'x') + "\r\n\r\n");
    RunPending();
  }

  void SendRequest(const std::string& id, const std::string& headers = {}) {
    asio::write(caller_, asio::buffer("GET /x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
                                      "\r\n" + headers + "\r\n"));
  }

  /// Sends more than the connection holds while the session reads.
  void SendInParts(std::string_view text) {
    caller_.non_blocking(true);
    RunUntil(context_, [&] {
      error_code error;
      text.remove_prefix(caller_.write_some(asio::buffer(text), error));
      return text.empty();
    });
  }

  /// Sends `text` and then `repeated` again and again until the session ends the connection.
  /// Returns false when the session still reads after `limit` bytes.
  bool EndsBefore(std::size_t limit, const std::string& text, const std::string& repeated) {
    asio::write(caller_, asio::buffer(text));
    caller_.non_blocking(true);
    std::size_t sent = 0;
    bool open = true;
    RunUntil(context_, [&] {
      error_code error;
      sent += caller_.write_some(asio::buffer(repeated), error);
      open = !error || error == asio::error::would_block;
      return !open || sent > limit;
    });
    return !open;
  }

  /// Runs the session until it waits for its caller.
  void RunPending() {
    context_.restart();
    context_.poll();
  }

  /// Runs the session one handler at a time until the answer to the request arrives, and calls
  /// `between` before each. Returns false when the connection ends before; fails when neither
  /// happens.
  template <typename function>
  bool AwaitAnswer(const std::string& id, const function& between) {
    return AwaitText("Request-Id: " + id, between);
  }

  /// The same for any text.
  template <typename function>
  bool AwaitText(const std::string& text, const function& between) {
    return Receive(text, between).find(text) != std::string::npos;
  }

  /// The same; returns all that arrived up to then.
  template <typename function>
  std::string Receive(const std::string& text, const function& between) {
    std::string received;
    error_code error;
    const bool ended = RunUntil(context_, [&] {
      between();
      char bytes[1024];
      caller_.non_blocking(true);
      const std::size_t size = caller_.read_some(asio::buffer(bytes), error);
      received.append(bytes, size);
      const bool open = !error || error == asio::error::would_block;
      return !open || received.find(text) != std::string::npos;
    });
    REQUIRE(ended);
    UNSCOPED_INFO("received: " << received);
    return received;
  }

 private:
  asio::io_context context_;
  manual_clock clock_;
  event_log log_;
  metrics_registry metrics_;
  header_codec codec_;
  server_selection selection_;
  service_retry_budgets retries_;
  prompt_quarantine quarantine_{{}};
  carrier_table carriers_{failure_domain_id("f"), random_source(2)};
  silent_hooks hooks_;
  forward_core core_;
  tcp::socket caller_;
  std::shared_ptr<call_session> session_;
  bool ended_ = false;
};

const char kPost[] = "POST /x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: body\r\n";

std::string Announced(std::size_t size) {
  return kPost + ("Content-Length: " + std::to_string(size)) + "\r\n\r\n";
}

// Guards against closing a kept connection, at a shutdown or when it expires, after the bytes of a
// request were read and before the session has processed them.
TEST_CASE("a request that arrives on a kept connection while it is closed is answered",
          "[forward]") {
  session_fixture fixture;
  fixture.SendRequest("first");
  REQUIRE(fixture.AwaitAnswer("first", [] {}));
  fixture.RunPending();
  fixture.SendRequest("second");
  SECTION("by a shutdown") {
    CHECK(fixture.AwaitAnswer("second", [&] { fixture.session().CloseIfIdle(); }));
  }
  SECTION("because it was idle for long") {
    fixture.clock().Advance(std::chrono::minutes(1));
    CHECK(fixture.AwaitAnswer("second",
                              [&] { fixture.session().CloseIfExpired(fixture.clock().Now()); }));
  }
}

// Guards against using up the memory for what a caller sends without end in place of a body's
// chunk.
TEST_CASE("a request whose chunk has no end is not read without end", "[forward]") {
  session_fixture fixture;
  const std::string head =
      "POST /x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: endless\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t limit = std::size_t{32} << 20U;
  const std::string repeated(std::size_t{64} * 1024, '0');
  SECTION("in its size") { CHECK(fixture.EndsBefore(limit, head, repeated)); }
  SECTION("in its extension") { CHECK(fixture.EndsBefore(limit, head + "5;", repeated)); }
  SECTION("in the trailer") { CHECK(fixture.EndsBefore(limit, head + "0\r\nX: ", repeated)); }
}

// Guards against taking a request for endless that stays within the limits.
TEST_CASE("a request with the largest head and body is answered", "[forward]") {
  session_fixture fixture;
  const std::string head = "POST /x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: large\r\n";
  const std::string long_header = "X: " + std::string(std::size_t{16} * 1024 - 200, 'x') + "\r\n";
  std::string body = "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 3; ++i) body += "100000\r\n" + std::string(0x100000, 'x') + "\r\n";
  fixture.SendInParts(head + long_header + body + "0\r\n\r\n");
  CHECK(fixture.AwaitAnswer("large", [] {}));
}

// Guards against callers that do not read and ask to close: their answers used memory without being
// counted, and kept the connection for good.
TEST_CASE("an answer that is not taken is counted, and ends", "[forward]") {
  session_fixture fixture({}, true);
  fixture.SendForLongAnswer();
  REQUIRE_FALSE(fixture.ended());
  fixture.session().CheckUnsent(fixture.clock().Now());
  CHECK(fixture.core().ingress->held() > kLongAnswer / 2);
  SECTION("when its time is over") {
    fixture.clock().Advance(caller_limits{}.idle_timeout);
    fixture.session().CloseIfExpired(fixture.clock().Now());
  }
  SECTION("for lack of memory") {
    fixture.session().CheckUnsent(fixture.clock().Now());
    ingress_account other(fixture.core().ingress, [](std::size_t /*bytes*/) {});
    other.Hold(fixture.core().ingress->limit() - kLongAnswer / 2, fixture.clock().Now());
    ingress_account small(fixture.core().ingress, [](std::size_t /*bytes*/) {});
    small.Hold(1000, fixture.clock().Now());
  }
  fixture.RunPending();
  CHECK(fixture.ended());
  CHECK(fixture.core().exchanges.empty());
}

// Guards against a refusal that its caller cannot read, because closing a socket with unread bytes
// resets the connection. Most callers read only after they have sent the whole request.
TEST_CASE("the refusal of a request that was not read whole arrives", "[forward]") {
  const std::string rest(100000, 'x');
  SECTION("body over the limit") {
    session_fixture fixture;
    fixture.Send(Announced(std::size_t{8} << 20U) + rest);
    fixture.RunPending();
    fixture.Send(rest);
    CHECK(fixture.AwaitText("HTTP/1.1 413", [] {}));
  }
  SECTION("lack of memory") {
    forward_options options;
    options.ingress.total = byte_count(10000);
    session_fixture fixture(options);
    fixture.Send(Announced(2 * rest.size()) + rest);
    fixture.RunPending();
    fixture.Send(rest);
    CHECK(fixture.AwaitText("Retry-After: 1.00\r\n", [] {}));
  }
}

// Guards against a caller that sends on after its refusal and so keeps the connection.
TEST_CASE("what follows a refusal is discarded for a limited time", "[forward]") {
  session_fixture fixture;
  fixture.Send(Announced(std::size_t{8} << 20U));
  CHECK(fixture.AwaitText("HTTP/1.1 413", [] {}));
  fixture.RunPending();
  CHECK_FALSE(fixture.ended());
  fixture.clock().Advance(milliseconds(500));
  fixture.session().CloseIfExpired(fixture.clock().Now());
  fixture.RunPending();
  CHECK(fixture.ended());
}

// Guards against blaming a caller whose connection is closed in favour of a new one.
TEST_CASE("a caller that makes room for a new one is told to retry", "[forward]") {
  session_fixture fixture;
  fixture.Send(Announced(100) + "x");
  fixture.RunPending();
  fixture.session().CloseForNewCaller();
  CHECK(fixture.AwaitText("HTTP/1.1 503", [] {}));
  fixture.RunPending();
  CHECK(fixture.ended());
}

// Guards against ending a body that uses the time it may take.
TEST_CASE("a slow body inside the limits is answered", "[forward]") {
  session_fixture fixture;
  fixture.Send(Announced(10));
  for (int i = 0; i < 10; ++i) {
    fixture.RunPending();
    fixture.session().CloseIfExpired(fixture.clock().Now());
    fixture.session().CheckUnsent(fixture.clock().Now());
    fixture.Send("x");
    fixture.clock().Advance(milliseconds(999));
  }
  CHECK(fixture.AwaitAnswer("body", [] {}));
}

// Guards against starting a request that the end of the process would cut off, because its caller's
// connection was kept open by an answer that had begun before the shutdown.
TEST_CASE("a request that arrives late in a shutdown is refused as not run", "[forward]") {
  session_fixture fixture;
  fixture.RunPending();
  fixture.core().refuses_requests = true;
  fixture.SendRequest("late");
  CHECK(fixture.AwaitText("\"stopping\"", [] {}));
}

// Guards against closing a connection whose caller makes progress, and against taking an unfinished
// request before connections that need nothing.
TEST_CASE("idle connections make room before untaken answers, and these before requests",
          "[forward]") {
  SECTION("idle") {
    session_fixture fixture;
    fixture.RunPending();
    CHECK(fixture.session().ClosingOrder()->first == session_phase::kRequest);
    fixture.clock().Advance(milliseconds(500));
    CHECK(fixture.session().ClosingOrder()->first == session_phase::kIdle);
    fixture.session().CloseForNewCaller();
    CHECK_FALSE(fixture.session().ClosingOrder());
  }
  SECTION("request") {
    session_fixture fixture;
    fixture.Send(Announced(100) + "x");
    fixture.RunPending();
    CHECK(fixture.session().ClosingOrder()->first == session_phase::kRequest);
  }
  SECTION("answer") {
    session_fixture fixture({}, true);
    fixture.SendForLongAnswer();
    fixture.session().CheckUnsent(fixture.clock().Now());
    CHECK_FALSE(fixture.session().ClosingOrder());
    fixture.session().CheckUnsent(fixture.clock().Now());
    REQUIRE(fixture.session().ClosingOrder());
    CHECK(fixture.session().ClosingOrder()->first == session_phase::kAnswer);
    fixture.session().CloseForNewCaller();
    fixture.RunPending();
    CHECK(fixture.ended());
  }
  CHECK(session_phase::kIdle < session_phase::kAnswer);
  CHECK(session_phase::kAnswer < session_phase::kRequest);
}

TEST_CASE("an idle connection is closed by a shutdown and when it expires", "[forward]") {
  session_fixture fixture;
  fixture.RunPending();
  SECTION("by a shutdown") {
    CHECK_FALSE(fixture.AwaitAnswer("none", [&] { fixture.session().CloseIfIdle(); }));
  }
  SECTION("because it was idle for long") {
    fixture.clock().Advance(std::chrono::minutes(1));
    CHECK_FALSE(fixture.AwaitAnswer(
        "none", [&] { fixture.session().CloseIfExpired(fixture.clock().Now()); }));
  }
}

/// One open group of ten places a second, at which other VMs have `requests` requests, of a service
/// whose routes differ in priority.
void SetUpFullGroup(session_fixture& fixture, std::uint32_t requests) {
  const service_id pool("pool");
  auto configuration = std::make_shared<traffic_configuration>();
  traffic_route route;
  route.host = "desk.example";
  route.path_prefix = "/";
  route.timeout = milliseconds(9000);
  route.objective = milliseconds(200);
  route.services = {{pool, 1}};
  configuration->AddRoute(route);
  route.path_prefix = "/less-urgent/";
  route.priority = 1;
  configuration->AddRoute(route);
  service_settings service;
  service.id = pool;
  service.group_slots = 20;
  service.models = {{"large", 1, 1}};
  configuration->AddService(service);
  fixture.core().configuration = configuration;
  backend_server head;
  head.id = backend_server_id("head");
  head.service = pool;
  head.address = "127.0.0.1:1";
  group_name name;
  name.model = "large";
  name.head = head.id;
  name.head_address = head.address;
  head.membership = group_membership{MakeGroupName(name), 1, 0, membership_state::kOpen};
  server_directory directory;
  directory.Update(head, fixture.clock().Now());
  fixture.core().map = std::make_shared<dispatch_map>(directory, *configuration);
  capacity_queue& queue = fixture.core().queues[{pool, "large"}];
  for (int i = 0; i < 100; ++i) {
    queue.RecordPlaceFreed(fixture.clock().Now());
    fixture.clock().Advance(milliseconds(100));
  }
  queue.UpdatePlaces({0, 1, 1}, fixture.clock().Now());
  for (int i = 0; i < 3; ++i) {
    capacity_queue::ticket(queue, {}, nullptr).RecordStart(false, fixture.clock().Now());
  }
  server_load& load = fixture.core().selection.LoadOf(head.id);
  load.SetOtherVmRequests(requests, fixture.clock().Now());
}

// Guards against holding a request until its caller leaves although no place becomes free before.
TEST_CASE("a request that gets no place in time is refused at once, as not run", "[forward]") {
  session_fixture fixture;
  const std::string status = "HTTP/1.1 503 ";
  std::string answer;
  SECTION("with the time at which room comes") {
    SetUpFullGroup(fixture, 45);
    answer = "Retry-After: 2.";
  }
  SECTION("without a time when its caller cannot wait for it") {
    SetUpFullGroup(fixture, 500);
    answer = "\"no_place_in_time\"";
  }
  fixture.RunPending();
  const time_point sent_at = fixture.clock().Now();
  fixture.SendRequest("full", "Model: large\r\n");
  const std::string received = fixture.Receive("\"no_place_in_time\"", [] {});
  CHECK(received.starts_with(status));
  CHECK(received.find(answer) != std::string::npos);
  CHECK((received.find("Retry-After") != std::string::npos) == answer.starts_with("Retry"));
  CHECK(fixture.clock().Now() == sent_at);
  CHECK(fixture.core().exchanges.empty());
  CHECK(fixture.core().queues.begin()->second.size() == 0);
}

}  // namespace
}  // namespace waxwingwing
