#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/object_schema.h"

namespace waxwingwing {

/// Reads the `id` of an object; adds a finding and returns false when the id is missing or invalid.
template <typename object>
bool ReadObjectId(const nlohmann::json& value, const std::string& place, finding_list& findings,
                  object& target) {
  std::string id;
  const auto found = value.find("id");
  if (found == value.end()) {
    findings.Add(MemberPlace(place, "id"), "is missing");
    return false;
  }
  if (!ReadIdText(*found, {MemberPlace(place, "id"), {}, findings}, id)) return false;
  target.id = decltype(target.id)(std::move(id));
  return true;
}

/// Reads the members that are given besides the id; returns their names.
template <typename object>
std::vector<std::string> ReadMembers(const nlohmann::json& value, const std::string& place,
                                     finding_list& findings, object& target) {
  std::vector<std::string> given;
  for (const object_member<object>& member : object_schema<object>::Members()) {
    const auto found = value.find(member.name);
    if (found == value.end()) continue;
    member.read(*found, {MemberPlace(place, member.name), member.range, findings}, target);
    given.emplace_back(member.name);
  }
  return given;
}

/// Adds a finding for each member that is neither in the schema nor in `others`.
template <typename object>
void CheckMemberNames(const nlohmann::json& value, const std::string& place,
                      const std::set<std::string>& others, finding_list& findings) {
  std::set<std::string> known = others;
  for (const object_member<object>& member : object_schema<object>::Members()) {
    known.insert(member.name);
  }
  for (const auto& [name, unused] : value.items()) {
    if (!known.contains(name)) findings.Add(MemberPlace(place, name), "is unknown");
  }
}

template <typename object>
void CheckRequired(const nlohmann::json& value, const std::string& place, finding_list& findings) {
  for (const object_member<object>& member : object_schema<object>::Members()) {
    if (member.required && !value.contains(member.name)) {
      findings.Add(MemberPlace(place, member.name), "is missing");
    }
  }
}

/// Reads a complete object, with defaults for the optional members. Members named in `others` are
/// ignored.
template <typename object>
object ReadWholeObject(const nlohmann::json& value, const std::string& place,
                       const std::set<std::string>& others, finding_list& findings) {
  object target;
  ReadObjectId(value, place, findings, target);
  ReadMembers(value, place, findings, target);
  CheckMemberNames<object>(value, place, others, findings);
  CheckRequired<object>(value, place, findings);
  CheckObject(target, place, findings);
  return target;
}

template <typename object>
nlohmann::json WriteObject(const object& from) {
  nlohmann::json value = nlohmann::json::object();
  value["id"] = from.id.str();
  for (const object_member<object>& member : object_schema<object>::Members()) {
    value[member.name] = member.write(from);
  }
  return value;
}

}  // namespace waxwingwing
