#include "tests/integration/invariants.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

std::int64_t TimeOr(const json& record, const char* name, std::int64_t default_value) {
  return record.value(name, default_value);
}

std::string Place(const json& request) {
  return fmt::format("{} at {} us, attempt {}", request.at("vm").get<std::string>(),
                     request.at("at_us").get<std::int64_t>(),
                     request.value("attempt_id", std::string()));
}

bool IsSameMembership(const json& interval, const json& assignment, std::size_t rank) {
  return interval.at("replica") == assignment.at("replica") &&
         interval.at("generation") == assignment.at("generation") &&
         interval.at("rank").get<std::size_t>() == rank;
}

/// Whether a run of the member's process was assigned and ready at the time.
bool WasReady(const vm_records& member, const json& assignment, std::size_t rank,
              std::int64_t at_us) {
  const json intervals = member.List("assignments");
  return std::any_of(intervals.begin(), intervals.end(), [&](const json& interval) {
    return IsSameMembership(interval, assignment, rank) &&
           TimeOr(interval, "ready_at_us", kNever) <= at_us &&
           at_us <= TimeOr(interval, "ended_at_us", kNever);
  });
}

/// Why the member of this rank could not take part; empty when it could.
std::string MissingMember(const std::vector<vm_records>& engines, const json& request,
                          std::size_t rank, milliseconds silent_bound) {
  const json& assignment = request.at("assignment");
  const std::string vm = assignment.at("members").at(rank).get<std::string>();
  const std::int64_t at_us = request.at("at_us").get<std::int64_t>();
  std::string reason = fmt::format("member {} was not ready with rank {}", vm, rank);
  for (const vm_records& run : engines) {
    if (run.vm != vm || !WasReady(run, assignment, rank, at_us)) continue;
    const auto since = run.SilentSince(at_us);
    if (!since.has_value()) return {};
    const std::int64_t silent_us = at_us - *since;
    if (silent_us <= microseconds(silent_bound).count()) return {};
    reason = fmt::format("member {} had been silent for {} us", vm, silent_us);
  }
  return reason;
}

void CheckGroupOfRequest(const std::vector<vm_records>& engines, const json& request,
                         const partial_group_bounds& bounds, finding_list& findings) {
  const json& assignment = request.at("assignment");
  const std::size_t size = assignment.at("members").size();
  const std::string group = assignment.at("model_group").get<std::string>();
  const auto configured = bounds.vms_per_replica.find(group);
  if (configured != bounds.vms_per_replica.end() && configured->second != size) {
    findings.Add(Place(request), fmt::format("{} members instead of {}", size, configured->second));
  }
  if (size == 0) findings.Add(Place(request), "the replica has no members");
  for (std::size_t rank = 0; rank < size; ++rank) {
    const std::string reason = MissingMember(engines, request, rank, bounds.silent_member);
    if (!reason.empty()) findings.Add(Place(request), reason);
  }
}

/// The period in which one leader took requests for one generation of a replica.
struct serving_period {
  std::int64_t from_us = kNever;
  std::int64_t to_us = 0;
  std::set<std::string> members;
};

using period_key = std::tuple<std::string, std::uint64_t, std::string>;

std::map<period_key, serving_period> ServingPeriods(const std::vector<vm_records>& engines) {
  std::map<period_key, serving_period> periods;
  for (const vm_records& engine : engines) {
    for (const json& request : engine.List("requests")) {
      const json& assignment = request.at("assignment");
      const period_key key(assignment.at("replica").get<std::string>(),
                           assignment.at("generation").get<std::uint64_t>(), engine.vm);
      serving_period& period = periods[key];
      const std::int64_t at_us = request.at("at_us").get<std::int64_t>();
      period.from_us = std::min(period.from_us, at_us);
      period.to_us = std::max(period.to_us, at_us);
      for (const json& member : assignment.at("members")) {
        period.members.insert(member.get<std::string>());
      }
    }
  }
  return periods;
}

std::string ToText(const period_key& key) {
  return fmt::format("replica {} generation {} at {}", std::get<0>(key), std::get<1>(key),
                     std::get<2>(key));
}

void CheckOverlap(const std::pair<const period_key, serving_period>& first,
                  const std::pair<const period_key, serving_period>& second,
                  finding_list& findings) {
  const bool overlap =
      first.second.from_us <= second.second.to_us && second.second.from_us <= first.second.to_us;
  if (!overlap) return;
  for (const std::string& vm : first.second.members) {
    if (!second.second.members.contains(vm)) continue;
    findings.Add(vm, fmt::format("served in {} and in {} in overlapping periods",
                                 ToText(first.first), ToText(second.first)));
  }
}

void CheckOldOrders(const vm_records& engine, finding_list& findings) {
  for (const json& order : engine.List("orders")) {
    const bool old = order.at("fencing_number").get<std::uint64_t>() <
                     order.at("highest_fencing_number").get<std::uint64_t>();
    if (!old || order.at("verdict") != "accepted") continue;
    findings.Add(engine.vm, "obeyed an old order: " + order.dump());
  }
}

bool TurnedColdShortlyBefore(const vm_records& server, std::int64_t at_us, milliseconds bound) {
  const json incarnations = server.List("incarnations");
  return std::any_of(incarnations.begin(), incarnations.end(), [&](const json& incarnation) {
    const std::int64_t since = at_us - incarnation.at("at_us").get<std::int64_t>();
    return incarnation.at("cause") == "turn_cold" && since >= 0 &&
           since <= microseconds(bound).count();
  });
}

}  // namespace

finding_list CheckPartialGroups(const std::vector<vm_records>& engines,
                                const partial_group_bounds& bounds) {
  finding_list findings;
  for (const vm_records& engine : engines) {
    for (const json& request : engine.List("requests")) {
      CheckGroupOfRequest(engines, request, bounds, findings);
    }
  }
  return findings;
}

finding_list CheckDoubleMembership(const std::vector<vm_records>& engines) {
  finding_list findings;
  const auto periods = ServingPeriods(engines);
  for (auto first = periods.begin(); first != periods.end(); ++first) {
    for (auto second = std::next(first); second != periods.end(); ++second) {
      CheckOverlap(*first, *second, findings);
    }
  }
  for (const vm_records& engine : engines) CheckOldOrders(engine, findings);
  return findings;
}

finding_list CheckOverload(const std::vector<vm_records>& servers, milliseconds cold_bound) {
  finding_list findings;
  for (const vm_records& server : servers) {
    for (const json& violation : server.List("violations")) {
      const std::int64_t at_us = violation.at("at_us").get<std::int64_t>();
      const bool of_requests = violation.at("kind") == "requests";
      if (of_requests && TurnedColdShortlyBefore(server, at_us, cold_bound)) continue;
      findings.Add(server.vm, "held too much: " + violation.dump());
    }
  }
  return findings;
}

finding_list CheckRepeatedRuns(const std::vector<vm_records>& services) {
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> runs;
  for (const vm_records& service : services) {
    for (const json& call : service.List("calls")) {
      const std::string key = call.at("idempotency_key").get<std::string>();
      if (key.empty()) continue;
      runs[{call.at("organisation").get<std::string>(), key}].push_back(Place(call));
    }
  }
  finding_list findings;
  for (const auto& [key, places] : runs) {
    if (places.size() < 2) continue;
    findings.Add(key.first + "/" + key.second,
                 fmt::format("ran {} times, last on {}", places.size(), places.back()));
  }
  return findings;
}

finding_list CheckNewWork(const std::vector<vm_records>& servers, const std::set<std::string>& vms,
                          std::int64_t after_us) {
  finding_list findings;
  for (const vm_records& server : servers) {
    if (!vms.contains(server.vm)) continue;
    for (const char* list : {"requests", "calls"}) {
      for (const json& work : server.List(list)) {
        const std::int64_t late_us = work.at("at_us").get<std::int64_t>() - after_us;
        if (late_us > 0) findings.Add(Place(work), fmt::format("new work {} us late", late_us));
      }
    }
  }
  return findings;
}

}  // namespace waxwingwing::integration
