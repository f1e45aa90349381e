#include "waxwingwing/control/control_record.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/member_reader.h"
#include "waxwingwing/core/json_text.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

/// Fits a release note of the maximum size and the enclosing object.
constexpr json_limits kRecordLimits{(std::size_t{1} << 20U) + 4096, 18};
constexpr std::uint64_t kMaxSlots = 1024;
/// A longer lease than ten minutes would only delay a takeover.
constexpr std::uint64_t kMaxLeaseMs = 600000;

json OffsetOrNull(const std::optional<log_offset>& offset) {
  if (!offset) return nullptr;
  return offset->get();
}

std::optional<log_offset> ReadOptionalOffset(member_reader& reader, const char* name) {
  const std::optional<std::uint64_t> number = reader.OptionalNumber(name);
  if (!number) return std::nullopt;
  return log_offset(*number);
}

json ToJson(const release_note_record& record) {
  // A note that is not JSON is stored as a string, so that its verdict can report the error.
  result<json> note = ParseJsonText(record.note);
  json value = json::object();
  value["kind"] = "release_note";
  value["note"] = note ? std::move(*note) : json(record.note);
  return value;
}

json ToJson(const lease_record& record) {
  return {{"kind", "lease"},
          {"failure_domain", record.failure_domain.str()},
          {"vm", record.vm.str()},
          {"incarnation", record.incarnation.get()},
          {"based_on", OffsetOrNull(record.based_on)},
          {"released", record.released},
          {"duration_ms", static_cast<std::uint64_t>(record.duration.count())}};
}

json ToJson(const roster_record& record) {
  return {{"kind", "roster"},
          {"failure_domain", record.failure_domain.str()},
          {"slot", record.slot},
          {"action", record.action == roster_action::kClaim ? "claim" : "release"},
          {"vm", record.vm.str()},
          {"incarnation", record.incarnation.get()},
          {"peer_address", record.peer_address},
          {"based_on", OffsetOrNull(record.based_on)}};
}

result<control_record> Finish(const member_reader& reader, control_record record) {
  if (reader.ok()) return record;
  return result<control_record>::Failure(reader.reason());
}

result<control_record> ReadLease(member_reader& reader) {
  lease_record record;
  record.failure_domain = failure_domain_id(reader.Text("failure_domain"));
  record.vm = vm_id(reader.Text("vm"));
  record.incarnation = incarnation(reader.Number("incarnation"));
  record.based_on = ReadOptionalOffset(reader, "based_on");
  record.released = reader.Flag("released");
  record.duration = milliseconds(reader.Number("duration_ms", 1, kMaxLeaseMs));
  return Finish(reader, std::move(record));
}

result<control_record> ReadRoster(member_reader& reader) {
  roster_record record;
  record.failure_domain = failure_domain_id(reader.Text("failure_domain"));
  record.slot = static_cast<std::uint32_t>(reader.Number("slot", 0, kMaxSlots - 1));
  const std::string action = reader.Text("action");
  if (action != "claim" && action != "release") reader.Fail("action is unknown");
  record.action = action == "claim" ? roster_action::kClaim : roster_action::kRelease;
  record.vm = vm_id(reader.Text("vm"));
  record.incarnation = incarnation(reader.Number("incarnation"));
  record.peer_address = reader.Text("peer_address");
  record.based_on = ReadOptionalOffset(reader, "based_on");
  return Finish(reader, std::move(record));
}

}  // namespace

std::string EncodeControlRecord(const control_record& record) {
  return ToJsonText(std::visit([](const auto& kind) { return ToJson(kind); }, record));
}

result<control_record> DecodeControlRecord(std::string_view payload) {
  using outcome = result<control_record>;
  const result<json> value = ParseJsonText(payload, kRecordLimits);
  if (!value) return outcome::Failure(value.reason());
  member_reader reader(*value);
  const std::string kind = reader.Text("kind");
  if (!reader.ok()) return outcome::Failure(reader.reason());
  if (kind == "lease") return ReadLease(reader);
  if (kind == "roster") return ReadRoster(reader);
  if (kind != "release_note") return outcome::Failure("kind is unknown");
  if (!value->contains("note")) return outcome::Failure("note is missing");
  return control_record(release_note_record{ToJsonText((*value)["note"])});
}

}  // namespace waxwingwing
