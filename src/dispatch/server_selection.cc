#include "waxwingwing/dispatch/server_selection.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace waxwingwing {
namespace {

/// Load added for a server whose recent requests all failed, in requests per slot.
constexpr double kFailureLoad = 4;
/// Load added for each second between decoding steps of a group, in requests per slot. A step takes
/// longer the more prompts it prefills, including those of other VMs, which this VM's own requests
/// do not show.
constexpr double kStepTimeLoad = 2;
/// Requests of all VMs together at a group that none of them has used yet, per slot of the group:
/// after a power failure all callers return at the same time, and requests that a group cannot
/// start queue there.
constexpr double kFirstRequestsPerSlot = 2;
/// Largest initial window: VMs that start one after the other see too large a share at first.
constexpr double kMaxFirstWindow = 6;
/// Deviation of the number of requests at a group of which there is no report, per slot.
constexpr double kUnknownLoad = 0.5;
/// Slots of a group for each VM from which on a VM's own requests there show the group's load: its
/// concurrency window and the times between their events then follow what the group can bear.
constexpr double kSlotsToLearnFrom = 2;
/// Number of groups compared for one request.
constexpr std::size_t kGroupsCompared = 2;
/// Largest random load added to a score, in requests per slot; spreads the requests of VMs that see
/// equal loads.
constexpr double kRandomLoad = 0.01;

/// Whether a VM with `share` of all requests has too few of them at the group to learn its load.
bool NeedsEstimates(const dispatch_candidate& group, double share) {
  return static_cast<double>(group.slots) * share < kSlotsToLearnFrom;
}

}  // namespace

const char* NameOf(selection_failure failure) {
  static constexpr std::array kNames = {"none", "no_server", "all_suspended", "all_resting",
                                        "all_full"};
  return kNames.at(static_cast<std::size_t>(failure));
}

const std::array<server_selection::condition, 6> server_selection::kConditions = {{
    {"leaving", selection_failure::kAllSuspended, &server_selection::CheckLeaving, true},
    {"resting", selection_failure::kAllResting, &server_selection::CheckRest, true},
    {"suspended", selection_failure::kAllSuspended, &server_selection::CheckSuspension},
    {"full", selection_failure::kAllFull, &server_selection::CheckCapacity},
    {"rate_limit", selection_failure::kAllFull, &server_selection::CheckRateLimit, true},
    {"cold_rate", selection_failure::kAllFull, &server_selection::CheckColdRate},
}};

server_selection::server_selection(selection_options options, failure_domain_id own_domain,
                                   random_source random)
    : options_(options),
      own_domain_(std::move(own_domain)),
      random_(random),
      stated_(kStatedRates) {}

void server_selection::SetPartitions(const work_partitions& partitions) {
  cold_.SetPartitions(partitions);
  stated_.SetPartitions(partitions);
  if (!partitions.held.empty() && !vms_are_known_) share_ = partitions.Share();
}

double server_selection::FirstWindow(const dispatch_candidate& candidate) const {
  if (share_ <= 0) return kMaxFirstWindow;
  const double requests = kFirstRequestsPerSlot * static_cast<double>(candidate.slots);
  return std::min(kMaxFirstWindow, std::ceil(requests * share_));
}

const dispatch_candidate* server_selection::Select(
    const std::vector<dispatch_candidate>& candidates, const std::set<backend_server_id>& excluded,
    time_point now, selection_failure& failure, const selection_work& work) {
  failure = selection_failure::kNoServer;
  std::vector<usable_server> usable;
  const std::size_t subset = SubsetSize(candidates, now);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i >= subset && !usable.empty()) break;
    const dispatch_candidate& candidate = candidates[i];
    server_load& load = loads_[candidate.server];
    if (!candidate.group.empty()) load.SetFirstWindow(FirstWindow(candidate));
    if (excluded.contains(candidate.server)) {
      failure = std::max(failure, selection_failure::kAllSuspended);
      continue;
    }
    const auto exclusion = ExclusionOf(candidate, load, now);
    if (exclusion) {
      failure = std::max(failure, exclusion->failure);
    } else if (ExceedsMemory(candidate, load, work, now)) {
      failure = std::max(failure, selection_failure::kAllFull);
    } else {
      usable.push_back({&candidate, &load});
    }
  }
  if (usable.empty()) return nullptr;
  failure = selection_failure::kNone;
  const dispatch_candidate* best = LeastLoaded(usable, now, work);
  if (best->pool != 0) subsets_.RecordRequest(best->pool, now);
  if (best->cold_rate > 0 && now < best->cold_until) cold_.ConsumeToken(best->server);
  if (notices_.RateLimit(best->server, best->born, now)) stated_.ConsumeToken(best->server);
  return best;
}

std::size_t server_selection::SubsetSize(const std::vector<dispatch_candidate>& candidates,
                                         time_point now) const {
  if (candidates.empty() || candidates.front().pool == 0) return candidates.size();
  return subsets_.SizeOf(candidates.front().pool, candidates.size(), now);
}

const dispatch_candidate* server_selection::LeastLoaded(std::vector<usable_server>& usable,
                                                        time_point now,
                                                        const selection_work& work) {
  // All VMs see nearly the same loads, which are some hundred ms old, so the least loaded group
  // would get the requests of every VM until the next report. Comparing only two random groups
  // avoids this herding.
  const bool is_group = !usable.front().candidate->group.empty();
  if (is_group && usable.size() > kGroupsCompared) {
    for (std::size_t i = 0; i < kGroupsCompared; ++i) {
      std::swap(usable[i], usable[i + random_.Below(usable.size() - i)]);
    }
    usable.resize(kGroupsCompared);
  }
  const bool by_cost = is_group && work.IsKnown() && vms_are_known_ &&
                       NeedsEstimates(*usable.front().candidate, share_);
  const dispatch_candidate* best = nullptr;
  double best_score = 0;
  for (const usable_server& server : usable) {
    const double score = by_cost ? CostScoreOf(*server.candidate, *server.load, work, now)
                                 : ScoreOf(*server.candidate, *server.load, now);
    if (best != nullptr && score >= best_score) continue;
    best = server.candidate;
    best_score = score;
  }
  return best;
}

bool server_selection::CanSelect(const std::vector<dispatch_candidate>& candidates,
                                 const std::set<backend_server_id>& excluded, time_point now,
                                 const selection_work& work) {
  return std::any_of(
      candidates.begin(), candidates.end(), [&](const dispatch_candidate& candidate) {
        const server_load& load = loads_[candidate.server];
        return !excluded.contains(candidate.server) && !ExclusionOf(candidate, load, now) &&
               !ExceedsMemory(candidate, load, work, now);
      });
}

time_point server_selection::AvailableAt(const std::vector<dispatch_candidate>& candidates,
                                         const std::set<backend_server_id>& excluded,
                                         time_point now) {
  time_point earliest = time_point::max();
  for (const dispatch_candidate& candidate : candidates) {
    if (excluded.contains(candidate.server)) continue;
    const auto exclusion = ExclusionOf(candidate, now);
    earliest = std::min(earliest, exclusion ? exclusion->until : now);
  }
  return earliest;
}

std::string server_selection::DescribeExclusions(const std::vector<dispatch_candidate>& candidates,
                                                 const std::set<backend_server_id>& excluded,
                                                 time_point now) {
  std::map<std::string, std::size_t> counts;
  for (const dispatch_candidate& candidate : candidates) {
    const auto exclusion = ExclusionOf(candidate, now);
    if (excluded.contains(candidate.server)) {
      ++counts["tried"];
    } else if (exclusion) {
      ++counts[exclusion->reason];
    }
  }
  std::string text;
  for (const auto& [reason, count] : counts) {
    text += (text.empty() ? "" : " ") + reason + "=" + std::to_string(count);
  }
  return text;
}

std::optional<server_exclusion> server_selection::ExclusionOf(const dispatch_candidate& candidate,
                                                              time_point now) {
  return ExclusionOf(candidate, loads_[candidate.server], now);
}

std::optional<server_exclusion> server_selection::ExclusionOf(const dispatch_candidate& candidate,
                                                              const server_load& load,
                                                              time_point now) {
  for (const condition& known : kConditions) {
    if (known.needs_notice && notices_.empty()) continue;
    const auto until = (this->*known.check)(candidate, load, now);
    if (until) return server_exclusion{known.reason, known.failure, *until};
  }
  return std::nullopt;
}

std::optional<time_point> server_selection::CheckLeaving(const dispatch_candidate& candidate,
                                                         const server_load& /*load*/,
                                                         time_point /*now*/) {
  if (!notices_.IsLeaving(candidate.server, candidate.born)) return std::nullopt;
  return time_point::max();
}

std::optional<time_point> server_selection::CheckRest(const dispatch_candidate& candidate,
                                                      const server_load& /*load*/, time_point now) {
  return notices_.RestsUntil(candidate.server, candidate.born, now);
}

std::optional<time_point> server_selection::CheckSuspension(const dispatch_candidate& /*candidate*/,
                                                            const server_load& load,
                                                            time_point now) {
  return load.IsSuspended(now) ? load.suspended_until() : std::nullopt;
}

std::optional<time_point> server_selection::CheckCapacity(const dispatch_candidate& candidate,
                                                          const server_load& load,
                                                          time_point /*now*/) {
  if (!IsFull(candidate, load)) return std::nullopt;
  return time_point::max();
}

std::optional<time_point> server_selection::CheckRateLimit(const dispatch_candidate& candidate,
                                                           const server_load& /*load*/,
                                                           time_point now) {
  const auto rate = notices_.RateLimit(candidate.server, candidate.born, now);
  if (!rate || stated_.MaySend(candidate.server, *rate, now)) return std::nullopt;
  return time_point::max();
}

std::optional<time_point> server_selection::CheckColdRate(const dispatch_candidate& candidate,
                                                          const server_load& /*load*/,
                                                          time_point now) {
  if (candidate.cold_rate <= 0 || now >= candidate.cold_until) return std::nullopt;
  if (cold_.MaySend(candidate.server, candidate.cold_rate, now)) return std::nullopt;
  return candidate.cold_until;
}

server_notices::changes server_selection::RecordNotice(const dispatch_candidate& server,
                                                       const server_notice& notice,
                                                       time_point now) {
  const auto news = notices_.Record(server.server, server.born, notice, random_.Fraction(), now);
  if (news.rests_until) loads_[server.server].RecordRest();
  return news;
}

bool server_selection::IsWithdrawn(const dispatch_candidate& server, time_point now) const {
  return notices_.IsLeaving(server.server, server.born) ||
         notices_.RestsUntil(server.server, server.born, now).has_value();
}

bool server_selection::IsFull(const dispatch_candidate& candidate, const server_load& load) const {
  if (candidate.group.empty()) {
    const double limit = options_.waiting_per_slot * static_cast<double>(candidate.slots);
    return static_cast<double>(load.waiting()) >= std::max(2.0, limit);
  }
  return static_cast<double>(load.running()) >= load.window();
}

void server_selection::ForgetFailures() {
  for (auto& [server, load] : loads_) load.ForgetFailures();
}

server_requests server_selection::OwnRequests() const {
  server_requests requests;
  for (const auto& [server, load] : loads_) {
    if (load.running() > 0) requests[server] = {load.running(), load.backlog().own()};
  }
  return requests;
}

void server_selection::SetOtherRequests(const server_requests& requests, std::size_t vms,
                                        time_point now) {
  if (vms > 0) {
    vms_are_known_ = true;
    share_ = 1 / static_cast<double>(vms);
  }
  for (auto& [server, load] : loads_) {
    const auto reported = requests.find(server);
    const server_usage usage = reported == requests.end() ? server_usage() : reported->second;
    load.SetOtherVmRequests(usage.running, now);
    load.backlog().SetOthers(usage.work, now);
  }
  for (const auto& [server, usage] : requests) {
    loads_[server].SetOtherVmRequests(usage.running, now);
    loads_[server].backlog().SetOthers(usage.work, now);
  }
}

double server_selection::ScoreOf(const dispatch_candidate& candidate, const server_load& load,
                                 time_point now) {
  const double slots = static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
  double score = (load.running() + load.waiting() + load.other_vm_requests(now)) / slots;
  score += load.failure_rate() * kFailureLoad;
  score += std::chrono::duration<double>(load.RecentStepTime(now)).count() * kStepTimeLoad;
  if (candidate.failure_domain != own_domain_) score += options_.other_domain_load;
  return score + random_.Fraction() * kRandomLoad;
}

bool server_selection::ExceedsMemory(const dispatch_candidate& candidate, const server_load& load,
                                     const selection_work& work, time_point now) {
  if (!work.IsKnown() || candidate.group.empty()) return false;
  const token_count capacity = work.engine->kv_capacity();
  outstanding_work held = load.backlog().own();
  held += load.backlog().others(now);
  // An empty group may be tried, since the size of a request is only estimated.
  if (capacity.get() == 0 || held.memory.get() == 0) return false;
  // Requests beyond the slots wait and occupy no memory yet.
  const double running = load.running() + load.other_vm_requests(now);
  const double slots = static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
  const double started = running > slots ? slots / running : 1;
  const double used = static_cast<double>(held.memory.get()) * started;
  return used + static_cast<double>(work.cost->memory.get()) > static_cast<double>(capacity.get());
}

group_load server_selection::GroupLoadOf(const dispatch_candidate& candidate,
                                         const server_load& load, const selection_work& work,
                                         time_point now) {
  const server_backlog& backlog = load.backlog();
  group_load group;
  const double others = load.other_vm_requests(now);
  // Requests that have not begun are the newest ones. While this VM sends them, so do others, and
  // theirs are not reported yet.
  group.running = load.running() + load.waiting() + others;
  group.slots = static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
  group.work = backlog.own();
  group.work += backlog.others(now);
  group.slowdown = backlog.Slowdown(now);
  const fractional_milliseconds turnaround =
      ExpectedStepTime(*work.engine, group) * static_cast<double>(work.cost->decode_steps);
  const auto age = backlog.ReportAge(now);
  // Without a report, the others may have any number of requests there.
  group.running_deviation =
      age ? DeviationOfOthers(others, turnaround, *age) : group.slots * kUnknownLoad;
  return group;
}

fractional_milliseconds server_selection::ExpectedFirstEventAt(const dispatch_candidate& group,
                                                               const selection_work& work,
                                                               time_point now) {
  const group_load load = GroupLoadOf(group, loads_[group.server], work, now);
  return ExpectedFirstEvent(*work.engine, *work.cost, load);
}

double server_selection::CostScoreOf(const dispatch_candidate& candidate, const server_load& load,
                                     const selection_work& work, time_point now) {
  const group_load group = GroupLoadOf(candidate, load, work, now);
  const fractional_milliseconds step = ExpectedStepTime(*work.engine, group);
  double passes = random_.Fraction() * kRandomLoad;
  if (candidate.failure_domain != own_domain_) passes += options_.other_domain_load;
  // A request that fails starts anew elsewhere; a failing group looks idle, since its streams end.
  const fractional_milliseconds lost =
      step * static_cast<double>(work.cost->decode_steps) * load.failure_rate() * kFailureLoad;
  return (ExpectedFirstEvent(*work.engine, *work.cost, group) +
          ExpectedDelayOfOthers(*work.engine, *work.cost, group) + lost +
          step * work.engine->steps_per_event() * passes)
      .count();
}

void server_selection::Prune(const std::function<bool(const backend_server_id&)>& is_known,
                             time_point now) {
  std::erase_if(loads_, [&](const auto& item) {
    return item.second.running() == 0 && !is_known(item.first);
  });
  notices_.Prune(is_known, now);
  cold_.Prune(is_known);
  stated_.Prune(is_known);
}

}  // namespace waxwingwing
