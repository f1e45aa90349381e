#include "entry/link_messages.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace waxwingwing {
namespace {

/// Largest memory that a message states, so that sums cannot overflow.
constexpr token_count kMaxMemory{std::uint64_t{1} << 40U};

milliseconds AgeOf(time_point at, time_point now) {
  return std::chrono::duration_cast<milliseconds>(std::max(now - at, duration::zero()));
}

std::optional<milliseconds> AgeOf(const std::optional<time_point>& at, time_point now) {
  return at ? std::optional<milliseconds>(AgeOf(*at, now)) : std::nullopt;
}

std::optional<time_point> TimeOf(const std::optional<milliseconds>& age, time_point now) {
  return age ? std::optional<time_point>(now - *age) : std::nullopt;
}

}  // namespace

std::vector<server_requests_message> ToMessage(const server_requests& requests) {
  std::vector<server_requests_message> message;
  message.reserve(requests.size());
  for (const auto& [server, usage] : requests) {
    const auto steps = std::min<std::uint64_t>(usage.work.decode_steps, UINT32_MAX);
    message.push_back({server.str(), usage.running,
                       std::chrono::ceil<milliseconds>(usage.work.prefill),
                       static_cast<std::uint32_t>(steps), usage.work.memory});
  }
  return message;
}

server_requests FromMessage(const std::vector<server_requests_message>& message) {
  server_requests requests;
  for (const auto& entry : message) {
    const outstanding_work work{entry.prefill, entry.decode_steps,
                                std::min(entry.memory, kMaxMemory)};
    requests[backend_server_id(entry.server)] = {entry.running, work};
  }
  return requests;
}

std::vector<rate_limit_message> ToMessage(const std::vector<rate_limit_statement>& statements,
                                          time_point now) {
  std::vector<rate_limit_message> message;
  message.reserve(statements.size());
  for (const rate_limit_statement& known : statements) {
    message.push_back({known.server.str(), known.born, known.rate, AgeOf(known.stated_at, now)});
  }
  return message;
}

std::vector<rate_limit_statement> FromMessage(const std::vector<rate_limit_message>& message,
                                              time_point now) {
  std::vector<rate_limit_statement> statements;
  statements.reserve(message.size());
  for (const rate_limit_message& limit : message) {
    statements.push_back(
        {backend_server_id(limit.server), limit.born, limit.rate, now - limit.age});
  }
  return statements;
}

crash_evidence_message ToMessage(const std::vector<part_evidence>& evidence, time_point now) {
  crash_evidence_message message;
  for (const part_evidence& known : evidence) {
    part_evidence_message part{
        known.part.str(), {}, AgeOf(known.answered_at, now), AgeOf(known.quarantined_at, now)};
    for (const server_crash& crash : known.crashes) {
      part.crashes.push_back({crash.server.str(), AgeOf(crash.at, now)});
    }
    message.parts.push_back(std::move(part));
  }
  return message;
}

std::vector<part_evidence> FromMessage(const crash_evidence_message& message, time_point now) {
  std::vector<part_evidence> evidence;
  for (const part_evidence_message& part : message.parts) {
    part_evidence known;
    known.part = prompt_part_id(part.part);
    known.answered_at = TimeOf(part.answered_age, now);
    known.quarantined_at = TimeOf(part.quarantined_age, now);
    for (const server_crash_message& crash : part.crashes) {
      known.crashes.push_back({backend_server_id(crash.server), now - crash.age});
    }
    evidence.push_back(std::move(known));
  }
  return evidence;
}

std::vector<usage_entry_message> ToMessage(const std::vector<usage_entry>& entries) {
  std::vector<usage_entry_message> message;
  message.reserve(entries.size());
  for (const usage_entry& entry : entries) {
    message.push_back({entry.counter.get(), entry.window, {}});
    for (const auto& [organisation, count] : entry.counts) {
      message.back().counts.push_back({organisation.str(), count});
    }
  }
  return message;
}

std::vector<usage_entry> FromMessage(const std::vector<usage_entry_message>& message) {
  std::vector<usage_entry> entries;
  entries.reserve(message.size());
  for (const usage_entry_message& sent : message) {
    entries.push_back({incarnation(sent.counter), sent.window, {}});
    for (const auto& [organisation, count] : sent.counts) {
      entries.back().counts[organisation_id(organisation)] = count;
    }
  }
  return entries;
}

relay_node_message ToMessage(const relay_node& node) {
  return {node.vm.str(), node.address, node.failure_domain.str(), node.capacity};
}

relay_node FromMessage(const relay_node_message& message) {
  return {vm_id(message.vm), message.address, failure_domain_id(message.failure_domain),
          message.capacity};
}

}  // namespace waxwingwing
