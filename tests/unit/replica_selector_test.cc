#include "waxwingwing/routing/replica_selector.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "waxwingwing/routing/retry_budget.h"

namespace waxwingwing {
namespace {

const time_point kNow = time_point(std::chrono::hours(1));
const failure_domain_id kOwn("gasabo");

backend_view View(const std::string& id, std::uint32_t running, const std::string& domain) {
  backend_view view;
  view.replica = replica_id(id);
  view.vm = vm_id(id + "-0");
  view.failure_domain = failure_domain_id(domain);
  view.routable = true;
  view.reported_running = request_count(running);
  view.ms_per_token = 20;
  view.reported_at = kNow;
  view.budget = std::make_shared<backend_budget>();
  view.budget->SetLimits(request_count(16), token_count(1000));
  return view;
}

std::vector<std::size_t> RankWith(const char* name, const std::vector<backend_view>& views,
                                  std::uint64_t prefix = 0) {
  auto selector = MakeReplicaSelector(name);
  REQUIRE(selector);
  return (*selector)->Rank({views, kOwn, prefix, kNow});
}

constexpr const char* kNames[] = {"bounded_affinity", "least_loaded", "round_robin",
                                  "entropy_weighted"};

TEST_CASE("an unknown strategy is refused with the list of names", "[routing]") {
  const auto selector = MakeReplicaSelector("fastest");
  REQUIRE_FALSE(selector);
  for (const char* name : kNames) REQUIRE(selector.reason().find(name) != std::string::npos);
}

TEST_CASE("every strategy leaves out unroutable candidates and prefers its own domain",
          "[routing]") {
  std::vector<backend_view> views{View("a", 0, "kicukiro"), View("b", 9, "gasabo"),
                                  View("c", 0, "gasabo"), View("d", 8, "gasabo")};
  views[2].routable = false;
  for (const char* name : kNames) {
    INFO(name);
    const auto ranking = RankWith(name, views);
    REQUIRE(ranking.size() == 3);
    REQUIRE(ranking.back() == 0);
    REQUIRE(RankWith(name, {}).empty());
  }
}

TEST_CASE("every strategy puts a straggler last in its domain", "[routing]") {
  std::vector<backend_view> views{View("a", 0, "gasabo"), View("b", 9, "gasabo"),
                                  View("c", 9, "gasabo"), View("d", 0, "kicukiro")};
  views[0].ms_per_token = 41;
  for (const char* name : kNames) {
    INFO(name);
    const auto ranking = RankWith(name, views);
    REQUIRE(ranking[2] == 0);
    REQUIRE(ranking[3] == 3);
  }
}

TEST_CASE("of two candidates the slower one can be a straggler", "[routing]") {
  std::vector<backend_view> views{View("a", 0, "gasabo"), View("b", 9, "gasabo")};
  views[0].ms_per_token = 100;
  REQUIRE(RankWith("least_loaded", views) == std::vector<std::size_t>{1, 0});
}

TEST_CASE("least_loaded counts own requests and ignores stale reports", "[routing]") {
  std::vector<backend_view> views{View("a", 3, "gasabo"), View("b", 12, "gasabo"),
                                  View("c", 0, "gasabo")};
  views[1].reported_at = kNow - std::chrono::seconds(3);
  for (int taken = 0; taken < 5; ++taken) REQUIRE(views[2].budget->TryAcquire(token_count(1)));
  REQUIRE(RankWith("least_loaded", views) == std::vector<std::size_t>{1, 0, 2});
}

TEST_CASE("least_loaded puts candidates at capacity last and rotates equal ones", "[routing]") {
  std::vector<backend_view> views{View("a", 0, "gasabo"), View("b", 5, "gasabo"),
                                  View("c", 5, "gasabo")};
  views[0].budget->SetLimits(request_count(0), token_count(0));
  auto selector = MakeReplicaSelector("least_loaded");
  std::map<std::size_t, int> first;
  for (int turn = 0; turn < 30; ++turn) {
    const auto ranking = (*selector)->Rank({views, kOwn, 0, kNow});
    REQUIRE(ranking.back() == 0);
    ++first[ranking.front()];
  }
  REQUIRE(first[1] > 5);
  REQUIRE(first[2] > 5);
}

TEST_CASE("round_robin selects the candidates in rotation", "[routing]") {
  const std::vector<backend_view> views{View("a", 0, "gasabo"), View("b", 5, "gasabo"),
                                        View("c", 9, "gasabo")};
  auto selector = MakeReplicaSelector("round_robin");
  for (std::size_t turn = 0; turn < 6; ++turn) {
    REQUIRE((*selector)->Rank({views, kOwn, 0, kNow}).front() == turn % 3);
  }
}

TEST_CASE("bounded_affinity keeps a prompt prefix on one replica", "[routing]") {
  const std::vector<backend_view> views{View("a", 4, "gasabo"), View("b", 4, "gasabo"),
                                        View("c", 4, "gasabo")};
  std::map<std::size_t, int> shares;
  for (std::uint64_t prefix = 1; prefix <= 300; ++prefix) {
    const auto ranking = RankWith("bounded_affinity", views, prefix);
    REQUIRE(ranking.size() == 3);
    REQUIRE(ranking == RankWith("bounded_affinity", views, prefix));
    ++shares[ranking.front()];
  }
  for (const auto& [index, share] : shares) REQUIRE(share > 50);
}

TEST_CASE("bounded_affinity avoids a replica loaded above the bound", "[routing]") {
  // Guards against a popular prompt prefix that overloads one replica while others are idle.
  std::vector<backend_view> views{View("a", 4, "gasabo"), View("b", 4, "gasabo"),
                                  View("c", 4, "gasabo")};
  const std::size_t preferred = RankWith("bounded_affinity", views, 7).front();
  views[preferred].reported_running = request_count(12);
  const auto ranking = RankWith("bounded_affinity", views, 7);
  REQUIRE(ranking.back() == preferred);
}

TEST_CASE("bounded_affinity does not prefer a replica at capacity", "[routing]") {
  std::vector<backend_view> views{View("a", 0, "gasabo"), View("b", 0, "gasabo")};
  const std::size_t preferred = RankWith("bounded_affinity", views, 7).front();
  views[preferred].budget->SetLimits(request_count(0), token_count(0));
  REQUIRE(RankWith("bounded_affinity", views, 7).front() != preferred);
}

TEST_CASE("entropy_weighted follows the indicator that distinguishes the candidates", "[routing]") {
  std::vector<backend_view> views{View("a", 5, "gasabo"), View("b", 1, "gasabo"),
                                  View("c", 9, "gasabo")};
  REQUIRE(RankWith("entropy_weighted", views) == std::vector<std::size_t>{1, 0, 2});
  for (backend_view& view : views) view.reported_running = request_count(4);
  views[2].ms_per_token = 15;
  REQUIRE(RankWith("entropy_weighted", views).front() == 2);
}

TEST_CASE("a retry budget allows its fraction of requests after the burst", "[routing]") {
  retry_budget budget(0.1, 2);
  REQUIRE(budget.TryTake());
  REQUIRE(budget.TryTake());
  REQUIRE_FALSE(budget.TryTake());
  for (int request = 0; request < 9; ++request) budget.RecordRequest();
  REQUIRE_FALSE(budget.TryTake());
  budget.RecordRequest();
  REQUIRE(budget.TryTake());
  for (int request = 0; request < 1000; ++request) budget.RecordRequest();
  REQUIRE(budget.TryTake());
  REQUIRE(budget.TryTake());
  REQUIRE_FALSE(budget.TryTake());
}

}  // namespace
}  // namespace waxwingwing
