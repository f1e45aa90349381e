#include "waxwingwing/peer/messages.h"

#include <algorithm>
#include <cmath>

namespace waxwingwing {
namespace {

// Every report older than this is equally outdated; the limit keeps time points representable.
constexpr milliseconds kMaxAge = std::chrono::minutes(30);

assignment_message ToMessage(const backend_assignment& assignment) {
  return {assignment.replica, assignment.model_group, assignment.generation, assignment.rank,
          assignment.members};
}

backend_assignment FromMessage(const assignment_message& message) {
  return {message.replica, message.model_group, message.generation, message.rank, message.members};
}

std::string InvalidReason(const hello_message& message) {
  if (message.cluster.empty()) return "hello message has no cluster";
  if (message.vm.empty() || message.failure_domain.empty())
    return "hello message has no VM id or failure domain";
  return {};
}

std::string InvalidReason(const node_status_message& message) {
  if (message.vm.empty() || message.failure_domain.empty())
    return "node status has no VM id or failure domain";
  for (const backend_report_message& report : message.backends) {
    if (report.vm.empty()) return "a backend report has no VM id";
    const bool valid_speed = std::isfinite(report.ms_per_token) && report.ms_per_token >= 0;
    if (!valid_speed) return "a backend report has a time per token that is not valid";
    const auto& assignment = report.assignment;
    if (assignment && assignment->rank >= assignment->members.size()) {
      return "a backend report has a rank outside its replica";
    }
  }
  return {};
}

std::string InvalidReason(const log_fetch_message& message) {
  return message.stream.empty() ? "log fetch has no stream name" : "";
}

std::string InvalidReason(const log_records_message& message) {
  if (message.stream.empty()) return "log records have no stream name";
  const bool valid_part =
      message.snapshot_part < message.snapshot_parts && message.snapshot_parts <= kMaxSnapshotParts;
  if (!valid_part) return "log records have a snapshot part that is not valid";
  log_offset lowest = message.first_offset;
  for (const log_record_message& record : message.records) {
    if (record.offset < lowest) return "log records are out of order";
    lowest = record.offset.Next();
  }
  return {};
}

std::string InvalidReason(const credit_request_message& message) {
  if (message.failure_domain.empty()) return "credit request has no failure domain";
  const auto unnamed = [](const credit_demand_message& wish) { return wish.replica.empty(); };
  const bool any = std::any_of(message.demands.begin(), message.demands.end(), unnamed);
  return any ? "credit request has an entry without a replica id" : "";
}

std::string InvalidReason(const credit_grant_message& message) {
  const auto unnamed = [](const credit_message& credit) { return credit.replica.empty(); };
  const bool any = std::any_of(message.credits.begin(), message.credits.end(), unnamed);
  return any ? "credit grant has an entry without a replica id" : "";
}

bool HasEmptyServerName(const std::vector<server_requests_message>& servers) {
  return std::any_of(servers.begin(), servers.end(),
                     [](const auto& entry) { return entry.server.empty(); });
}

std::string InvalidReason(const std::vector<rate_limit_message>& limits) {
  for (const rate_limit_message& limit : limits) {
    if (limit.server.empty()) return "a rate limit has no server name";
    const bool valid = !limit.rate || (std::isfinite(*limit.rate) && *limit.rate >= 0);
    if (!valid) return "a rate limit is not valid";
  }
  return {};
}

/// Largest number of VMs that a message may state.
constexpr std::uint64_t kMaxVms = 100000;
/// Largest number of requests that one VM may state for a window.
constexpr std::uint64_t kMaxUsageCount = 1'000'000'000;
/// Longest age of a confirmation: that of a VM which never had one is the time since its start.
constexpr milliseconds kMaxConfirmationAge = std::chrono::hours(24 * 365 * 10);

bool HasOddCapacity(const relay_node_message& node) {
  return !std::isfinite(node.capacity) || node.capacity < 0;
}

bool IsUnnamed(const relay_node_message& node) { return node.vm.empty() || node.address.empty(); }

bool AreValid(const std::vector<relay_node_message>& nodes) {
  return std::none_of(nodes.begin(), nodes.end(), [](const relay_node_message& node) {
    return IsUnnamed(node) || HasOddCapacity(node);
  });
}

std::string InvalidReason(const std::vector<usage_entry_message>& usage) {
  for (const usage_entry_message& entry : usage) {
    for (const organisation_count_message& count : entry.counts) {
      if (count.organisation.empty()) return "a usage count has no organisation";
      if (count.count > kMaxUsageCount) return "a usage count is out of range";
    }
  }
  return {};
}

std::string InvalidReason(const vm_load_message& message) {
  if (HasEmptyServerName(message.servers)) return "a server load has no server name";
  if (message.vms == 0 || message.vms > kMaxVms) return "a load report is of no or too many VMs";
  if (HasOddCapacity(message.node)) return "a capacity is out of range";
  if (message.successor && HasOddCapacity(*message.successor)) return "a capacity is out of range";
  if (message.successor && IsUnnamed(*message.successor)) return "a relay has no name or address";
  if (message.cut_off_vms > kMaxVms) return "a load report is of too many VMs";
  if (!AreValid(message.carriers)) return "a carrier has no name or address, or an odd capacity";
  std::string invalid_usage = InvalidReason(message.usage);
  if (!invalid_usage.empty()) return invalid_usage;
  return InvalidReason(message.limits);
}

std::string InvalidReason(const directory_feed_message& message) {
  if (message.next < message.from) return "directory feed offsets are not in ascending order";
  if (HasEmptyServerName(message.servers)) return "a server load has no server name";
  if (std::any_of(message.relays.begin(), message.relays.end(), IsUnnamed)) {
    return "a relay has no name or address";
  }
  if (std::any_of(message.relays.begin(), message.relays.end(), HasOddCapacity)) {
    return "a capacity is out of range";
  }
  if (message.vms > kMaxVms || message.cut_off_vms > kMaxVms) return "a feed is of too many VMs";
  if (!AreValid(message.carriers)) return "a carrier has no name or address, or an odd capacity";
  const auto is_odd = [](const std::optional<milliseconds>& age) {
    return age && (age->count() < 0 || *age > kMaxConfirmationAge);
  };
  if (is_odd(message.operators_age) || is_odd(message.operators_age_bound)) {
    return "the age of a confirmation is out of range";
  }
  const bool is_bounded = message.operators_age && message.operators_age_bound;
  if (is_bounded && *message.operators_age_bound < *message.operators_age) {
    return "the bound of an age is below the age";
  }
  return InvalidReason(message.limits);
}

std::string InvalidReason(const stall_message& message) {
  return message.group.empty() || message.server.empty()
             ? "stall report has no group or server name"
             : "";
}

std::string InvalidReason(const crash_evidence_message& message) {
  const auto is_unnamed = [](const part_evidence_message& evidence) {
    return evidence.part.empty() ||
           std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                       [](const auto& crash) { return crash.server.empty(); });
  };
  const bool any = std::any_of(message.parts.begin(), message.parts.end(), is_unnamed);
  return any ? "crash evidence has no part or server name" : "";
}

std::string InvalidReason(const operators_request_message& /*message*/) { return {}; }

std::string InvalidReason(const operators_records_message& message) {
  if (message.from && *message.from > message.next) return "records that lead backwards";
  const bool is_valid_part = message.part < message.parts && message.parts <= kMaxRecordParts;
  return is_valid_part ? "" : "records have a part that is not valid";
}

}  // namespace

std::string_view TypeName(const peer_message& message) {
  static constexpr std::string_view kNames[] = {
      "hello",          "node_status",    "log_fetch",         "log_records",
      "credit_request", "credit_grant",   "vm_load",           "directory_feed",
      "stall",          "crash_evidence", "operators_request", "operators_records",
  };
  static_assert(std::size(kNames) == std::variant_size_v<peer_message>);
  return kNames[message.index()];
}

std::string InvalidMessageReason(const peer_message& message) {
  return std::visit([](const auto& typed) { return InvalidReason(typed); }, message);
}

backend_report_message ToMessage(const backend_report& report, time_point now) {
  backend_report_message message;
  message.vm = report.vm;
  message.failure_domain = report.failure_domain;
  message.incarnation = report.incarnation;
  message.sequence = report.sequence;
  message.uptime = report.uptime;
  message.ready_for = report.ready_for;
  message.state = report.state;
  message.checks_fencing = report.checks_fencing;
  message.fencing = report.fencing;
  if (report.assignment) message.assignment = ToMessage(*report.assignment);
  message.running = report.running;
  message.kv_tokens_used = report.kv_tokens_used;
  message.kv_tokens_limit = report.kv_tokens_limit;
  message.ms_per_token = report.ms_per_token;
  const auto age = std::chrono::ceil<milliseconds>(now - report.taken_at);
  message.age = std::clamp(age, milliseconds(0), kMaxAge);
  return message;
}

backend_report FromMessage(const backend_report_message& message, time_point received_at) {
  backend_report report;
  report.vm = message.vm;
  report.failure_domain = message.failure_domain;
  report.incarnation = message.incarnation;
  report.sequence = message.sequence;
  report.uptime = message.uptime;
  report.ready_for = message.ready_for;
  report.state = message.state;
  report.checks_fencing = message.checks_fencing;
  report.fencing = message.fencing;
  if (message.assignment) report.assignment = FromMessage(*message.assignment);
  report.running = message.running;
  report.kv_tokens_used = message.kv_tokens_used;
  report.kv_tokens_limit = message.kv_tokens_limit;
  report.ms_per_token = message.ms_per_token;
  report.taken_at = received_at - std::clamp(message.age, milliseconds(0), kMaxAge);
  return report;
}

void AddRelayDelay(node_status_message& status, milliseconds held) {
  for (backend_report_message& report : status.backends) {
    report.age = std::clamp(report.age + held, milliseconds(0), kMaxAge);
  }
}

}  // namespace waxwingwing
