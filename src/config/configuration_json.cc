#include "waxwingwing/config/configuration_json.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "config/object_reader.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr number_range kRevision{0, std::uint64_t{1} << 62U};

log_offset ReadRevision(const json& value, const std::string& place, finding_list& findings) {
  std::uint64_t revision = 0;
  if (!value.contains("revision")) {
    findings.Add(MemberPlace(place, "revision"), "is missing");
    return {};
  }
  ReadNumber(value["revision"], {MemberPlace(place, "revision"), kRevision, findings}, revision);
  return log_offset(revision);
}

template <typename object>
void ReadObjects(const json& value, finding_list& findings, configuration& target) {
  const std::string name(ArrayName(object_schema<object>::kKind));
  const std::string place = "$." + name;
  if (!value.contains(name) || !value[name].is_array()) {
    findings.Add(place, "must be an array");
    return;
  }
  for (std::size_t index = 0; index < value[name].size(); ++index) {
    const json& element = value[name][index];
    const std::string element_place = ElementPlace(place, index);
    if (!element.is_object()) {
      findings.Add(element_place, "must be an object");
      continue;
    }
    const std::set<std::string> others{"id", "revision"};
    object read = ReadWholeObject<object>(element, element_place, others, findings);
    const log_offset revision = ReadRevision(element, element_place, findings);
    auto id = read.id;
    object_schema<object>::Of(target)[std::move(id)] = {std::move(read), revision};
  }
}

void ReadWithdrawn(const json& value, finding_list& findings, configuration_state& target) {
  ForEachKind([&]<typename object>() {
    const std::string name(ArrayName(object_schema<object>::kKind));
    const auto found = value.find(name);
    if (found == value.end()) return;
    if (!found->is_object()) {
      findings.Add("$.withdrawn." + name, "must be an object");
      return;
    }
    for (const auto& [id, revision] : found->items()) {
      std::uint64_t read = 0;
      const std::string place = MemberPlace("$.withdrawn." + name, id);
      ReadNumber(revision, {place, kRevision, findings}, read);
      target.withdrawn[{object_schema<object>::kKind, id}] = log_offset(read);
    }
  });
}

}  // namespace

json ConfigurationToJson(const configuration& objects) {
  json value = json::object();
  ForEachKind([&]<typename object>() {
    json array = json::array();
    for (const auto& [id, entry] : object_schema<object>::Of(objects)) {
      json written = WriteObject(entry.value);
      written["revision"] = entry.revision.get();
      array.push_back(std::move(written));
    }
    value[std::string(ArrayName(object_schema<object>::kKind))] = std::move(array);
  });
  return value;
}

result<configuration> ConfigurationFromJson(const json& value) {
  if (!value.is_object()) return result<configuration>::Failure("$: must be an object");
  finding_list findings;
  configuration objects;
  ForEachKind([&]<typename object>() { ReadObjects<object>(value, findings, objects); });
  if (!findings.empty()) return result<configuration>::Failure(findings.ToText());
  return objects;
}

json ConfigurationStateToJson(const configuration_state& state) {
  json value = ConfigurationToJson(state.objects);
  json withdrawn = json::object();
  for (const auto& [name, revision] : state.withdrawn) {
    withdrawn[std::string(ArrayName(name.first))][name.second] = revision.get();
  }
  value["withdrawn"] = std::move(withdrawn);
  return value;
}

result<configuration_state> ConfigurationStateFromJson(const json& value) {
  using outcome = result<configuration_state>;
  result<configuration> objects = ConfigurationFromJson(value);
  if (!objects) return outcome::Failure(objects.reason());
  configuration_state state;
  state.objects = std::move(*objects);
  const auto withdrawn = value.find("withdrawn");
  if (withdrawn == value.end() || !withdrawn->is_object()) {
    return outcome::Failure("$.withdrawn: must be an object");
  }
  finding_list findings;
  ReadWithdrawn(*withdrawn, findings, state);
  if (!findings.empty()) return outcome::Failure(findings.ToText());
  return state;
}

}  // namespace waxwingwing
