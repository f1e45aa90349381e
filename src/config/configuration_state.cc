#include "waxwingwing/config/configuration_state.h"

#include <algorithm>
#include <string>
#include <utility>

#include "config/object_schema.h"

namespace waxwingwing {
namespace {

/// Applies one release note to a copy of the state and collects findings and conflicts.
class note_application {
 public:
  note_application(const release_note& note, log_offset offset, const configuration_state& state)
      : note_(note), offset_(offset), next_(state) {}

  release_note_verdict Run() {
    CheckBaseRevision();
    ForEachKind([&]<typename object>() { ApplyKind<object>(); });
    ForEachKind([&]<typename object>() { CheckKind<object>(); });
    release_note_verdict verdict = RefuseReleaseNote(note_.id, offset_, findings_);
    verdict.accepted = findings_.empty() && conflicts_.empty();
    if (conflicts_.size() > kMaxReportedFindings) conflicts_.resize(kMaxReportedFindings);
    verdict.conflicts = std::move(conflicts_);
    return verdict;
  }

  configuration_state TakeState() {
    TrimWithdrawn();
    return std::move(next_);
  }

 private:
  template <typename object>
  using schema = object_schema<object>;

  static std::string Place(const char* section, object_kind kind, std::size_t index) {
    return ElementPlace(std::string("$.") + section + "." + std::string(ArrayName(kind)), index);
  }

  void CheckBaseRevision() {
    // A base revision that does not exist yet would hide every conflict.
    if (note_.base_revision < offset_ || note_.base_revision == log_offset(0)) return;
    findings_.Add("$.base_revision", "is newer than the configuration");
  }

  void AddConflict(std::string place, object_kind kind, std::string id, log_offset revision) {
    conflicts_.push_back({std::move(place), kind, std::move(id), revision});
  }

  /// The revision that withdrew the object after the note's base revision; null when there is none.
  const log_offset* WithdrawnSince(object_kind kind, const std::string& id) const {
    const auto found = next_.withdrawn.find({kind, id});
    if (found == next_.withdrawn.end() || found->second <= note_.base_revision) return nullptr;
    return &found->second;
  }

  template <typename object>
  void ApplyKind() {
    const auto& changes = schema<object>::Of(note_);
    for (std::size_t i = 0; i < changes.add.size(); ++i) Add(changes.add[i], i);
    for (std::size_t i = 0; i < changes.change.size(); ++i) Change(changes.change[i], i);
    for (std::size_t i = 0; i < changes.withdraw.size(); ++i) Withdraw<object>(i);
  }

  template <typename object>
  void Add(const object& added, std::size_t index) {
    constexpr object_kind kind = schema<object>::kKind;
    const std::string place = Place("add", kind, index);
    auto& objects = schema<object>::Of(next_.objects);
    const auto found = objects.find(added.id);
    const log_offset* const withdrawn = WithdrawnSince(kind, added.id.str());
    if (found != objects.end() && found->second.revision > note_.base_revision) {
      AddConflict(place, kind, added.id.str(), found->second.revision);
    } else if (found != objects.end()) {
      findings_.Add(MemberPlace(place, "id"), "the object exists already");
    } else if (withdrawn != nullptr) {
      AddConflict(place, kind, added.id.str(), *withdrawn);
    } else {
      next_.withdrawn.erase({kind, added.id.str()});
      objects[added.id] = {added, offset_};
    }
  }

  /// The entry that the note may change; null after a finding or conflict was added.
  template <typename object>
  revised<object>* FindChangeable(const decltype(object::id)& id, const std::string& place) {
    constexpr object_kind kind = schema<object>::kKind;
    auto& objects = schema<object>::Of(next_.objects);
    const auto found = objects.find(id);
    if (found == objects.end()) {
      const log_offset* const withdrawn = WithdrawnSince(kind, id.str());
      if (withdrawn != nullptr) {
        AddConflict(place, kind, id.str(), *withdrawn);
      } else {
        findings_.Add(place, "the object does not exist: " + id.str());
      }
      return nullptr;
    }
    if (found->second.revision > note_.base_revision) {
      AddConflict(place, kind, id.str(), found->second.revision);
      return nullptr;
    }
    return &found->second;
  }

  template <typename object>
  void Change(const object_change<object>& change, std::size_t index) {
    const std::string place = Place("change", schema<object>::kKind, index);
    revised<object>* const entry = FindChangeable<object>(change.value.id, place);
    if (entry == nullptr) return;
    for (const object_member<object>& member : schema<object>::Members()) {
      const auto& names = change.members;
      if (std::find(names.begin(), names.end(), member.name) == names.end()) continue;
      member.copy(change.value, entry->value);
    }
    entry->revision = offset_;
    CheckObject(entry->value, place, findings_);
  }

  template <typename object>
  void Withdraw(std::size_t index) {
    constexpr object_kind kind = schema<object>::kKind;
    const auto& id = schema<object>::Of(note_).withdraw[index];
    if (FindChangeable<object>(id, Place("withdraw", kind, index)) == nullptr) return;
    schema<object>::Of(next_.objects).erase(id);
    next_.withdrawn[{kind, id.str()}] = offset_;
  }

  /// Checks the references between objects of a kind and failure domains, after the whole note was
  /// applied.
  template <typename object>
  void CheckKind() {
    if constexpr (requires(object value) { value.failure_domains; }) {
      CheckTouched<object>();
      CheckWithdrawnDomains<object>();
    }
  }

  template <typename object>
  void CheckTouched() {
    constexpr object_kind kind = schema<object>::kKind;
    const auto& changes = schema<object>::Of(note_);
    for (std::size_t i = 0; i < changes.add.size(); ++i) {
      CheckReferences(changes.add[i].failure_domains, Place("add", kind, i));
    }
    for (std::size_t i = 0; i < changes.change.size(); ++i) {
      CheckReferences(changes.change[i].value.failure_domains, Place("change", kind, i));
    }
  }

  void CheckReferences(const std::vector<failure_domain_id>& domains, const std::string& place) {
    for (std::size_t index = 0; index < domains.size(); ++index) {
      if (next_.objects.failure_domains.contains(domains[index])) continue;
      findings_.Add(ElementPlace(MemberPlace(place, "failure_domains"), index),
                    "the failure domain does not exist after this release note");
    }
  }

  /// Adds a finding or conflict for each withdrawn failure domain that objects of the kind still
  /// name.
  template <typename object>
  void CheckWithdrawnDomains() {
    const auto& withdrawn = note_.failure_domains.withdraw;
    for (std::size_t index = 0; index < withdrawn.size(); ++index) {
      for (const auto& [id, entry] : schema<object>::Of(next_.objects)) {
        const auto& named = entry.value.failure_domains;
        if (std::find(named.begin(), named.end(), withdrawn[index]) == named.end()) continue;
        ReportStillNamed(index, schema<object>::kKind, id.str(), entry.revision);
      }
    }
  }

  void ReportStillNamed(std::size_t index, object_kind kind, const std::string& id,
                        log_offset revision) {
    if (revision == offset_) return;  // The note's own object; its reference is reported there.
    std::string place = Place("withdraw", object_kind::kFailureDomain, index);
    if (revision > note_.base_revision) {
      AddConflict(std::move(place), kind, id, revision);
      return;
    }
    const std::string name = std::string(ArrayName(kind)) + " " + id;
    findings_.Add(std::move(place), "the failure domain is still named by " + name);
  }

  void TrimWithdrawn() {
    const auto older = [](const auto& left, const auto& right) {
      return left.second < right.second;
    };
    while (next_.withdrawn.size() > kMaxWithdrawn) {
      next_.withdrawn.erase(
          std::min_element(next_.withdrawn.begin(), next_.withdrawn.end(), older));
    }
  }

  const release_note& note_;
  const log_offset offset_;
  configuration_state next_;
  finding_list findings_;
  std::vector<release_note_conflict> conflicts_;
};

}  // namespace

release_note_verdict ApplyReleaseNote(const release_note& note, log_offset offset,
                                      configuration_state& state) {
  note_application application(note, offset, state);
  release_note_verdict verdict = application.Run();
  if (verdict.accepted) state = application.TakeState();
  return verdict;
}

}  // namespace waxwingwing
