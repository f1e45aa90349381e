#include "waxwingwing/directory/server_directory.h"

#include <catch2/catch.hpp>

#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/dispatch/dispatch_map.h"
#include "waxwingwing/formation/group_name.h"

namespace waxwingwing {
namespace {

const time_point kStart{std::chrono::hours(1)};

backend_server Server(const std::string& id, std::uint64_t revision = 1, std::uint64_t born = 1) {
  backend_server server;
  server.id = backend_server_id(id);
  server.service = service_id("pool");
  server.address = "10.0.0.1:80";
  server.failure_domain = failure_domain_id("ifo");
  server.born = born;
  server.revision = revision;
  return server;
}

backend_server Member(const std::string& id, std::uint32_t rank, membership_state state) {
  backend_server server = Server(id);
  server.model = "large";
  server.membership = group_membership{MakeGroupName({"large", false, 4, {}, {}}), 4, rank, state};
  return server;
}

traffic_configuration Configuration() {
  traffic_configuration configuration;
  service_settings pool;
  pool.id = service_id("pool");
  pool.group_slots = 26;
  pool.models = {{"large", 2, 1.0}};
  configuration.AddService(pool);
  service_settings desk;
  desk.id = service_id("desk");
  configuration.AddService(desk);
  return configuration;
}

TEST_CASE("a server that registers again before its removal is done counts as a change",
          "[directory]") {
  // Guards against a stale view elsewhere: other VMs may have been notified of the removal already.
  server_directory directory;
  directory.Update(Server("a", 5, 10), kStart);
  directory.Remove(backend_server_id("a"), kStart, std::chrono::seconds(2));
  const std::uint64_t before = directory.change_count();
  directory.Update(Server("a", 6, 10), kStart);
  CHECK(directory.change_count() > before);
  CHECK(directory.ApplyDueRemovals(kStart + std::chrono::seconds(3)).empty());
}

TEST_CASE("a registration that is older than the known one changes nothing", "[directory]") {
  server_directory directory;
  CHECK(directory.Update(Server("a", 5, 10), kStart));
  backend_server older = Server("a", 4, 10);
  older.draining = true;
  CHECK(!directory.Update(older, kStart));
  CHECK(!directory.Update(Server("a", 9, 9), kStart));
  CHECK(directory.Update(Server("a", 1, 11), kStart));
  CHECK(!directory.Find(backend_server_id("a"))->server.draining);
}

// Guards against requests to a server that has left: a store that was restored from a copy lists it
// again as it was.
TEST_CASE("a removed server does not return by a registration that is not newer", "[directory]") {
  server_directory directory;
  directory.Update(Server("a", 5, 10), kStart);
  directory.Remove(backend_server_id("a"), kStart, duration::zero());
  REQUIRE(directory.ApplyDueRemovals(kStart).size() == 1);
  CHECK(!directory.Update(Server("a", 4, 10), kStart));
  CHECK(!directory.Update(Server("a", 5, 10), kStart));
  CHECK(!directory.Update(Server("a", 9, 9), kStart));
  CHECK(directory.Find(backend_server_id("a")) == nullptr);
  SECTION("a newer one of the same incarnation") {
    CHECK(directory.Update(Server("a", 6, 10), kStart));
  }
  SECTION("a later incarnation") { CHECK(directory.Update(Server("a", 1, 11), kStart)); }
}

TEST_CASE("a delayed removal from a list outage is dropped when the server registers in time",
          "[directory]") {
  server_directory directory;
  directory.Update(Server("a"), kStart);
  directory.Update(Server("b"), kStart);
  directory.RemoveUnlisted({}, kStart, std::chrono::seconds(2));
  CHECK(directory.ApplyDueRemovals(kStart + std::chrono::seconds(1)).empty());
  directory.Update(Server("a", 2), kStart + std::chrono::seconds(1));
  const auto removed = directory.ApplyDueRemovals(kStart + std::chrono::seconds(2));
  CHECK(removed == std::vector<backend_server_id>{backend_server_id("b")});
  CHECK(directory.Find(backend_server_id("a")) != nullptr);
}

TEST_CASE("a group keeps members whose registration has lapsed", "[directory]") {
  server_directory directory;
  directory.Update(Member("a", 0, membership_state::kOpen), kStart);
  directory.Update(Member("b", 1, membership_state::kReady), kStart);
  directory.Remove(backend_server_id("a"), kStart, duration::zero());
  directory.ApplyDueRemovals(kStart);
  const auto groups = directory.Groups();
  REQUIRE(groups.size() == 1);
  const group_view& group = groups.begin()->second;
  CHECK(group.members[0] == backend_server_id("a"));
  CHECK(!group.head_state);
  CHECK(directory.LastAddressOf(backend_server_id("a")) == "10.0.0.1:80");
}

TEST_CASE("only open heads that are neither draining nor evacuated get requests for a model",
          "[dispatch]") {
  const traffic_configuration configuration = Configuration();
  const service_id pool("pool");
  server_directory directory;
  directory.Update(Member("a", 0, membership_state::kReady), kStart);
  directory.Update(Member("b", 1, membership_state::kReady), kStart);
  CHECK(dispatch_map(directory, configuration).Candidates(pool, "large").empty());
  directory.Update(Member("a", 0, membership_state::kOpen), kStart);
  const dispatch_map map(directory, configuration);
  REQUIRE(map.Candidates(pool, "large").size() == 1);
  CHECK(map.Candidates(pool, "large").front().server == backend_server_id("a"));
  CHECK(map.Candidates(pool, "small").empty());
  directory.SetEvacuated({failure_domain_id("ifo")});
  CHECK(dispatch_map(directory, configuration).Candidates(pool, "large").empty());
  directory.SetEvacuated({});
  backend_server leaving = Member("a", 0, membership_state::kOpen);
  leaving.draining = true;
  directory.Update(leaving, kStart);
  CHECK(dispatch_map(directory, configuration).Candidates(pool, "large").empty());
}

TEST_CASE("the route with the longest matching path prefix of the host is used", "[directory]") {
  traffic_configuration configuration;
  for (const char* prefix : {"/", "/a/", "/a/b/"}) {
    traffic_route route;
    route.host = "h";
    route.path_prefix = prefix;
    configuration.AddRoute(route);
  }
  CHECK(configuration.Match("h", "/a/b/c")->path_prefix == "/a/b/");
  CHECK(configuration.Match("h", "/a/bc")->path_prefix == "/a/");
  CHECK(configuration.Match("h", "/x")->path_prefix == "/");
  CHECK(configuration.Match("other", "/a/") == nullptr);
}

}  // namespace
}  // namespace waxwingwing
