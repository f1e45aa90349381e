#include "waxwingwing/quarantine/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace waxwingwing {
namespace {

time_point LastCrash(const part_evidence& evidence) {
  time_point last = evidence.last_crash_at.value_or(time_point{});
  for (const server_crash& crash : evidence.crashes) last = std::max(last, crash.at);
  return last;
}

/// Raises `value` to `other`, when that is later or the only one.
void TakeLater(std::optional<time_point>& value, const std::optional<time_point>& other) {
  if (other) value = std::max(value.value_or(*other), *other);
}

}  // namespace

std::vector<prompt_part_id> prompt_quarantine::RecordCrash(
    const backend_server_id& server, const std::vector<std::vector<prompt_part_id>>& prompts,
    time_point now) {
  Prune(now);
  std::set<prompt_part_id> parts;
  for (const auto& prompt : prompts) parts.insert(prompt.begin(), prompt.end());
  // A part that is known to crash servers explains the crash; the others are no more suspect.
  std::set<prompt_part_id> suspects;
  std::copy_if(parts.begin(), parts.end(), std::inserter(suspects, suspects.end()),
               [&](const prompt_part_id& part) { return QuarantinedUntil({part}, now); });
  if (suspects.empty()) suspects = parts;
  std::vector<prompt_part_id> quarantined;
  for (const prompt_part_id& part : suspects) {
    for (auto* known : {&own_, &all_}) {
      part_evidence& evidence = (*known)[part];
      evidence.part = part;
      AddCrash(evidence, server, now);
    }
    const auto answered = answered_.find(part);
    if (answered != answered_.end()) TakeLater(all_[part].answered_at, answered->second);
    Clear(all_[part]);
    if (Judge(all_[part], now)) quarantined.push_back(part);
  }
  Prune(now);
  return quarantined;
}

void prompt_quarantine::AddCrash(part_evidence& evidence, const backend_server_id& server,
                                 time_point at) const {
  TakeLater(evidence.last_crash_at, at);
  for (server_crash& known : evidence.crashes) {
    if (known.server != server) continue;
    if (std::max(known.at, at) - std::min(known.at, at) > options_.observation_spread) continue;
    known.at = std::max(known.at, at);
    return;
  }
  evidence.crashes.push_back({server, at});
  if (evidence.crashes.size() <= options_.max_crashes) return;
  evidence.crashes.erase(std::min_element(
      evidence.crashes.begin(), evidence.crashes.end(),
      [](const server_crash& left, const server_crash& right) { return left.at < right.at; }));
}

void prompt_quarantine::Clear(part_evidence& evidence) const {
  if (!evidence.answered_at) return;
  const time_point answered = *evidence.answered_at;
  std::erase_if(evidence.crashes, [&](const server_crash& crash) { return crash.at <= answered; });
  if (CountCrashes(evidence, answered) < CrashLimit(evidence)) evidence.quarantined_at.reset();
}

std::size_t prompt_quarantine::CrashLimit(const part_evidence& evidence) const {
  return evidence.answered_at ? options_.answered_crash_limit : options_.crash_limit;
}

void prompt_quarantine::RecordAnswer(const std::vector<prompt_part_id>& parts, time_point now) {
  if (answered_.size() > options_.max_answered_parts) {
    std::erase_if(answered_,
                  [&](const auto& item) { return now - item.second > options_.memory / 2; });
    if (answered_.size() > options_.max_answered_parts) answered_.clear();
  }
  for (const prompt_part_id& part : parts) {
    answered_[part] = now;
    const auto suspected = all_.find(part);
    if (suspected == all_.end()) continue;
    suspected->second.answered_at = now;
    Clear(suspected->second);
  }
}

std::vector<prompt_part_id> prompt_quarantine::Merge(const std::vector<part_evidence>& evidence,
                                                     time_point now) {
  std::vector<prompt_part_id> quarantined;
  for (const part_evidence& reported : evidence) {
    if (!IsRelevant(reported, now)) continue;
    part_evidence& known = all_[reported.part];
    known.part = reported.part;
    const bool was_quarantined = IsQuarantined(known, now);
    for (const server_crash& crash : reported.crashes) AddCrash(known, crash.server, crash.at);
    const auto answered = answered_.find(reported.part);
    if (answered != answered_.end()) TakeLater(known.answered_at, answered->second);
    TakeLater(known.answered_at, reported.answered_at);
    // Another VM may not know of an answer, so that its judgement is not taken over then.
    if (!was_quarantined && !known.answered_at) {
      TakeLater(known.quarantined_at, reported.quarantined_at);
    }
    Clear(known);
    if (was_quarantined) continue;
    if (IsQuarantined(known, now) || Judge(known, now)) quarantined.push_back(reported.part);
  }
  Prune(now);
  return quarantined;
}

std::size_t prompt_quarantine::CountCrashes(const part_evidence& evidence, time_point since) const {
  std::vector<time_point> times;
  for (const server_crash& crash : evidence.crashes) {
    if (crash.at > since) times.push_back(crash.at);
  }
  std::sort(times.begin(), times.end());
  std::size_t count = 0;
  std::optional<time_point> counted;
  for (const time_point at : times) {
    if (counted && at - *counted < options_.crash_spacing) continue;
    counted = at;
    ++count;
  }
  return count;
}

bool prompt_quarantine::IsQuarantined(const part_evidence& evidence, time_point now) const {
  return evidence.quarantined_at && now < *evidence.quarantined_at + options_.quarantine_time;
}

bool prompt_quarantine::Judge(part_evidence& evidence, time_point now) const {
  if (IsQuarantined(evidence, now)) return false;
  const bool has_lapsed = evidence.quarantined_at.has_value();
  const time_point since = has_lapsed ? *evidence.quarantined_at + options_.quarantine_time
                                      : evidence.answered_at.value_or(time_point{});
  if (CountCrashes(evidence, since) < (has_lapsed ? 1 : CrashLimit(evidence))) return false;
  evidence.quarantined_at = now;
  return true;
}

std::optional<time_point> prompt_quarantine::QuarantinedUntil(
    const std::vector<prompt_part_id>& parts, time_point now) const {
  // Almost always nothing is suspected.
  if (all_.empty()) return std::nullopt;
  for (const prompt_part_id& part : parts) {
    const auto known = all_.find(part);
    if (known == all_.end() || !IsQuarantined(known->second, now)) continue;
    return *known->second.quarantined_at + options_.quarantine_time;
  }
  return std::nullopt;
}

std::vector<part_evidence> prompt_quarantine::OwnEvidence() const {
  std::vector<part_evidence> evidence;
  for (const auto& [part, known] : all_) {
    part_evidence own;
    const auto observed = own_.find(part);
    if (observed != own_.end()) own = observed->second;
    own.part = part;
    const auto answered = answered_.find(part);
    if (answered != answered_.end()) own.answered_at = answered->second;
    own.quarantined_at = known.quarantined_at;
    if (!own.crashes.empty() || own.answered_at || own.quarantined_at) evidence.push_back(own);
  }
  return evidence;
}

std::vector<part_evidence> prompt_quarantine::AllEvidence() const {
  std::vector<part_evidence> evidence;
  for (const auto& [part, known] : all_) evidence.push_back(known);
  return evidence;
}

bool prompt_quarantine::IsOutdated(const part_evidence& evidence, time_point now) const {
  if (evidence.quarantined_at) {
    return now > *evidence.quarantined_at + options_.quarantine_time + options_.memory;
  }
  // A cleared part is kept as well, so that VMs that still suspect it hear of the answer.
  return now > LastCrash(evidence) + options_.memory;
}

bool prompt_quarantine::IsRelevant(const part_evidence& reported, time_point now) const {
  if (!reported.crashes.empty() || reported.quarantined_at) return !IsOutdated(reported, now);
  // An answer alone is of use only to VMs that suspect the part.
  return reported.answered_at && all_.contains(reported.part);
}

void prompt_quarantine::Prune(time_point now) {
  const auto is_outdated = [&](const auto& item) { return IsOutdated(item.second, now); };
  std::erase_if(own_, is_outdated);
  std::erase_if(all_, is_outdated);
  while (all_.size() > options_.max_suspects) {
    // Parts with the fewest crashes, and of these those with the oldest ones, go first.
    const auto weight = [](const part_evidence& evidence) {
      return std::make_tuple(evidence.quarantined_at.has_value(), evidence.crashes.size(),
                             LastCrash(evidence));
    };
    const auto lightest =
        std::min_element(all_.begin(), all_.end(), [&](const auto& left, const auto& right) {
          return weight(left.second) < weight(right.second);
        });
    own_.erase(lightest->first);
    all_.erase(lightest);
  }
}

}  // namespace waxwingwing
