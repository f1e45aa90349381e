#include "waxwingwing/config/release_note_verdict.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr object_kind kKinds[] = {object_kind::kFailureDomain, object_kind::kOrganisation,
                                  object_kind::kModelGroup, object_kind::kService};

object_kind KindFromName(const std::string& name) {
  const auto* const found = std::find_if(std::begin(kKinds), std::end(kKinds),
                                         [&](object_kind kind) { return ArrayName(kind) == name; });
  if (found == std::end(kKinds)) throw json::other_error::create(501, "unknown kind", nullptr);
  return *found;
}

release_note_conflict ConflictFromJson(const json& value) {
  release_note_conflict conflict;
  conflict.place = value.at("place").get<std::string>();
  conflict.kind = KindFromName(value.at("kind").get<std::string>());
  conflict.id = value.at("id").get<std::string>();
  conflict.revision = log_offset(value.at("revision").get<std::uint64_t>());
  return conflict;
}

release_note_verdict ReadVerdict(const json& value) {
  release_note_verdict verdict;
  verdict.id = note_id(value.at("note_id").get<std::string>());
  verdict.accepted = value.at("accepted").get<bool>();
  verdict.revision = log_offset(value.at("revision").get<std::uint64_t>());
  for (const json& item : value.at("findings")) {
    verdict.findings.push_back(
        {item.at("place").get<std::string>(), item.at("message").get<std::string>()});
  }
  for (const json& item : value.at("conflicts")) {
    verdict.conflicts.push_back(ConflictFromJson(item));
  }
  return verdict;
}

}  // namespace

std::string_view ArrayName(object_kind kind) {
  switch (kind) {
    case object_kind::kFailureDomain:
      return "failure_domains";
    case object_kind::kOrganisation:
      return "organisations";
    case object_kind::kModelGroup:
      return "model_groups";
    case object_kind::kService:
      return "services";
  }
  assert(false);
  return {};
}

release_note_verdict RefuseReleaseNote(note_id id, log_offset revision,
                                       const finding_list& findings) {
  release_note_verdict verdict;
  verdict.id = std::move(id);
  verdict.revision = revision;
  verdict.findings = findings.all();
  if (verdict.findings.size() > kMaxReportedFindings) verdict.findings.resize(kMaxReportedFindings);
  return verdict;
}

json VerdictToJson(const release_note_verdict& verdict) {
  json findings = json::array();
  for (const finding& item : verdict.findings) {
    findings.push_back({{"place", item.place}, {"message", item.message}});
  }
  json conflicts = json::array();
  for (const release_note_conflict& item : verdict.conflicts) {
    conflicts.push_back({{"place", item.place},
                         {"kind", ArrayName(item.kind)},
                         {"id", item.id},
                         {"revision", item.revision.get()}});
  }
  return {{"note_id", verdict.id.str()},
          {"accepted", verdict.accepted},
          {"revision", verdict.revision.get()},
          {"findings", std::move(findings)},
          {"conflicts", std::move(conflicts)}};
}

result<release_note_verdict> VerdictFromJson(const json& value) {
  try {
    return ReadVerdict(value);
  } catch (const json::exception& error) {
    return result<release_note_verdict>::Failure(std::string("verdict: ") + error.what());
  }
}

}  // namespace waxwingwing
