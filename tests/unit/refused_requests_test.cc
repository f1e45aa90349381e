#include "forward/refused_requests.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "forward/server_pool.h"

namespace waxwingwing {
namespace {

using boost::asio::ip::tcp;

const time_point kNow{std::chrono::hours(1)};

/// A pool, and a server that accepts connections and sends nothing.
struct pool_fixture {
  std::unique_ptr<server_connection> Connect() {
    auto connection = std::make_unique<server_connection>(context.get_executor());
    connection->socket.connect(acceptor.local_endpoint());
    connection->socket.non_blocking(true);
    return connection;
  }
  std::unique_ptr<server_connection> Take(const std::string& request) {
    return pool.Take(address, request_id(request), kNow);
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
  const std::string address = "server";
  const forward_options options{};
  server_pool pool{options};
};

// Guards against an answer that may be the copy of an earlier refusal of the same request.
TEST_CASE("a request does not take a connection on which it was refused", "[forward]") {
  pool_fixture fixture;
  auto connection = fixture.Connect();
  connection->refused.Add(request_id("a"));
  fixture.pool.Keep(fixture.address, std::move(connection), {}, kNow);
  CHECK(fixture.Take("a") == nullptr);
  SECTION("another request takes it") { CHECK(fixture.Take("b") != nullptr); }
  SECTION("the request takes another one") {
    fixture.pool.Keep(fixture.address, fixture.Connect(), {}, kNow);
    CHECK(fixture.Take("a") != nullptr);
    CHECK(fixture.Take("a") == nullptr);
    CHECK(fixture.Take("b") != nullptr);
  }
}

// Guards against a list that grows with each refusal of a server that refuses for long.
TEST_CASE("a connection that has carried many refusals is not kept", "[forward]") {
  pool_fixture fixture;
  auto connection = fixture.Connect();
  std::size_t refusals = 0;
  while (!connection->refused.IsFull() && refusals < 1000) {
    connection->refused.Add(request_id("r-" + std::to_string(refusals++)));
  }
  CHECK(refusals < 1000);
  CHECK(connection->refused.Contains(request_id("r-0")));
  fixture.pool.Keep(fixture.address, std::move(connection), {}, kNow);
  CHECK(fixture.Take("other") == nullptr);
}

}  // namespace
}  // namespace waxwingwing
