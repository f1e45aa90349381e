#include "bench/routing_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

constexpr double kPrefillMs = 400;
constexpr double kCachedPrefillMs = 60;
constexpr double kMsPerToken = 12;
/// Relative growth of the time per token with each running request.
constexpr double kBatchCost = 0.05;
constexpr double kMeanTokens = 80;
constexpr double kSlowReplica = 1.5;
const failure_domain_id kDomain("gasabo");

}  // namespace

routing_model::routing_model(const routing_options& options)
    : options_(options), random_(options.seed), replicas_(options.replicas) {
  replicas_.front().slow_factor = kSlowReplica;
  double total = 0;
  for (std::size_t rank = 1; rank <= options.prefixes; ++rank) {
    total += 1 / static_cast<double>(rank);
    popularity_.push_back(total);
  }
  for (std::size_t entry = 0; entry < options.entry_vms; ++entry) {
    selectors_.push_back(std::move(*MakeReplicaSelector(options.strategy)));
    std::vector<backend_view>& views = views_.emplace_back();
    for (std::size_t number = 0; number < options.replicas; ++number) {
      backend_view view;
      view.replica = replica_id("r" + std::to_string(number));
      view.failure_domain = kDomain;
      view.routable = true;
      view.ms_per_token = kMsPerToken * replicas_[number].slow_factor;
      view.budget = std::make_shared<backend_budget>();
      view.budget->SetLimits(request_count(1000), token_count(1'000'000));
      views.push_back(view);
    }
  }
}

time_point routing_model::Now() const {
  return time_point(std::chrono::hours(1)) +
         microseconds(static_cast<std::int64_t>(now_ms_ * 1000));
}

routing_result routing_model::Run() {
  double next_arrival = 0;
  std::size_t arrived = 0;
  while (arrived < options_.requests) {
    if (!completions_.empty() && completions_.top().at_ms <= next_arrival) {
      const completion done = completions_.top();
      completions_.pop();
      now_ms_ = done.at_ms;
      Complete(done);
      continue;
    }
    now_ms_ = next_arrival;
    Arrive();
    ++arrived;
    next_arrival += -std::log(1 - random_.Fraction()) * 1000 / options_.requests_per_second;
  }
  std::sort(first_token_ms_.begin(), first_token_ms_.end());
  const std::size_t count = first_token_ms_.size();
  return {first_token_ms_[count / 2], first_token_ms_[count * 95 / 100],
          static_cast<double>(hits_) / static_cast<double>(count)};
}

std::uint64_t routing_model::DrawPrefix() {
  const double drawn = random_.Fraction() * popularity_.back();
  const auto found = std::upper_bound(popularity_.begin(), popularity_.end(), drawn);
  return static_cast<std::uint64_t>(found - popularity_.begin()) + 1;
}

void routing_model::Arrive() {
  request item;
  item.entry_vm = random_.Below(options_.entry_vms);
  item.prefix = DrawPrefix();
  item.arrived_ms = now_ms_;
  item.tokens = -std::log(1 - random_.Fraction()) * kMeanTokens;
  const bool known = random_.Fraction() >= options_.unknown_prefixes;
  // A prompt with an unknown prefix is hashed whole, which gives a different hash for each request.
  const std::uint64_t hashed = known ? item.prefix : random_.Next();
  std::vector<backend_view>& views = views_[item.entry_vm];
  for (std::size_t number = 0; number < views.size(); ++number) {
    views[number].reported_running = request_count(ReportedLoad(replicas_[number]));
    views[number].reported_at = Now();
  }
  const std::uint64_t prefix_hash = StableHash(std::to_string(hashed));
  const auto ranking = selectors_[item.entry_vm]->Rank({views, kDomain, prefix_hash, Now()});
  const std::size_t chosen = ranking.front();
  views[chosen].budget->TryAcquire(token_count(100));
  replica_state& replica = replicas_[chosen];
  if (replica.running < options_.slots) {
    Start(chosen, item);
  } else {
    replica.waiting.push_back(item);
  }
  RecordLoad(replica);
}

bool routing_model::LookUp(replica_state& replica, std::uint64_t prefix) const {
  const auto found = replica.cached.find(prefix);
  const bool hit = found != replica.cached.end();
  if (hit) replica.recent.erase(found->second);
  replica.recent.push_front(prefix);
  replica.cached[prefix] = replica.recent.begin();
  if (replica.recent.size() > options_.cache_entries) {
    replica.cached.erase(replica.recent.back());
    replica.recent.pop_back();
  }
  return hit;
}

void routing_model::Start(std::size_t replica, const request& item) {
  replica_state& state = replicas_[replica];
  ++state.running;
  const bool hit = LookUp(state, item.prefix);
  hits_ += hit ? 1 : 0;
  const double batch = 1 + kBatchCost * state.running;
  const double prefill = (hit ? kCachedPrefillMs : kPrefillMs) * state.slow_factor * batch;
  const double rest = item.tokens * kMsPerToken * state.slow_factor * batch;
  first_token_ms_.push_back(now_ms_ - item.arrived_ms + prefill);
  completions_.push({now_ms_ + prefill + rest, replica, item.entry_vm});
}

void routing_model::Complete(const completion& done) {
  replica_state& replica = replicas_[done.replica];
  --replica.running;
  views_[done.entry_vm][done.replica].budget->Release(token_count(100));
  if (!replica.waiting.empty()) {
    const request next = replica.waiting.front();
    replica.waiting.pop_front();
    Start(done.replica, next);
  }
  RecordLoad(replica);
}

void routing_model::RecordLoad(replica_state& replica) {
  const auto load = replica.running + static_cast<std::uint32_t>(replica.waiting.size());
  replica.history.emplace_back(now_ms_, load);
}

std::uint32_t routing_model::ReportedLoad(replica_state& replica) const {
  const double seen_ms = now_ms_ - static_cast<double>(options_.report_lag.count());
  while (replica.history.size() > 1 && replica.history[1].first <= seen_ms) {
    replica.history.pop_front();
  }
  if (replica.history.empty() || replica.history.front().first > seen_ms) return 0;
  return replica.history.front().second;
}

}  // namespace waxwingwing
