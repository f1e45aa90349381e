#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/idempotency/claim_decision.h"
#include "waxwingwing/idempotency/claim_index.h"

namespace waxwingwing {
namespace {

constexpr std::size_t kKeys = 12;
constexpr std::uint64_t kSteps = 1500;
/// Far below the default limit, so that short simulations contain late appends.
constexpr std::uint64_t kMaxLag = 40;

struct claims_append {
  append_id id;
  std::string payload;
};

/// An entry VM with an index that lags behind the log, its requests and its abandoned claims.
struct claiming_node {
  std::unique_ptr<claim_index> index = std::make_unique<claim_index>(
      claim_limits{.retention = std::chrono::hours(24), .max_lag = kMaxLag});
  std::vector<pending_claim> requests;
  abandoned_claims abandoned;
  waxwingwing::incarnation incarnation;
};

/// Simulates entry VMs with random requests and one log whose appends are lost, delayed, duplicated
/// or applied without a response.
class claims_simulation {
 public:
  explicit claims_simulation(std::uint64_t seed) : random_(seed), nodes_(3) {
    for (claiming_node& node : nodes_) node.incarnation = incarnation(random_.Next());
  }

  void Run() {
    for (step_ = 0; step_ < kSteps; ++step_) {
      claiming_node& node = nodes_[random_.Below(nodes_.size())];
      now_ += milliseconds(random_.Below(50));
      if (random_.Below(4) == 0) NewRequest(node);
      if (random_.Below(150) == 0) Restart(node);
      LandAppends();
      Read(node);
      DecideAll(node);
    }
  }

  std::uint64_t MostRuns() const {
    std::uint64_t most = 0;
    for (const auto& [key, count] : runs_) most = std::max(most, count);
    return most;
  }
  std::size_t KeysRun() const { return runs_.size(); }
  std::uint64_t wrong_outcomes() const { return wrong_outcomes_; }
  std::uint64_t released() const { return released_; }
  std::uint64_t too_late() const { return too_late_; }

 private:
  void NewRequest(claiming_node& node) {
    pending_claim request;
    request.claim = append_id(random_.HexId());
    request.key = {organisation_id("o"), std::to_string(random_.Below(kKeys)), 1};
    node.requests.push_back(std::move(request));
  }

  void Restart(claiming_node& node) {
    node = claiming_node();
    node.incarnation = incarnation(random_.Next());
  }

  void Send(claiming_node& node, claims_entry entry) {
    const claims_record record{node.index->next_offset(), {std::move(entry)}};
    const claims_append append{append_id(random_.HexId()), EncodeClaimsRecord(record)};
    // Copies are retries after a lost response, each of which may still be appended.
    const std::uint64_t copies = random_.Below(4);
    for (std::uint64_t i = 0; i < copies; ++i) in_flight_.emplace(step_ + Delay(), append);
  }

  /// Steps until an append is applied to the log; one in five has a long delay.
  std::uint64_t Delay() { return random_.Below(random_.Below(5) == 0 ? kSteps / 2 : 12); }

  void LandAppends() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= step_) {
      log_.push_back(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
    }
  }

  void Read(claiming_node& node) {
    const std::uint64_t known = node.index->next_offset().get();
    const std::uint64_t count = random_.Below(log_.size() - known + 1);
    for (std::uint64_t i = known; i < known + count; ++i) {
      const applied_claims applied =
          node.index->Apply(log_offset(i), log_[i].id, log_[i].payload, now_);
      for (const decided_claim& item : applied.decided) SetResolution(node, item);
      for (const release_entry& entry : node.abandoned.TakeReleases(applied.decided)) {
        Send(node, entry);
      }
    }
  }

  void SetResolution(claiming_node& node, const decided_claim& item) {
    if (item.resolution == claim_resolution::kTooLate) ++too_late_;
    for (pending_claim& request : node.requests) {
      if (request.claim == item.claim) request.resolution = item.resolution;
    }
  }

  void DecideAll(claiming_node& node) {
    std::vector<pending_claim> waiting;
    for (pending_claim& request : node.requests) {
      claim_conditions conditions;
      conditions.log_reachable = random_.Below(8) != 0;
      conditions.deadline_passed = random_.Below(10) == 0;
      const claim_decision decision = DecideClaim(*node.index, request, conditions, now_);
      if (Perform(node, request, decision)) waiting.push_back(std::move(request));
    }
    node.requests = std::move(waiting);
  }

  /// Executes a decision; returns whether the request is still waiting.
  bool Perform(claiming_node& node, pending_claim& request, const claim_decision& decision) {
    switch (decision.step) {
      case claim_step::kWait:
        return true;
      case claim_step::kClaimAgain:
        request.claim = append_id(random_.HexId());
        request.resolution.reset();
        [[fallthrough]];
      case claim_step::kAppend:
        request.sent = true;
        Send(node, claim_entry{request.claim, request.key, vm_id("vm"), node.incarnation});
        return true;
      case claim_step::kAnswer:
        Answer(node, request, decision.answer);
        return false;
    }
    return false;
  }

  void Answer(claiming_node& node, const pending_claim& request, const claim_answer& answer) {
    if (request.sent && !request.resolution) node.abandoned.Add(request.claim);
    if (answer.result == claim_result::kRecorded &&
        answer.outcome->body != outcomes_[request.key.key]) {
      ++wrong_outcomes_;
    }
    if (answer.result != claim_result::kWon) return;
    if (random_.Below(2) == 0) {
      ++released_;
      Send(node, release_entry{answer.claim});
      return;
    }
    ++runs_[request.key.key];
    outcomes_[request.key.key] = answer.claim.str();
    Send(node, outcome_entry{answer.claim, recorded_outcome{200, "", answer.claim.str()}});
  }

  random_source random_;
  std::vector<claiming_node> nodes_;
  std::multimap<std::uint64_t, claims_append> in_flight_;
  std::uint64_t step_ = 0;
  std::vector<claims_append> log_;
  time_point now_{std::chrono::hours(1)};
  std::map<std::string, std::uint64_t> runs_;
  std::map<std::string, std::string> outcomes_;
  std::uint64_t wrong_outcomes_ = 0;
  std::uint64_t released_ = 0;
  std::uint64_t too_late_ = 0;
};

TEST_CASE("no call runs twice when claims are lost, delayed or duplicated",
          "[idempotency][property]") {
  std::uint64_t keys_run = 0;
  std::uint64_t released = 0;
  std::uint64_t too_late = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    claims_simulation simulation(seed);
    simulation.Run();
    INFO("seed " << seed);
    REQUIRE(simulation.MostRuns() <= 1);
    REQUIRE(simulation.wrong_outcomes() == 0);
    keys_run += simulation.KeysRun();
    released += simulation.released();
    too_late += simulation.too_late();
  }
  // Guards against simulations without winning, released and late claims, which would test nothing.
  CHECK(keys_run > 400);
  CHECK(released > 400);
  CHECK(too_late > 100);
}

}  // namespace
}  // namespace waxwingwing
