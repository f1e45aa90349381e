#include "entry/controller_link.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <variant>

#include "tests/unit/run_awaitable.h"

namespace waxwingwing {
namespace {

/// A link of an entry VM "v", and another VM that is connected to it.
struct link_fixture {
  link_fixture() {
    const auto listening = link.Start();
    REQUIRE(listening);
    link_address = *listening;
    const auto other_listening = other.Listen("127.0.0.1:0");
    REQUIRE(other_listening);
    other_address = *other_listening;
  }

  static entry_settings Settings() {
    entry_settings settings;
    settings.vm = vm_id("v");
    settings.own_ip = "127.0.0.1";
    settings.failure_domain = failure_domain_id("ifo");
    return settings;
  }

  controller_link_hooks Hooks() {
    controller_link_hooks hooks;
    hooks.on_feed = [](const directory_feed_message&) {};
    hooks.on_stall = [](const stall_message&) {};
    hooks.own_requests = [] { return server_requests(); };
    hooks.on_other_requests = [](const server_requests&, std::size_t) {};
    hooks.rate_limits = [] { return std::vector<rate_limit_statement>(); };
    hooks.on_rate_limits = [this](const std::vector<rate_limit_statement>&) { ++loads; };
    hooks.own_evidence = hooks.all_evidence = [] { return std::vector<part_evidence>(); };
    hooks.on_evidence = [](const std::vector<part_evidence>&) {};
    hooks.operators = [this] {
      operators_view view;
      view.next = operators_next;
      return view;
    };
    hooks.on_operators = [](const operators_view&) {};
    hooks.operators_since = [this](const std::optional<store_position>& known) {
      return operators.Since(known);
    };
    hooks.on_operators_update = [this](const operators_update& update) {
      received_operators.push_back(update);
    };
    hooks.carrier_address = [] { return std::string("127.0.0.1:7"); };
    hooks.has_lost_paths = [this] { return has_lost_paths; };
    hooks.on_carriers = [this](const std::vector<relay_node>& nodes) { carriers = nodes; };
    hooks.usage_changes = [this](bool for_new_parent) {
      reports_to_new_parents += for_new_parent ? 1 : 0;
      return for_new_parent ? usage : std::vector<usage_entry>();
    };
    hooks.on_usage = [this](const std::vector<usage_entry>& entries) { received_usage = entries; };
    return hooks;
  }

  peer_settings OtherSettings() const {
    peer_settings other_settings;
    other_settings.cluster = "waxwingwing-entry";
    other_settings.own_vm = vm_id("o");
    other_settings.own_failure_domain = failure_domain_id("ifo");
    return other_settings;
  }

  template <typename message_type>
  bool HasReceived() const {
    return std::any_of(received.begin(), received.end(), [](const peer_message& message) {
      return std::holds_alternative<message_type>(message);
    });
  }

  boost::asio::io_context context;
  manual_clock clock;
  entry_settings settings = Settings();
  entry_state state;
  metrics_registry metrics;
  event_log log{clock, "v", [](std::string_view text) { return text.size(); }};
  entry_context entry{context, clock, settings, state, log, metrics};
  http_client http{&metrics};
  store_client store{http, "127.0.0.1:1", 12};
  controller_election election{entry, store, "v/p/127.0.0.1:1", random_source(1)};
  std::size_t loads = 0;
  std::vector<usage_entry> usage = {{incarnation(9), 7, {{organisation_id("first"), 4}}}};
  std::vector<usage_entry> received_usage;
  int reports_to_new_parents = 0;
  operators_snapshot operators;
  store_position operators_next;
  std::vector<operators_update> received_operators;
  bool has_lost_paths = false;
  std::vector<relay_node> carriers;
  controller_link link{entry, election, Hooks()};
  std::vector<peer_message> received;
  peer_network other{
      context, OtherSettings(), random_source(2), metrics,
      [this](const vm_id&, const peer_message& message) { received.push_back(message); }};
  std::string link_address;
  std::string other_address;
};

// Guards against a crash: a stall was reported to a parent that this VM had no longer, just after
// the controller had released its lease.
TEST_CASE("a VM without a parent has no current feed and reports no stall", "[entry]") {
  link_fixture fixture;
  const std::string holder = "o/p/" + fixture.other_address;
  fixture.election.Observe({holder, 5});
  boost::asio::co_spawn(fixture.context, fixture.link.Run(), boost::asio::detached);
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.HasReceived<vm_load_message>(); }));
  directory_feed_message feed;
  feed.lease_holder = holder;
  feed.lease_end = 5;
  REQUIRE(fixture.other.Send(vm_id("v"), feed));
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.link.IsFeedCurrent(); }));
  feed.lease_holder.clear();
  feed.lease_end = 6;
  REQUIRE(fixture.other.Send(vm_id("v"), feed));
  CHECK(RunUntil(fixture.context, [&] { return !fixture.link.IsFeedCurrent(); }));
  if (!fixture.link.IsFeedCurrent()) CHECK(!fixture.link.ReportStall({"group", "server"}));
}

// Guards against counts that a parent has never received: only changed counts are sent to it.
TEST_CASE("all counts of usage are sent to a new parent, once", "[entry]") {
  link_fixture fixture;
  fixture.election.Observe({"o/p/" + fixture.other_address, 5});
  boost::asio::co_spawn(fixture.context, fixture.link.Run(), boost::asio::detached);
  const auto loads = [&] {
    return std::count_if(fixture.received.begin(), fixture.received.end(), [](const auto& message) {
      return std::holds_alternative<vm_load_message>(message);
    });
  };
  REQUIRE(RunUntil(fixture.context, [&] { return loads() >= 3; }));
  CHECK(fixture.reports_to_new_parents == 1);
  std::vector<usage_entry_message> sent;
  for (const peer_message& message : fixture.received) {
    const auto* load = std::get_if<vm_load_message>(&message);
    if (load != nullptr) sent.insert(sent.end(), load->usage.begin(), load->usage.end());
  }
  REQUIRE(sent.size() == 1);
  CHECK(sent[0] == usage_entry_message{9, 7, {{"first", 4}}});
  vm_load_message load;
  load.node = {"o", fixture.other_address, "ifo", 1};
  load.usage = sent;
  REQUIRE(fixture.other.Send(vm_id("v"), load));
  CHECK(RunUntil(fixture.context, [&] { return fixture.received_usage == fixture.usage; }));
}

// Guards against feeds with the requests of a part of the VMs and without relays, after which all
// followers of a relay that stops turned to the controller.
TEST_CASE("a relay that stops sends no feed of its own", "[entry]") {
  link_fixture fixture;
  boost::asio::co_spawn(fixture.context, fixture.link.Run(), boost::asio::detached);
  fixture.other.SetPeers({{vm_id("v"), fixture.link_address}});
  vm_load_message load;
  load.node = {"o", fixture.other_address, "ifo", 1};
  REQUIRE(RunUntil(fixture.context, [&] {
    if (fixture.loads == 0) fixture.other.Send(vm_id("v"), load);
    return fixture.loads > 0;
  }));
  fixture.state.stopping = true;
  fixture.link.AnnounceRelease();
  const auto until = std::chrono::steady_clock::now() + milliseconds(200);
  RunUntil(fixture.context, [&] { return std::chrono::steady_clock::now() >= until; });
  CHECK(!fixture.HasReceived<directory_feed_message>());
}

/// The first message of a type that another VM has received; null when there is none.
template <typename message_type>
const message_type* FirstReceived(const std::vector<peer_message>& received) {
  for (const peer_message& message : received) {
    const auto* found = std::get_if<message_type>(&message);
    if (found != nullptr) return found;
  }
  return nullptr;
}

// Guards against a record that all VMs read from the store at one moment.
TEST_CASE("operators' records are passed on to followers, and to those that ask", "[entry]") {
  link_fixture fixture;
  boost::asio::co_spawn(fixture.context, fixture.link.Run(), boost::asio::detached);
  fixture.other.SetPeers({{vm_id("v"), fixture.link_address}});
  vm_load_message load;
  load.node = {"o", fixture.other_address, "ifo", 1};
  REQUIRE(RunUntil(fixture.context, [&] {
    if (fixture.loads == 0) fixture.other.Send(vm_id("v"), load);
    return fixture.loads > 0;
  }));
  const auto records = [&] { return FirstReceived<operators_records_message>(fixture.received); };
  fixture.operators_next = {store_era(1), 7};
  fixture.operators.Replace({{"config", "v1"}}, fixture.operators_next);
  fixture.link.PassOnOperators();
  REQUIRE(RunUntil(fixture.context, [&] { return records() != nullptr; }));
  CHECK(records()->next == 7);
  fixture.received.clear();
  REQUIRE(fixture.other.Send(vm_id("v"), operators_request_message{1, 7}));
  REQUIRE(fixture.other.Send(vm_id("v"), operators_request_message{0, std::nullopt}));
  REQUIRE(RunUntil(fixture.context, [&] { return records() != nullptr; }));
  CHECK(!records()->from);
}

TEST_CASE("operators' records are taken from the VM that this one follows only", "[entry]") {
  link_fixture fixture;
  const auto messages = ToMessages({std::nullopt, {store_era(1), 7}, {{"config", "v1"}}});
  REQUIRE(messages);
  boost::asio::co_spawn(fixture.context, fixture.link.Run(), boost::asio::detached);
  fixture.other.SetPeers({{vm_id("v"), fixture.link_address}});
  REQUIRE(
      RunUntil(fixture.context, [&] { return fixture.other.Send(vm_id("v"), messages->front()); }));
  const auto until = std::chrono::steady_clock::now() + milliseconds(100);
  RunUntil(fixture.context, [&] { return std::chrono::steady_clock::now() >= until; });
  CHECK(fixture.received_operators.empty());
  fixture.election.Observe({"o/p/" + fixture.other_address, 5});
  CHECK(RunUntil(fixture.context, [&] {
    fixture.other.Send(vm_id("v"), messages->front());
    return !fixture.received_operators.empty();
  }));
}

// Guards against a VM without paths to the servers that knows nobody who has them.
TEST_CASE("a VM that does not reach the servers learns from feeds who does", "[entry]") {
  link_fixture fixture;
  fixture.has_lost_paths = true;
  const std::string holder = "o/p/" + fixture.other_address;
  fixture.election.Observe({holder, 5});
  boost::asio::co_spawn(fixture.context, fixture.link.Run(), boost::asio::detached);
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.HasReceived<vm_load_message>(); }));
  CHECK(FirstReceived<vm_load_message>(fixture.received)->cut_off_vms == 1);
  directory_feed_message feed;
  feed.lease_holder = holder;
  feed.lease_end = 5;
  feed.cut_off_vms = 1;
  feed.carriers = {{"c", "127.0.0.1:9", "ifo", 1}, {"v", "127.0.0.1:7", "ifo", 1}};
  REQUIRE(fixture.other.Send(vm_id("v"), feed));
  REQUIRE(RunUntil(fixture.context, [&] { return !fixture.carriers.empty(); }));
  CHECK(fixture.carriers.size() == 1);
  CHECK(fixture.carriers.front().address == "127.0.0.1:9");
}

}  // namespace
}  // namespace waxwingwing
