#include "waxwingwing/platform/http_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"
#include "waxwingwing/platform/ip_endpoint.h"

namespace waxwingwing {
namespace {

struct http_fixture {
  boost::asio::io_context context;
  scripted_http_server server{context};
  metrics_registry metrics;
  http_client client{&metrics};

  http_exchange Run(const std::string& method, milliseconds timeout = milliseconds(5000)) {
    http_request request;
    request.address = server.address();
    request.method = method;
    request.target = "/v1/test";
    request.body = method == "POST" ? "{}" : "";
    request.timeout = timeout;
    request.body_limit = byte_count(100);
    request.service = "test";
    return RunAwaitable(context, client.Exchange(request));
  }
};

TEST_CASE("an exchange gives status, headers and body", "[platform]") {
  http_fixture test;
  test.server.Add({.status = 409, .body = "refused"});
  const http_exchange exchange = test.Run("POST");
  REQUIRE(exchange.reply);
  CHECK(exchange.reply->status == 409);
  CHECK(exchange.reply->body == "refused");
  CHECK(exchange.reply->Header("content-length") == "7");
  CHECK(test.server.seen().at(0).method == "POST");
  CHECK(test.server.seen().at(0).body == "{}");
}

TEST_CASE("an idle connection is used again", "[platform]") {
  http_fixture test;
  test.server.Add({.body = "1"});
  test.server.Add({.body = "2"});
  REQUIRE(test.Run("GET").reply);
  REQUIRE(test.Run("GET").reply);
  REQUIRE(test.server.connections() == 1);
}

// Guards against polls that fail because the server has closed the idle connection.
TEST_CASE("a GET on a reused connection that fails is sent again on a new one", "[platform]") {
  http_fixture test;
  test.server.Add({.body = "1"});
  test.server.Add({.close_unanswered = true});
  test.server.Add({.body = "2"});
  REQUIRE(test.Run("GET").reply);
  const http_exchange second = test.Run("GET");
  REQUIRE(second.reply);
  REQUIRE(second.reply->body == "2");
  REQUIRE(test.server.connections() == 2);
}

// Guards against an append or an order that takes effect twice because it was sent again.
TEST_CASE("a POST on a reused connection that fails is not sent again", "[platform]") {
  http_fixture test;
  test.server.Add({.body = "1"});
  test.server.Add({.close_unanswered = true});
  test.server.Add({.body = "2"});
  REQUIRE(test.Run("POST").reply);
  const http_exchange second = test.Run("POST");
  REQUIRE_FALSE(second.reply);
  REQUIRE_FALSE(second.not_sent);
  REQUIRE(test.server.seen().size() == 2);
}

TEST_CASE("a POST avoids an idle connection that the server has closed", "[platform]") {
  http_fixture test;
  test.server.Add({.body = "1", .close_after = true});
  test.server.Add({.body = "2"});
  REQUIRE(test.Run("POST").reply);
  // Lets the server close its end of the connection.
  test.context.restart();
  test.context.poll();
  const http_exchange second = test.Run("POST");
  REQUIRE(second.reply);
  REQUIRE(second.reply->body == "2");
}

// Guards against reuse of connections that have permanently stopped delivering data while new ones
// work.
TEST_CASE("after a time-out a new connection is used", "[platform]") {
  http_fixture test;
  test.server.Add({.body = "1"});
  test.server.Add({.stay_silent = true});
  test.server.Add({.body = "2"});
  REQUIRE(test.Run("GET").reply);
  const http_exchange silent = test.Run("GET", milliseconds(50));
  REQUIRE_FALSE(silent.reply);
  REQUIRE_FALSE(silent.not_sent);
  REQUIRE(test.Run("GET").reply);
  REQUIRE(test.server.connections() == 2);
}

TEST_CASE("an answer above the body limit fails", "[platform]") {
  http_fixture test;
  test.server.Add({.body = std::string(101, 'x')});
  const http_exchange exchange = test.Run("GET");
  REQUIRE_FALSE(exchange.reply);
  REQUIRE(exchange.reply.reason().find("receiving") != std::string::npos);
}

// Guards against holding what a server sends without end, in place of a part of its answer, until
// the memory is used up.
TEST_CASE("an answer without end fails before the time-out and after few bytes", "[platform]") {
  http_fixture test;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string part =
      GENERATE_COPY(std::string("0"), std::string("HTTP/1.1 200 "),
                    std::string("HTTP/1.1 200 OK\r\nX: "), std::string("HTTP/1.1 200 OK\r\n\r\n"),
                    chunked, chunked + "5;", chunked + "7fffffff\r\n", chunked + "0\r\nX: ");
  INFO(part);
  test.server.Add({.endless_bytes = part});
  const http_exchange exchange = test.Run("GET", milliseconds(1000));
  REQUIRE_FALSE(exchange.reply);
  INFO(exchange.reply.reason());
  CHECK(exchange.reply.reason().find("receiving") != std::string::npos);
  CHECK(exchange.reply.reason().find("timeout") == std::string::npos);
}

// Guards against taking an interim response for the answer, after which the answer itself would be
// taken for that to the next request on the connection.
TEST_CASE("interim responses are skipped and the connection stays in step", "[platform]") {
  http_fixture test;
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
  test.server.Add({.body = "1", .bytes_before = interim});
  test.server.Add({.body = "2"});
  const http_exchange first = test.Run("POST");
  REQUIRE(first.reply);
  CHECK(first.reply->status == 200);
  CHECK(first.reply->body == "1");
  const http_exchange second = test.Run("POST");
  REQUIRE(second.reply);
  CHECK(second.reply->body == "2");
  CHECK(test.server.connections() == 1);
}

// Guards against acting on a garbled status line as if it were the server's decision.
TEST_CASE("an answer whose status is not that of a final response fails", "[platform]") {
  http_fixture test;
  const std::string empty = "Content-Length: 0\r\n\r\n";
  const std::string line = GENERATE("000 OK", "099 OK", "100 OK", "101 Switching Protocols",
                                    "199 OK", "600 OK", "999 OK");
  INFO(line);
  test.server.Add({.raw_answer = "HTTP/1.1 " + line + "\r\n" + empty});
  const http_exchange exchange = test.Run("POST", milliseconds(1000));
  REQUIRE_FALSE(exchange.reply);
  INFO(exchange.reply.reason());
  CHECK(exchange.reply.reason().find("receiving") != std::string::npos);
  // The connection is not used again.
  test.server.Add({.body = "2"});
  const http_exchange next = test.Run("POST");
  REQUIRE(next.reply);
  CHECK(next.reply->body == "2");
  CHECK(test.server.connections() == 2);
}

// Guards against waiting for the final response as long as interim ones keep coming.
TEST_CASE("interim responses without end fail the exchange before the time-out", "[platform]") {
  http_fixture test;
  std::string many;
  for (int i = 0; i < 1000; ++i) many += "HTTP/1.1 103 Early Hints\r\n\r\n";
  test.server.Add({.raw_answer = many});
  const http_exchange exchange = test.Run("GET", milliseconds(1000));
  REQUIRE_FALSE(exchange.reply);
  CHECK(exchange.reply.reason().find("too many interim responses") != std::string::npos);
}

// Guards against capacity figures that omit the header of a message or a second exchange.
TEST_CASE("the bytes of every exchange are counted by service", "[platform]") {
  http_fixture test;
  test.server.Add({.body = std::string(50, 'x')});
  test.server.Add({.body = std::string(50, 'x')});
  const metric_labels labels = {{"service", "test"}};
  const counter& sent = test.metrics.Counter("waxwingwing_platform_bytes_sent_total", labels);
  const counter& received =
      test.metrics.Counter("waxwingwing_platform_bytes_received_total", labels);
  REQUIRE(test.Run("GET").reply);
  const std::uint64_t sent_once = sent.value();
  const std::uint64_t received_once = received.value();
  CHECK(sent_once > std::string("GET /v1/test HTTP/1.1\r\n").size());
  CHECK(received_once > 50 + std::string("HTTP/1.1 200 OK\r\n").size());
  REQUIRE(test.Run("GET").reply);
  CHECK(sent.value() == 2 * sent_once);
  CHECK(received.value() == 2 * received_once);
}

/// Sends requests that the header `Call` identifies.
struct identified_fixture : http_fixture {
  http_exchange Call(const std::string& id) {
    http_request request;
    request.address = server.address();
    request.method = "POST";
    request.target = "/v1/test";
    request.answer_id = {"Call", id};
    return RunAwaitable(context, client.Exchange(request));
  }
};

std::string AnswerTo(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nCall: " + id + "\r\nContent-Length: 3\r\n\r\nold";
}

// Guards against taking an answer to an earlier request for the answer to this one.
TEST_CASE("answers with the id of another request are skipped", "[platform]") {
  identified_fixture test;
  const std::string before = GENERATE(AnswerTo("1"), AnswerTo("1") + AnswerTo("") + AnswerTo("0"),
                                      AnswerTo("1") + AnswerTo("0") + AnswerTo("1"));
  test.server.Add({.body = "1", .echoed_header = "Call"});
  test.server.Add({.body = "2", .bytes_before = before, .echoed_header = "Call"});
  REQUIRE(test.Call("1").reply);
  const http_exchange second = test.Call("2");
  // One without an id cannot be attributed.
  const bool readable = before.find("Call: \r") == std::string::npos;
  REQUIRE(static_cast<bool>(second.reply) == readable);
  CHECK_FALSE(second.not_sent);
  if (readable) CHECK(second.reply->body == "2");
  test.server.Add({.body = "3", .echoed_header = "Call"});
  REQUIRE(test.Call("3").reply);
  CHECK(test.server.connections() == (readable ? 1 : 2));
}

// Guards against waiting for the answer as long as a server sends answers to other requests.
TEST_CASE("an exchange with many answers to other requests fails", "[platform]") {
  identified_fixture test;
  std::string many;
  for (int i = 0; i < 10; ++i) many += AnswerTo("other");
  test.server.Add({.raw_answer = many});
  const http_exchange exchange = test.Call("1");
  REQUIRE_FALSE(exchange.reply);
  CHECK(exchange.reply.reason().find("answers to other requests") != std::string::npos);
}

// Guards against bytes of a request that the network holds up and delivers after its time-out.
TEST_CASE("a failed exchange resets its connection on request", "[platform]") {
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  const bool resets = GENERATE(true, false);
  http_request request;
  request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  request.target = "/v1/test";
  request.timeout = milliseconds(50);
  request.reset_on_failure = resets;
  http_client client;
  CHECK_FALSE(RunAwaitable(context, client.Exchange(request)).reply);
  tcp::socket server = acceptor.accept();
  boost::system::error_code error;
  std::string bytes(4096, ' ');
  while (!error) server.read_some(boost::asio::buffer(bytes), error);
  CHECK((error == boost::asio::error::connection_reset) == resets);
}

// Guards against keeping a connection on which a late answer could not be told from a later one.
TEST_CASE("a connection is kept only after an answer that states the id", "[platform]") {
  identified_fixture test;
  test.server.Add({.body = "1"});
  test.server.Add({.body = "2", .echoed_header = "Call"});
  test.server.Add({.body = "3"});
  test.server.Add({.body = "4", .echoed_header = "Call"});
  CHECK(test.Call("1").reply);
  CHECK(test.Call("2").reply);
  CHECK(test.server.connections() == 2);
  // A server that stops stating ids gets a new connection for the next request.
  CHECK_FALSE(test.Call("3").reply);
  CHECK(test.Call("4").reply);
  CHECK(test.server.connections() == 3);
}

TEST_CASE("a refused connection is distinguished from a lost answer", "[platform]") {
  boost::asio::io_context context;
  http_client client;
  http_request request;
  {
    // Obtains a port that has no listener once the acceptor is closed.
    const boost::asio::ip::tcp::acceptor closed(context,
                                                {boost::asio::ip::address_v4::loopback(), 0});
    request.address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  }
  request.target = "/";
  const http_exchange exchange = RunAwaitable(context, client.Exchange(request));
  REQUIRE_FALSE(exchange.reply);
  REQUIRE(exchange.not_sent);
}

// Guards against request smuggling through text that a caller supplies.
TEST_CASE("requests with line breaks are not sent", "[platform]") {
  boost::asio::io_context context;
  http_client client;
  http_request request;
  request.address = "127.0.0.1:1";
  request.target = "/a\r\nX: y";
  REQUIRE(RunAwaitable(context, client.Exchange(request)).not_sent);
  request.target = "/a\xff";
  const http_exchange unencoded = RunAwaitable(context, client.Exchange(request));
  REQUIRE(unencoded.not_sent);
  CHECK(unencoded.reply.reason() == "127.0.0.1:1: the target is not valid");
  request.target = "/a";
  request.headers.push_back({"X-Organisation", "a\nb"});
  REQUIRE(RunAwaitable(context, client.Exchange(request)).not_sent);
}

TEST_CASE("addresses are parsed strictly", "[platform]") {
  REQUIRE(ParseIpEndpoint("10.0.0.1:80")->port() == 80);
  REQUIRE(ParseIpEndpoint("[::1]:8080")->address().is_v6());
  for (const char* text : {"", ":", "host:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:70000", "1.2.3.4:8x",
                           "::1:80", "[1.2.3.4]:80", "1.2.3.4:-1"}) {
    INFO(text);
    REQUIRE_FALSE(ParseIpEndpoint(text));
  }
}

}  // namespace
}  // namespace waxwingwing
