#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "waxwingwing/admission/admission_queue.h"
#include "waxwingwing/admission/backend_budget.h"
#include "waxwingwing/admission/backend_limits.h"
#include "waxwingwing/admission/credit_holder.h"
#include "waxwingwing/admission/credit_ledger.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

model_group_config ExampleGroup() {
  model_group_config group;
  group.id = model_group_id("orders");
  group.max_requests = request_count(16);
  group.cold_requests = request_count(2);
  group.warm_up = milliseconds(30000);
  group.kv_tokens = token_count(8192);
  return group;
}

backend_amount Amount(std::uint32_t requests, std::uint64_t kv_tokens) {
  return {request_count(requests), token_count(kv_tokens)};
}

TEST_CASE("the request limit rises from cold to warm during the warm-up and then stays",
          "[admission]") {
  const model_group_config group = ExampleGroup();
  CHECK(LimitAt(group, milliseconds(0)).requests == request_count(2));
  CHECK(LimitAt(group, milliseconds(15000)).requests == request_count(9));
  CHECK(LimitAt(group, milliseconds(99000)).requests == request_count(16));
}

TEST_CASE("static shares add up to at most the static part when slots see different limits",
          "[admission]") {
  // Guards against exceeding the limit during a warm-up, when slots compute their shares from
  // reports of different ages.
  random_source random(11);
  for (int round = 0; round < 2000; ++round) {
    const auto slots = static_cast<std::uint32_t>(1 + random.Below(9));
    const auto highest = static_cast<std::uint32_t>(1 + random.Below(20));
    backend_amount sum;
    for (std::uint32_t slot = 0; slot < slots; ++slot) {
      const auto seen = static_cast<std::uint32_t>(random.Below(highest + 1));
      const backend_amount share =
          StaticShare(Amount(seen, 8192), request_count(highest), slots, slot, "orders/1");
      sum = {sum.requests + share.requests, sum.kv_tokens + share.kv_tokens};
    }
    REQUIRE(sum.requests <= StaticPart(Amount(highest, 8192)).requests);
    REQUIRE(sum.kv_tokens <= StaticPart(Amount(highest, 8192)).kv_tokens);
  }
}

TEST_CASE("a budget never holds more than its limits", "[admission]") {
  backend_budget budget;
  budget.SetLimits(request_count(2), token_count(100));
  CHECK(budget.TryAcquire(token_count(60)));
  CHECK_FALSE(budget.TryAcquire(token_count(60)));
  CHECK(budget.TryAcquire(token_count(40)));
  CHECK_FALSE(budget.TryAcquire(token_count(0)));
  CHECK(budget.TakeUnmetRequests() == 2);
  budget.Release(token_count(60));
  CHECK(budget.InUse().kv_tokens == token_count(40));
}

/// Simulates the entry VMs and grantors of one backend server, with lost messages and takeovers.
class credit_simulation {
 public:
  explicit credit_simulation(std::uint64_t seed) : random_(seed) {
    ledger_.SetPool(kGeneration, kServer, kPool);
    for (const char* name : {"a", "b", "c"}) nodes_[vm_id(name)];
  }

  void Step() {
    now_ += milliseconds(random_.Below(400));
    if (random_.Below(40) == 0) TakeOver();
    for (auto& [name, node] : nodes_) StepNode(name, node);
  }

  std::uint32_t InUse() const {
    std::uint32_t total = 0;
    for (const auto& [name, node] : nodes_) total += node.in_use;
    return total;
  }

  static constexpr backend_amount kPool{request_count(8), token_count(8000)};

 private:
  struct node_state {
    credit_holder holder;
    std::uint32_t in_use = 0;
    /// Until this time the node is partitioned from the grantor.
    time_point partitioned_until{};
  };

  void TakeOver() {
    ledger_ = credit_ledger();
    ledger_.SetPool(kGeneration, kServer, kPool);
    ledger_.BeginTerm(now_);
    term_ = term_.Next();
  }

  void StepNode(const vm_id& name, node_state& node) {
    std::set<vm_id> names;
    for (const auto& item : nodes_) names.insert(item.first);
    const backend_amount held = Amount(InUse(), std::uint64_t{InUse()} * 1000);
    ledger_.SetHeld(held, names);
    const backend_amount used = Amount(node.in_use, std::uint64_t{node.in_use} * 1000);
    const std::uint32_t wanted = random_.Below(3) == 0 ? 8 : 0;
    const time_point asked_at = now_;
    if (random_.Below(15) == 0) node.partitioned_until = now_ + milliseconds(random_.Below(15000));
    const bool request_lost = now_ < node.partitioned_until || random_.Below(4) == 0;
    const bool answer_lost = random_.Below(4) == 0;
    if (!request_lost) {
      const backend_amount granted =
          ledger_.Grant(name, Amount(wanted, std::uint64_t{wanted} * 1000), used, now_);
      if (!answer_lost) node.holder.Accept(kGeneration, kServer, term_, granted, asked_at);
    }
    if (node.in_use > 0 && random_.Below(5) == 0) --node.in_use;
    const auto valid = node.holder.Valid(kGeneration, kServer, now_).requests.get();
    if (node.in_use < valid && random_.Below(2) == 0) ++node.in_use;
  }

  static constexpr generation kGeneration{1};
  static constexpr incarnation kServer{7};
  random_source random_;
  credit_ledger ledger_;
  std::map<vm_id, node_state> nodes_;
  fencing_number term_{1};
  time_point now_ = manual_clock().Now();
};

TEST_CASE("a grant is free for other nodes once it has ended, even when smaller grants follow it",
          "[admission]") {
  // Guards against later, smaller grants that extend the reservation of an earlier, larger one.
  credit_ledger ledger;
  ledger.SetPool(generation(1), incarnation(7), Amount(8, 8000));
  time_point now = manual_clock().Now();
  CHECK(ledger.Grant(vm_id("one"), Amount(8, 8000), {}, now).requests.get() == 8);
  for (int report = 0; report < 16; ++report) {
    now += milliseconds(250);
    ledger.Grant(vm_id("one"), {}, {}, now);
  }
  CHECK(ledger.Reserved(now).requests.get() == 0);
  CHECK(ledger.Grant(vm_id("two"), Amount(8, 8000), {}, now).requests.get() == 8);
}

TEST_CASE("credits in use never exceed the pool despite lost messages and takeovers",
          "[admission]") {
  // Guards against two grants of the same credits being used at once after a takeover of the
  // grantor or the loss of a grant.
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    credit_simulation model(seed);
    for (int step = 0; step < 400; ++step) {
      model.Step();
      INFO("seed " << seed << " step " << step);
      REQUIRE(model.InUse() <= credit_simulation::kPool.requests.get());
    }
  }
}

TEST_CASE("a new incarnation of the backend server voids credits", "[admission]") {
  credit_holder holder;
  const time_point now = manual_clock().Now();
  holder.Accept(generation(1), incarnation(7), fencing_number(3), Amount(4, 400), now);
  CHECK(holder.Valid(generation(1), incarnation(7), now).requests == request_count(4));
  CHECK(holder.Valid(generation(1), incarnation(8), now).requests == request_count(0));
  CHECK(holder.Valid(generation(1), incarnation(7), now + kCreditTimeToLive).requests ==
        request_count(0));
}

/// Free capacity for a number of requests, and the order in which organisations were served.
struct free_capacity {
  std::uint32_t free = 0;
  std::vector<std::string> served;

  admission_queue::waiter Waiter(const organisation_config& organisation, time_point deadline) {
    return {&organisation, token_count(1024), deadline, [this, &organisation] {
              if (free == 0) return false;
              --free;
              served.push_back(organisation.id.str());
              return true;
            }};
  }
};

TEST_CASE("waiting requests are served by priority, then by share", "[admission]") {
  organisation_config urgent{organisation_id("urgent"), 0, 1, 100};
  organisation_config large{organisation_id("large"), 5, 3, 100};
  organisation_config small{organisation_id("small"), 5, 1, 100};
  const time_point now = manual_clock().Now();
  const time_point deadline = now + std::chrono::seconds(30);
  admission_queue queue;
  free_capacity capacity;
  for (int i = 0; i < 40; ++i) queue.Admit(capacity.Waiter(large, deadline), now);
  for (int i = 0; i < 40; ++i) queue.Admit(capacity.Waiter(small, deadline), now);
  queue.Admit(capacity.Waiter(urgent, deadline), now);

  capacity.free = 41;
  queue.Dispatch(now);
  CHECK(capacity.served.front() == "urgent");
  const auto large_served = std::count(capacity.served.begin(), capacity.served.end(), "large");
  CHECK(large_served >= 29);
  CHECK(large_served <= 31);
}

TEST_CASE("a request at a full queue is refused with a retry delay before its deadline",
          "[admission]") {
  organisation_config organisation{organisation_id("o"), 5, 1, 2};
  const time_point now = manual_clock().Now();
  const time_point deadline = now + std::chrono::seconds(30);
  admission_queue queue;
  free_capacity no_capacity;
  CHECK(queue.Admit(no_capacity.Waiter(organisation, deadline), now).result ==
        admission_queue::verdict::kQueued);
  const auto second = queue.Admit(no_capacity.Waiter(organisation, deadline), now);
  const auto refused = queue.Admit(no_capacity.Waiter(organisation, deadline), now);
  CHECK(refused.result == admission_queue::verdict::kQueueFull);
  CHECK(refused.retry_after >= milliseconds(100));
  CHECK(queue.Remove(second.id));
  CHECK_FALSE(queue.Remove(second.id));
  CHECK(queue.Size() == 1);
}

}  // namespace
}  // namespace waxwingwing
