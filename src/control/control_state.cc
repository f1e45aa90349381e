#include "waxwingwing/control/control_state.h"

#include <utility>
#include <variant>

#include "control/control_snapshot.h"
#include "waxwingwing/config/release_note_parser.h"

namespace waxwingwing {

apply_result control_state::Apply(log_offset offset, const append_id& id,
                                  std::string_view payload) {
  if (offset != next_offset_) return apply_result::kWrongOffset;
  const apply_result outcome = ApplyNext(id, payload);
  Count(outcome);
  next_offset_ = next_offset_.Next();
  return outcome;
}

apply_result control_state::ApplyNext(const append_id& id, std::string_view payload) {
  if (!recent_appends_.Add(id)) return apply_result::kDuplicate;
  const result<control_record> record = DecodeControlRecord(payload);
  if (!record) return apply_result::kMalformed;
  const bool valid = std::visit([&](const auto& kind) { return ApplyRecord(kind, id); }, *record);
  return valid ? apply_result::kApplied : apply_result::kRefused;
}

void control_state::Count(apply_result outcome) {
  switch (outcome) {
    case apply_result::kApplied:
      ++counters_.applied;
      return;
    case apply_result::kRefused:
      ++counters_.refused;
      return;
    case apply_result::kDuplicate:
      ++counters_.duplicates;
      return;
    case apply_result::kMalformed:
      ++counters_.malformed;
      return;
    case apply_result::kWrongOffset:
      return;
  }
}

bool control_state::ApplyRecord(const release_note_record& record, const append_id& /*id*/) {
  const parsed_release_note parsed = ParseReleaseNote(record.note);
  // Without an id no verdict can be looked up.
  if (parsed.id.empty()) return false;
  if (verdicts_.contains(parsed.id)) return false;
  release_note_verdict verdict = parsed.note
                                     ? ApplyReleaseNote(*parsed.note, next_offset_, configuration_)
                                     : RefuseReleaseNote(parsed.id, next_offset_, parsed.findings);
  const bool accepted = verdict.accepted;
  KeepVerdict(std::move(verdict));
  return accepted;
}

bool control_state::ApplyRecord(const lease_record& record, const append_id& id) {
  const auto found = leases_.find(record.failure_domain);
  const domain_lease* const latest = found == leases_.end() ? nullptr : &found->second;
  const bool is_first = latest == nullptr;
  if (is_first ? record.based_on.has_value() : record.based_on != latest->offset) return false;
  const bool same_term = !is_first && !latest->released && latest->vm == record.vm &&
                         latest->incarnation == record.incarnation;
  if (record.released && !same_term) return false;

  domain_lease next;
  next.vm = record.vm;
  next.incarnation = record.incarnation;
  next.fencing = same_term ? latest->fencing : fencing_number(next_offset_.get());
  next.offset = next_offset_;
  next.record = id;
  next.duration = record.duration;
  next.released = record.released;
  leases_[record.failure_domain] = std::move(next);
  return true;
}

bool control_state::ApplyRecord(const roster_record& record, const append_id& /*id*/) {
  const auto domain = rosters_.find(record.failure_domain);
  const roster_slot* const current = FindSlot(record);
  const bool names_current = current != nullptr && record.based_on == current->offset;
  const bool same_vm = current != nullptr && current->vm == record.vm;
  if (record.action == roster_action::kRelease) {
    const bool holds = same_vm && current->incarnation == record.incarnation;
    if (!holds && !names_current) return false;
    domain->second.erase(record.slot);
    // A snapshot does not hold empty rosters.
    if (domain->second.empty()) rosters_.erase(domain);
    return true;
  }
  if (current != nullptr && !same_vm && !names_current) return false;
  rosters_[record.failure_domain][record.slot] = {record.vm, record.incarnation,
                                                  record.peer_address, next_offset_};
  return true;
}

const roster_slot* control_state::FindSlot(const roster_record& record) const {
  const auto domain = rosters_.find(record.failure_domain);
  if (domain == rosters_.end()) return nullptr;
  const auto slot = domain->second.find(record.slot);
  return slot == domain->second.end() ? nullptr : &slot->second;
}

void control_state::KeepVerdict(release_note_verdict verdict) {
  verdict_order_.push_back(verdict.id);
  verdicts_[verdict.id] = std::move(verdict);
  if (verdict_order_.size() <= kMaxVerdicts) return;
  verdicts_.erase(verdict_order_.front());
  verdict_order_.pop_front();
}

snapshot_result control_state::LoadSnapshot(std::string_view text) {
  result<control_state> loaded = control_snapshot::Read(text);
  if (!loaded) return snapshot_result::kMalformed;
  if (loaded->next_offset_ < next_offset_) return snapshot_result::kOlderThanState;
  *this = std::move(*loaded);
  return snapshot_result::kLoaded;
}

std::string control_state::ToSnapshot() const { return control_snapshot::Write(*this); }

const release_note_verdict* control_state::FindVerdict(const note_id& note) const {
  const auto found = verdicts_.find(note);
  return found == verdicts_.end() ? nullptr : &found->second;
}

const domain_lease* control_state::FindLease(const failure_domain_id& failure_domain) const {
  const auto found = leases_.find(failure_domain);
  return found == leases_.end() ? nullptr : &found->second;
}

}  // namespace waxwingwing
