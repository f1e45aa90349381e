#include "control/control_snapshot.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "core/member_reader.h"
#include "waxwingwing/config/configuration_json.h"
#include "waxwingwing/core/json_text.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

/// Readers refuse snapshots of another format.
constexpr std::uint64_t kSnapshotFormat = 1;
/// Limits the memory that a snapshot from a hostile peer can take.
constexpr json_limits kSnapshotLimits{std::size_t{64} << 20U, 16};

json LeaseToJson(const failure_domain_id& domain, const domain_lease& lease) {
  return {{"failure_domain", domain.str()},
          {"vm", lease.vm.str()},
          {"incarnation", lease.incarnation.get()},
          {"fencing", lease.fencing.get()},
          {"offset", lease.offset.get()},
          {"record", lease.record.str()},
          {"duration_ms", static_cast<std::uint64_t>(lease.duration.count())},
          {"released", lease.released}};
}

domain_lease LeaseFromJson(member_reader& reader) {
  domain_lease lease;
  lease.vm = vm_id(reader.Text("vm"));
  lease.incarnation = incarnation(reader.Number("incarnation"));
  lease.fencing = fencing_number(reader.Number("fencing"));
  lease.offset = log_offset(reader.Number("offset"));
  lease.record = append_id(reader.Text("record", 4096));
  lease.duration = milliseconds(reader.Number("duration_ms", 1, INT32_MAX));
  lease.released = reader.Flag("released");
  return lease;
}

json SlotToJson(const failure_domain_id& domain, std::uint32_t index, const roster_slot& slot) {
  return {{"failure_domain", domain.str()},
          {"slot", index},
          {"vm", slot.vm.str()},
          {"incarnation", slot.incarnation.get()},
          {"peer_address", slot.peer_address},
          {"offset", slot.offset.get()}};
}

roster_slot SlotFromJson(member_reader& reader) {
  roster_slot slot;
  slot.vm = vm_id(reader.Text("vm"));
  slot.incarnation = incarnation(reader.Number("incarnation"));
  slot.peer_address = reader.Text("peer_address");
  slot.offset = log_offset(reader.Number("offset"));
  return slot;
}

json CountersToJson(const control_counters& counters) {
  return {{"applied", counters.applied},
          {"refused", counters.refused},
          {"duplicates", counters.duplicates},
          {"malformed", counters.malformed}};
}

control_counters CountersFromJson(const json& value, member_reader& outer) {
  member_reader reader(value);
  control_counters counters;
  counters.applied = reader.Number("applied");
  counters.refused = reader.Number("refused");
  counters.duplicates = reader.Number("duplicates");
  counters.malformed = reader.Number("malformed");
  if (!reader.ok()) outer.Fail(reader.reason());
  return counters;
}

std::map<failure_domain_id, domain_lease> ReadLeases(member_reader& outer) {
  std::map<failure_domain_id, domain_lease> leases;
  for (const json& item : outer.Array("leases")) {
    member_reader reader(item);
    const failure_domain_id domain(reader.Text("failure_domain"));
    leases[domain] = LeaseFromJson(reader);
    if (!reader.ok()) outer.Fail(reader.reason());
  }
  return leases;
}

std::map<failure_domain_id, domain_roster> ReadRosters(member_reader& outer) {
  std::map<failure_domain_id, domain_roster> rosters;
  for (const json& item : outer.Array("rosters")) {
    member_reader reader(item);
    const failure_domain_id domain(reader.Text("failure_domain"));
    const auto index = static_cast<std::uint32_t>(reader.Number("slot", 0, UINT32_MAX));
    rosters[domain][index] = SlotFromJson(reader);
    if (!reader.ok()) outer.Fail(reader.reason());
  }
  return rosters;
}

std::vector<release_note_verdict> ReadVerdicts(member_reader& outer) {
  std::vector<release_note_verdict> verdicts;
  for (const json& item : outer.Array("verdicts")) {
    result<release_note_verdict> verdict = VerdictFromJson(item);
    if (verdict) {
      verdicts.push_back(std::move(*verdict));
    } else {
      outer.Fail(verdict.reason());
    }
  }
  if (verdicts.size() > control_state::kMaxVerdicts) outer.Fail("too many verdicts");
  return verdicts;
}

std::vector<std::uint64_t> ReadAppends(member_reader& outer) {
  std::vector<std::uint64_t> hashes;
  for (const json& item : outer.Array("recent_appends")) {
    if (item.is_number_unsigned()) {
      hashes.push_back(item.get<std::uint64_t>());
    } else {
      outer.Fail("recent_appends contains a value that is not a number");
    }
  }
  if (hashes.size() > append_window::kSize) outer.Fail("too many recent_appends");
  return hashes;
}

}  // namespace

std::string control_snapshot::Write(const control_state& state) {
  json leases = json::array();
  for (const auto& [domain, lease] : state.leases_) leases.push_back(LeaseToJson(domain, lease));
  json rosters = json::array();
  for (const auto& [domain, roster] : state.rosters_) {
    for (const auto& [index, slot] : roster) rosters.push_back(SlotToJson(domain, index, slot));
  }
  json verdicts = json::array();
  for (const note_id& id : state.verdict_order_) {
    verdicts.push_back(VerdictToJson(state.verdicts_.at(id)));
  }
  return ToJsonText({{"format", kSnapshotFormat},
                     {"next_offset", state.next_offset_.get()},
                     {"configuration", ConfigurationStateToJson(state.configuration_)},
                     {"leases", std::move(leases)},
                     {"rosters", std::move(rosters)},
                     {"verdicts", std::move(verdicts)},
                     {"recent_appends", state.recent_appends_.ToList()},
                     {"counters", CountersToJson(state.counters_)}});
}

result<control_state> control_snapshot::Read(std::string_view text) {
  using outcome = result<control_state>;
  const result<json> value = ParseJsonText(text, kSnapshotLimits);
  if (!value) return outcome::Failure(value.reason());
  member_reader reader(*value);
  reader.Number("format", kSnapshotFormat, kSnapshotFormat);
  control_state state;
  state.next_offset_ = log_offset(reader.Number("next_offset"));
  state.leases_ = ReadLeases(reader);
  state.rosters_ = ReadRosters(reader);
  state.counters_ = CountersFromJson(reader.Object("counters"), reader);
  std::vector<release_note_verdict> verdicts = ReadVerdicts(reader);
  const std::vector<std::uint64_t> appends = ReadAppends(reader);
  result<configuration_state> configuration =
      ConfigurationStateFromJson(reader.Object("configuration"));
  if (!configuration) reader.Fail(configuration.reason());
  if (!reader.ok()) return outcome::Failure(reader.reason());

  state.configuration_ = std::move(*configuration);
  state.recent_appends_.Load(appends);
  for (release_note_verdict& verdict : verdicts) state.KeepVerdict(std::move(verdict));
  return state;
}

}  // namespace waxwingwing
