#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "waxwingwing/control/control_state.h"
#include "waxwingwing/lease/lease_controller_state.h"

namespace waxwingwing {
namespace {

const failure_domain_id kIfo("ifo");
constexpr time_point kStart{std::chrono::hours(1)};

lease_participant Participant(const char* vm) { return {kIfo, vm_id(vm), incarnation(1)}; }

/// A lease candidate with the control state that it has read.
class lease_node {
 public:
  explicit lease_node(const char* vm)
      : controller(Participant(vm), lease_timing{}, random_source(1)), vm_(vm) {}

  lease_decision Tick(milliseconds at) {
    now = kStart + at;
    controller.Observe(state.FindLease(kIfo), now);
    return controller.Decide({vm_id(vm_)}, now);
  }

  void CommitAppend(const lease_append& append) {
    state.Apply(state.next_offset(), append.id, EncodeControlRecord(append.record));
    controller.Observe(state.FindLease(kIfo), now);
  }

  void CommitForeignAppend(const char* vm, std::optional<log_offset> based_on,
                           bool released = false) {
    const lease_record record{kIfo, vm_id(vm), incarnation(9), based_on, released};
    CommitAppend({append_id("foreign" + std::to_string(state.next_offset().get())), record});
  }

  order_permission Permission(milliseconds at) const {
    return controller.PermittedOrders(kOrderTimeout, kStart + at);
  }

  lease_controller_state controller;
  control_state state;
  time_point now = kStart;

 private:
  const char* vm_;
};

TEST_CASE("a lease counts from before its append was first sent", "[lease]") {
  lease_node node("a");
  const lease_decision claim = node.Tick(milliseconds(0));
  REQUIRE(claim.action == lease_action::kClaim);
  REQUIRE_FALSE(claim.append->record.based_on);
  REQUIRE(node.Permission(milliseconds(0)) == order_permission::kNone);
  // The answer is lost, so the append is sent again with the same id; the lease counts from the
  // first time it was sent.
  REQUIRE(node.Tick(milliseconds(900)).action == lease_action::kWait);
  const lease_decision again = node.Tick(milliseconds(1000));
  REQUIRE(again.action == lease_action::kClaim);
  REQUIRE(again.append->id == claim.append->id);
  node.CommitAppend(*claim.append);
  REQUIRE(node.controller.ValidUntil() == kStart + milliseconds(5940));
  REQUIRE(node.Permission(milliseconds(3940)) == order_permission::kAll);
  REQUIRE(node.Permission(milliseconds(3941)) == order_permission::kFencingEnginesOnly);
}

TEST_CASE("an answered append is not repeated", "[lease]") {
  lease_node node("a");
  const lease_decision claim = node.Tick(milliseconds(0));
  node.controller.RecordAppendAnswered(claim.append->id);
  REQUIRE(node.Tick(milliseconds(5000)).action == lease_action::kWait);
}

TEST_CASE("during a log outage the holder may order only engines that check fencing", "[lease]") {
  lease_node node("a");
  node.CommitAppend(*node.Tick(milliseconds(0)).append);
  REQUIRE(node.Tick(milliseconds(1999)).action == lease_action::kHold);
  const lease_decision renewal = node.Tick(milliseconds(2000));
  REQUIRE(renewal.action == lease_action::kRenew);
  REQUIRE(renewal.append->record.based_on == log_offset(0));
  // While the log is unreachable, the renewal stays undecided and is sent again with the same id.
  const lease_decision late = node.Tick(milliseconds(60000));
  REQUIRE(late.append->id == renewal.append->id);
  REQUIRE(node.Permission(milliseconds(60000)) == order_permission::kFencingEnginesOnly);
  node.CommitAppend(*renewal.append);
  // The lease counts from the first time the renewal was sent, so the next renewal is due at once.
  REQUIRE(node.Permission(milliseconds(60000)) == order_permission::kFencingEnginesOnly);
  const lease_decision next = node.Tick(milliseconds(60000));
  REQUIRE(next.action == lease_action::kRenew);
  node.CommitAppend(*next.append);
  REQUIRE(node.Permission(milliseconds(60000)) == order_permission::kAll);
  REQUIRE(node.controller.Fencing() == fencing_number(0));
}

TEST_CASE("a superseded holder may not send orders", "[lease]") {
  lease_node node("a");
  node.CommitAppend(*node.Tick(milliseconds(0)).append);
  node.CommitForeignAppend("b", log_offset(0));
  REQUIRE(node.Permission(milliseconds(1)) == order_permission::kNone);
  REQUIRE_FALSE(node.controller.ValidUntil());
}

TEST_CASE("a successor waits for the lease, the clock error and the orders in flight", "[lease]") {
  lease_node node("a");
  node.CommitForeignAppend("b", std::nullopt);
  REQUIRE(node.Tick(milliseconds(8059)).action == lease_action::kWait);
  const lease_decision claim = node.Tick(milliseconds(8060));
  REQUIRE(claim.action == lease_action::kClaim);
  // The holder renews before the claim arrives; the claim is void and the wait starts again.
  node.CommitForeignAppend("b", log_offset(0));
  REQUIRE(node.Tick(milliseconds(16119)).action == lease_action::kWait);
  const lease_decision second = node.Tick(milliseconds(16120));
  REQUIRE(second.append->id != claim.append->id);
  REQUIRE(second.append->record.based_on == log_offset(1));
}

TEST_CASE("a released lease is claimed without a wait", "[lease]") {
  lease_node node("a");
  node.CommitForeignAppend("b", std::nullopt);
  node.CommitForeignAppend("b", log_offset(0), /*released=*/true);
  REQUIRE(node.Tick(milliseconds(0)).action == lease_action::kClaim);
}

TEST_CASE("a lease is released only after its orders can no longer take effect", "[lease]") {
  lease_node node("a");
  node.CommitAppend(*node.Tick(milliseconds(0)).append);
  node.controller.RecordOrder(kOrderTimeout, kStart + milliseconds(500));
  node.controller.RequestRelease();
  REQUIRE(node.Permission(milliseconds(600)) == order_permission::kNone);
  REQUIRE(node.Tick(milliseconds(4499)).action == lease_action::kHold);
  const lease_decision release = node.Tick(milliseconds(4500));
  REQUIRE(release.action == lease_action::kRelease);
  REQUIRE(release.append->record.released);
  REQUIRE_FALSE(node.controller.IsReleased());
  node.CommitAppend(*release.append);
  REQUIRE(node.controller.IsReleased());
  REQUIRE(node.Tick(milliseconds(60000)).action == lease_action::kWait);
}

TEST_CASE("candidates claim one after the other", "[lease]") {
  const std::vector<vm_id> live{vm_id("a"), vm_id("b"), vm_id("c")};
  std::vector<std::uint32_t> ranks;
  ranks.reserve(live.size());
  for (const vm_id& vm : live) ranks.push_back(ClaimRank(kIfo, vm, live));
  std::sort(ranks.begin(), ranks.end());
  REQUIRE(ranks == std::vector<std::uint32_t>{0, 1, 2});
  lease_node node("a");
  const std::uint32_t rank = ClaimRank(kIfo, vm_id("a"), live);
  node.controller.Observe(nullptr, kStart);
  if (rank > 0) {
    const time_point early = kStart + milliseconds(300) * rank - milliseconds(1);
    REQUIRE(node.controller.Decide(live, early).action == lease_action::kWait);
  }
  REQUIRE(node.controller.Decide(live, kStart + milliseconds(300) * rank).action ==
          lease_action::kClaim);
}

}  // namespace
}  // namespace waxwingwing
