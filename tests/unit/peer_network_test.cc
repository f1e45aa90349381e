#include "waxwingwing/peer/peer_network.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "peer/send_queue.h"
#include "tests/unit/run_awaitable.h"
#include "waxwingwing/peer/frame_codec.h"

namespace waxwingwing {
namespace {

using tcp = boost::asio::ip::tcp;

peer_settings Settings(const std::string& vm, const std::string& cluster = "c") {
  peer_settings settings;
  settings.cluster = cluster;
  settings.own_vm = vm_id(vm);
  settings.own_failure_domain = failure_domain_id("ifo");
  settings.own_incarnation = incarnation(1);
  settings.initial_backoff = milliseconds(5);
  settings.max_backoff = milliseconds(20);
  return settings;
}

/// A peer network that records the messages it received.
struct test_node {
  test_node(boost::asio::io_context& context, const peer_settings& settings,
            const std::string& listen_address = "127.0.0.1:0")
      : network(context, settings, random_source(3), metrics,
                [this](const vm_id& vm, peer_message message) {
                  received.emplace_back(vm, std::move(message));
                  if (on_receive) on_receive(vm);
                }) {
    const auto listening = network.Listen(listen_address);
    REQUIRE(listening);
    address = *listening;
  }

  std::uint64_t CloseCount(const std::string& reason) {
    return metrics.Counter("waxwingwing_peer_closed_total", {{"reason", reason}}).value();
  }

  metrics_registry metrics;
  std::vector<std::pair<vm_id, peer_message>> received;
  std::function<void(const vm_id&)> on_receive;
  std::string address;
  peer_network network;
};

peer_address AddressOf(const std::string& vm, const test_node& node) {
  return {vm_id(vm), node.address};
}

log_fetch_message Fetch(std::uint64_t request) {
  return {request, "control", log_offset(1), 10, false};
}

/// Connects to a node with a plain socket, sends bytes and waits until the node closes.
void SendAndAwaitClose(boost::asio::io_context& context, const test_node& node,
                       const std::string& bytes) {
  const auto colon = node.address.rfind(':');
  const auto port = static_cast<std::uint16_t>(std::stoi(node.address.substr(colon + 1)));
  tcp::socket raw_socket(context);
  raw_socket.connect({boost::asio::ip::address_v4::loopback(), port});
  boost::asio::write(raw_socket, boost::asio::buffer(bytes));
  std::array<char, 256> buffer{};
  bool closed = false;
  raw_socket.async_read_some(boost::asio::buffer(buffer),
                             [&](const boost::system::error_code& error, std::size_t /*bytes*/) {
                               closed = static_cast<bool>(error);
                             });
  REQUIRE(RunUntil(context, [&] { return closed; }));
}

std::string HelloFrame(const std::string& cluster, const std::string& vm) {
  return *EncodeFrame(
      hello_message{cluster, vm_id(vm), failure_domain_id("ifo"), incarnation(1), 1});
}

TEST_CASE("two networks exchange messages", "[peer]") {
  boost::asio::io_context context;
  test_node first(context, Settings("n1"));
  test_node second(context, Settings("n2"));
  first.network.SetPeers({AddressOf("n1", first), AddressOf("n2", second)});
  second.network.SetPeers({AddressOf("n1", first), AddressOf("n2", second)});
  REQUIRE(RunUntil(context, [&] {
    return first.network.IsConnected(vm_id("n2")) && second.network.IsConnected(vm_id("n1"));
  }));
  REQUIRE_FALSE(first.network.IsConnected(vm_id("n1")));
  for (std::uint64_t i = 0; i < 20; ++i) {
    REQUIRE(first.network.Send(vm_id("n2"), Fetch(i)));
    REQUIRE(second.network.Send(vm_id("n1"), Fetch(100 + i)));
  }
  REQUIRE(RunUntil(context,
                   [&] { return first.received.size() == 20 && second.received.size() == 20; }));
  CHECK(second.received[19] == std::pair<vm_id, peer_message>(vm_id("n1"), Fetch(19)));
  CHECK(first.received[0] == std::pair<vm_id, peer_message>(vm_id("n2"), Fetch(100)));
  CHECK(first.metrics.Counter("waxwingwing_peer_bytes_sent_total").value() > 200);
  CHECK(first.metrics.Counter("waxwingwing_peer_bytes_received_total").value() > 200);
}

// Guards against a joining VM that gets no log records because the VM list of its peer is outdated.
TEST_CASE("a peer missing from the VM list gets replies on the connection that it opened",
          "[peer]") {
  boost::asio::io_context context;
  test_node first(context, Settings("n1"));
  test_node second(context, Settings("n2"));
  first.network.SetPeers({AddressOf("n2", second)});
  REQUIRE_FALSE(second.network.Send(vm_id("n1"), Fetch(1)));
  REQUIRE(RunUntil(context, [&] { return second.network.IsConnected(vm_id("n1")); }));
  REQUIRE(second.network.Send(vm_id("n1"), Fetch(2)));
  REQUIRE(RunUntil(context, [&] { return first.received.size() == 1; }));
  CHECK(first.received[0].first == vm_id("n2"));
}

TEST_CASE("a lost peer is reconnected when it returns at its address", "[peer]") {
  boost::asio::io_context context;
  test_node first(context, Settings("n1"));
  auto second = std::make_unique<test_node>(context, Settings("n2"));
  const std::string address = second->address;
  first.network.SetPeers({AddressOf("n2", *second)});
  REQUIRE(RunUntil(context, [&] { return first.network.IsConnected(vm_id("n2")); }));
  second->network.Close();
  REQUIRE(RunUntil(context, [&] { return !first.network.IsConnected(vm_id("n2")); }));
  REQUIRE(RunUntil(context, [&] { return first.CloseCount("connect_failed") > 0; }));
  test_node returned(context, Settings("n2"), address);
  REQUIRE(RunUntil(context, [&] { return first.network.IsConnected(vm_id("n2")); }));
  first.network.SetPeers({});
  CHECK_FALSE(first.network.IsConnected(vm_id("n2")));
}

TEST_CASE("connections without a valid hello are refused and counted by reason", "[peer]") {
  boost::asio::io_context context;
  test_node node(context, Settings("n1"));
  SendAndAwaitClose(context, node, HelloFrame("other", "x"));
  CHECK(node.CloseCount("other_cluster") == 1);
  SendAndAwaitClose(context, node, HelloFrame("c", "n1"));
  CHECK(node.CloseCount("unexpected_vm") == 1);
  SendAndAwaitClose(context, node, *EncodeFrame(Fetch(1)));
  CHECK(node.CloseCount("no_hello_first") == 1);
  SendAndAwaitClose(context, node, "GET / HTTP/1.1\r\n\r\n");
  CHECK(node.CloseCount("oversized") == 1);
  std::string frame = HelloFrame("c", "n2");
  frame[4] = 9;
  SendAndAwaitClose(context, node, frame);
  CHECK(node.CloseCount("unknown_version") == 1);
  frame[4] = 1;
  frame[5] = static_cast<char>(std::variant_size_v<peer_message> + 1);
  SendAndAwaitClose(context, node, frame);
  CHECK(node.CloseCount("unknown_type") == 1);
  SendAndAwaitClose(context, node, std::string("\0\0\0\3\1\1\xc1", 7));
  CHECK(node.CloseCount("malformed") == 1);
  CHECK(node.received.empty());
}

TEST_CASE("networks of different clusters do not connect", "[peer]") {
  boost::asio::io_context context;
  test_node first(context, Settings("n1"));
  test_node second(context, Settings("n2", "other"));
  first.network.SetPeers({AddressOf("n2", second)});
  REQUIRE(RunUntil(context, [&] { return second.CloseCount("other_cluster") >= 2; }));
  CHECK_FALSE(first.network.IsConnected(vm_id("n2")));
}

// Guards against delivering messages for one VM to another VM that took over its address.
TEST_CASE("another VM at the address of a peer is refused", "[peer]") {
  boost::asio::io_context context;
  test_node first(context, Settings("n1"));
  test_node second(context, Settings("n2"));
  first.network.SetPeers({AddressOf("n3", second)});
  REQUIRE(RunUntil(context, [&] { return first.CloseCount("unexpected_vm") >= 1; }));
  CHECK_FALSE(first.network.IsConnected(vm_id("n3")));
}

TEST_CASE("a silent connection is replaced", "[peer]") {
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  std::vector<tcp::socket> accepted;
  const std::string hello = HelloFrame("c", "n2");
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      boost::asio::write(socket, boost::asio::buffer(hello));
      accepted.push_back(std::move(socket));
      accept();
    });
  };
  accept();
  peer_settings settings = Settings("n1");
  settings.silence_limit = milliseconds(80);
  test_node node(context, settings);
  const std::string port = std::to_string(acceptor.local_endpoint().port());
  node.network.SetPeers({{vm_id("n2"), "127.0.0.1:" + port}});
  REQUIRE(RunUntil(context, [&] { return node.network.IsConnected(vm_id("n2")); }));
  REQUIRE(node.network.Send(vm_id("n2"), Fetch(1)));
  REQUIRE(RunUntil(context, [&] { return accepted.size() == 2; }));
  CHECK(node.CloseCount("silent") == 1);
}

// Guards against endless reconnects to a healthy peer that has nothing to send.
TEST_CASE("a connection with one-way traffic is acknowledged and kept", "[peer]") {
  boost::asio::io_context context;
  peer_settings settings = Settings("n1");
  settings.silence_limit = milliseconds(200);
  test_node first(context, settings);
  settings.own_vm = vm_id("n2");
  test_node second(context, settings);
  first.network.SetPeers({AddressOf("n2", second)});
  REQUIRE(RunUntil(context, [&] { return first.network.IsConnected(vm_id("n2")); }));
  const auto end = std::chrono::steady_clock::now() + milliseconds(700);
  std::uint64_t sent = 0;
  REQUIRE(RunUntil(context, [&] {
    first.network.Send(vm_id("n2"), Fetch(++sent));
    return std::chrono::steady_clock::now() > end;
  }));
  CHECK(first.CloseCount("silent") == 0);
  CHECK(second.CloseCount("silent") == 0);
  CHECK(first.network.IsConnected(vm_id("n2")));
}

// Guards against use after free when the control loop reacts to a message by changing its peers.
TEST_CASE("peers may be removed while a message is handled", "[peer]") {
  boost::asio::io_context context;
  test_node first(context, Settings("n1"));
  test_node second(context, Settings("n2"));
  first.network.SetPeers({AddressOf("n2", second)});
  first.on_receive = [&](const vm_id&) { first.network.SetPeers({}); };
  second.on_receive = [&](const vm_id&) { second.network.Close(); };
  REQUIRE(RunUntil(context, [&] { return second.network.IsConnected(vm_id("n1")); }));
  REQUIRE(second.network.Send(vm_id("n1"), Fetch(1)));
  REQUIRE(RunUntil(context, [&] { return !second.network.IsConnected(vm_id("n1")); }));
  CHECK(first.received.size() == 1);
  first.network.SetPeers({AddressOf("n2", second)});
  REQUIRE(RunUntil(context, [&] { return first.network.IsConnected(vm_id("n2")); }));
  REQUIRE(first.network.Send(vm_id("n2"), Fetch(2)));
  REQUIRE(RunUntil(context, [&] { return !first.network.IsConnected(vm_id("n2")); }));
  CHECK(second.received.size() == 1);
}

TEST_CASE("a bad address to listen on gives a reason", "[peer]") {
  boost::asio::io_context context;
  test_node node(context, Settings("n1"));
  peer_network other(context, Settings("n2"), random_source(1), node.metrics,
                     [](const vm_id&, const peer_message&) {});
  CHECK_FALSE(other.Listen("nowhere"));
  CHECK(other.Listen("192.0.2.1:0").reason().find("192.0.2.1:0") == 0);
}

TEST_CASE("a full send queue first drops the oldest status frame", "[peer]") {
  send_queue queue;
  using kind = send_queue::frame_kind;
  queue.Push(std::make_shared<const std::string>("first"), kind::kOther);
  queue.Push(std::make_shared<const std::string>("old status"), kind::kStatus);
  for (std::size_t i = 2; i < send_queue::kCapacity; ++i) {
    REQUIRE_FALSE(queue.Push(std::make_shared<const std::string>(std::to_string(i)), kind::kOther));
  }
  REQUIRE(queue.Push(std::make_shared<const std::string>("new status"), kind::kStatus) ==
          kind::kStatus);
  REQUIRE(queue.Push(std::make_shared<const std::string>("a"), kind::kOther) == kind::kStatus);
  REQUIRE(queue.Push(std::make_shared<const std::string>("b"), kind::kOther) == kind::kOther);
  REQUIRE(queue.size() == send_queue::kCapacity);
  REQUIRE(*queue.Pop() == "2");
}

}  // namespace
}  // namespace waxwingwing
