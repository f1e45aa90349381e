#include "waxwingwing/config/release_note_parser.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "config/object_reader.h"
#include "waxwingwing/core/json_text.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

/// Parses one release note; holds the state that its sections share.
class note_reader {
 public:
  explicit note_reader(finding_list& findings) : findings_(findings) {}

  release_note Read(const json& value) {
    CheckNames(value, "$", {"note_id", "base_revision", "add", "change", "withdraw"});
    ReadHead(value);
    for (const char* section : {"add", "change", "withdraw"}) CheckSection(value, section);
    ForEachKind([&]<typename object>() { ReadKind<object>(value); });
    return std::move(note_);
  }

 private:
  static std::string SectionPlace(const char* section) { return std::string("$.") + section; }

  void CheckNames(const json& value, const std::string& place, const std::set<std::string>& known) {
    for (const auto& [name, unused] : value.items()) {
      if (!known.contains(name)) findings_.Add(MemberPlace(place, name), "is unknown");
    }
  }

  void ReadHead(const json& value) {
    std::string id;
    if (!value.contains("note_id")) {
      findings_.Add("$.note_id", "is missing");
    } else if (ReadIdText(value["note_id"], {"$.note_id", {}, findings_}, id)) {
      note_.id = note_id(std::move(id));
    }
    if (!value.contains("base_revision")) {
      findings_.Add("$.base_revision", "is missing");
      return;
    }
    constexpr number_range range{0, std::uint64_t{1} << 62U};
    std::uint64_t revision = 0;
    ReadNumber(value["base_revision"], {"$.base_revision", range, findings_}, revision);
    note_.base_revision = log_offset(revision);
  }

  void CheckSection(const json& value, const char* section) {
    if (!value.contains(section)) return;
    if (!value[section].is_object()) {
      findings_.Add(SectionPlace(section), "must be an object");
      return;
    }
    std::set<std::string> known;
    ForEachKind([&]<typename object>() { known.emplace(ArrayName(object_schema<object>::kKind)); });
    CheckNames(value[section], SectionPlace(section), known);
  }

  /// The array of a kind in a section; an empty array when the section has none or the value is not
  /// an array.
  const json& FindArray(const json& value, const char* section, object_kind kind) {
    static const json kEmpty = json::array();
    const std::string name(ArrayName(kind));
    if (!value.contains(section) || !value[section].contains(name)) return kEmpty;
    const json& found = value[section][name];
    if (found.is_array()) return found;
    findings_.Add(MemberPlace(SectionPlace(section), name), "must be an array");
    return kEmpty;
  }

  template <typename object>
  void ReadKind(const json& value) {
    constexpr object_kind kind = object_schema<object>::kKind;
    const std::string name(ArrayName(kind));
    std::set<std::string> ids;
    ReadAdded<object>(FindArray(value, "add", kind), "$.add." + name, ids);
    ReadChanged<object>(FindArray(value, "change", kind), "$.change." + name, ids);
    ReadWithdrawn<object>(FindArray(value, "withdraw", kind), "$.withdraw." + name, ids);
  }

  void CheckUnique(const std::string& id, const std::string& place, std::set<std::string>& ids) {
    if (!id.empty() && !ids.insert(id).second) {
      findings_.Add(place, "the object is named twice in this release note");
    }
  }

  bool CheckIsObject(const json& element, const std::string& place) {
    if (element.is_object()) return true;
    findings_.Add(place, "must be an object");
    return false;
  }

  template <typename object>
  void ReadAdded(const json& array, const std::string& place, std::set<std::string>& ids) {
    for (std::size_t index = 0; index < array.size(); ++index) {
      const std::string element_place = ElementPlace(place, index);
      if (!CheckIsObject(array[index], element_place)) continue;
      object added = ReadWholeObject<object>(array[index], element_place, {"id"}, findings_);
      CheckUnique(added.id.str(), MemberPlace(element_place, "id"), ids);
      object_schema<object>::Of(note_).add.push_back(std::move(added));
    }
  }

  template <typename object>
  void ReadChanged(const json& array, const std::string& place, std::set<std::string>& ids) {
    for (std::size_t index = 0; index < array.size(); ++index) {
      const std::string element_place = ElementPlace(place, index);
      if (!CheckIsObject(array[index], element_place)) continue;
      object_change<object> change;
      ReadObjectId(array[index], element_place, findings_, change.value);
      change.members = ReadMembers(array[index], element_place, findings_, change.value);
      CheckMemberNames<object>(array[index], element_place, {"id"}, findings_);
      if (change.members.empty()) findings_.Add(element_place, "changes no member");
      CheckUnique(change.value.id.str(), MemberPlace(element_place, "id"), ids);
      object_schema<object>::Of(note_).change.push_back(std::move(change));
    }
  }

  template <typename object>
  void ReadWithdrawn(const json& array, const std::string& place, std::set<std::string>& ids) {
    for (std::size_t index = 0; index < array.size(); ++index) {
      const std::string element_place = ElementPlace(place, index);
      std::string id;
      if (!ReadIdText(array[index], {element_place, {}, findings_}, id)) continue;
      CheckUnique(id, element_place, ids);
      object_schema<object>::Of(note_).withdraw.emplace_back(std::move(id));
    }
  }

  finding_list& findings_;
  release_note note_;
};

}  // namespace

parsed_release_note ParseReleaseNote(std::string_view text) {
  parsed_release_note parsed;
  result<json> value = ParseJsonText(text, {.max_bytes = kMaxReleaseNoteBytes, .max_depth = 16});
  if (!value) {
    parsed.findings.Add("$", value.reason());
    return parsed;
  }
  if (!value->is_object()) {
    parsed.findings.Add("$", "must be an object");
    return parsed;
  }
  release_note note = note_reader(parsed.findings).Read(*value);
  parsed.id = note.id;
  if (parsed.findings.empty()) parsed.note = std::move(note);
  return parsed;
}

}  // namespace waxwingwing
