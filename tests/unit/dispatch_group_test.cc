#include "gateway/dispatch_group.h"

#include <catch2/catch.hpp>
#include <set>

namespace waxwingwing {
namespace {

const time_point kNow = time_point(std::chrono::hours(1));
const model_group_id kModel("chat");

backend_view View(const std::string& id) {
  backend_view view;
  view.replica = replica_id(id);
  view.vm = vm_id(id);
  view.failure_domain = failure_domain_id("gasabo");
  view.routable = true;
  view.reported_at = kNow;
  view.budget = std::make_shared<backend_budget>();
  view.budget->SetLimits(request_count(16), token_count(1000));
  return view;
}

class group_fixture {
 public:
  explicit group_fixture(std::vector<backend_view> backends) {
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->published_at = kNow + std::chrono::seconds(10);
    snapshot->own_domain = failure_domain_id("gasabo");
    snapshot->replicas[kModel] = std::move(backends);
    snapshots_.Publish(std::move(snapshot));
  }

  /// Places `count` requests that run at the same time; returns the VMs they are placed on.
  std::set<std::string> Place(std::size_t count, time_point now) {
    std::set<std::string> vms;
    std::vector<std::unique_ptr<backend_placement>> placements(count);
    for (auto& placement : placements) {
      REQUIRE(group_.TryPlace({}, placement, now) == dispatch_group::placement_result::kPlaced);
      vms.insert(placement->view.vm.str());
    }
    return vms;
  }
  void ReportUnanswered(const std::string& id, time_point now) {
    group_.ReportUnanswered(View(id), now);
  }
  void ReportAnswered(const std::string& id) { group_.ReportAnswered(View(id)); }

 private:
  snapshot_cell<routing_snapshot> snapshots_{std::make_shared<routing_snapshot>()};
  dispatch_group group_{dispatch_group::kind::kModelGroup, kModel.str(), snapshots_,
                        std::move(*MakeReplicaSelector("least_loaded"))};
};

// Guards against exhausting the shared retry budget: until a killed server's reports show its
// failure, each request sent to it uses a retry, and callers are refused although another server
// has free capacity.
TEST_CASE("a server that did not answer a request gets no others until the exclusion ends",
          "[gateway]") {
  group_fixture group({View("a"), View("b")});
  REQUIRE(group.Place(6, kNow) == std::set<std::string>{"a", "b"});
  group.ReportUnanswered("a", kNow);
  REQUIRE(group.Place(6, kNow + milliseconds(900)) == std::set<std::string>{"b"});
  REQUIRE(group.Place(6, kNow + milliseconds(1000)) == std::set<std::string>{"a", "b"});
}

TEST_CASE("a server that answers again gets requests immediately", "[gateway]") {
  group_fixture group({View("a"), View("b")});
  group.ReportUnanswered("a", kNow);
  group.ReportUnanswered("b", kNow);
  group.ReportAnswered("a");
  REQUIRE(group.Place(6, kNow) == std::set<std::string>{"a"});
}

TEST_CASE("the only server is used even if it did not answer a request", "[gateway]") {
  group_fixture group({View("a")});
  group.ReportUnanswered("a", kNow);
  REQUIRE(group.Place(1, kNow) == std::set<std::string>{"a"});
}

}  // namespace
}  // namespace waxwingwing
