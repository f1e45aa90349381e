#include "tests/integration/control_scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <utility>

#include "tests/integration/invariants.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr milliseconds kTakeoverBound{15000};

/// Orders that were obeyed, by time.
std::vector<std::pair<std::int64_t, json>> ObeyedOrders(const std::vector<vm_records>& engines) {
  std::vector<std::pair<std::int64_t, json>> orders;
  for (const vm_records& engine : engines) {
    for (json order : engine.List("orders")) {
      if (order.at("verdict") != "accepted") continue;
      order["vm"] = engine.vm;
      const auto at_us = order.at("at_us").get<std::int64_t>();
      orders.emplace_back(at_us, std::move(order));
    }
  }
  std::sort(orders.begin(), orders.end(),
            [](const auto& one, const auto& other) { return one.first < other.first; });
  return orders;
}

/// When each record of the control stream was appended, by offset.
std::map<std::uint64_t, std::int64_t> ControlAppends(const http_client& log) {
  std::map<std::uint64_t, std::int64_t> appended_us;
  const json records = log.Get("/v1/test/records").Json();
  for (const json& append : records.at("appends")) {
    if (append.at("stream") != "control") continue;
    appended_us[append.at("offset").get<std::uint64_t>()] = append.at("at_us").get<std::int64_t>();
  }
  return appended_us;
}

/// When the first record of each term was appended, by fencing number. Reads the log by the rule of
/// section 4.2 of the design, for a single failure domain.
std::map<std::uint64_t, std::int64_t> TermStarts(deployment& running) {
  const http_client log(running.log().Address());
  const auto appended_us = ControlAppends(log);
  const json page = log.Get("/v1/streams/control/records?from=0&limit=100000&wait_ms=0").Json();
  std::map<std::uint64_t, std::int64_t> starts;
  json latest_offset;
  json holder;
  for (const json& record : page.at("records")) {
    const json& payload = record.at("payload");
    if (payload.at("kind") != "lease" || payload.at("based_on") != latest_offset) continue;
    const json owner = {payload.at("vm"), payload.at("incarnation")};
    const auto offset = record.at("offset").get<std::uint64_t>();
    if (owner != holder) starts[offset] = appended_us.at(offset);
    holder = payload.at("released").get<bool>() ? json() : owner;
    latest_offset = record.at("offset");
  }
  return starts;
}

}  // namespace

deployment_settings OneDomain(std::size_t engines, std::size_t entry_vms) {
  deployment_settings settings = ThreeDomains(engines, entry_vms);
  settings.domains = {settings.domains.at(1)};
  settings.domains.front().services = 0;
  return settings;
}

void CheckFencingNumbers(deployment_settings& settings) {
  settings.engine_flags.emplace_back("--checks_fencing");
}

control_scenario::control_scenario(const deployment_settings& settings, std::size_t replicas)
    : running_(settings) {
  // The replicas of each domain add up to the number wanted.
  const std::size_t per_domain = replicas / settings.domains.size();
  const json note = NoteWithModelGroup(running_, "n1", {{"replicas", per_domain}});
  StartServing(running_, note, replicas);
  const http_client first(running_.CallerAddress(running_.VmIds("entry").at(0)));
  revision_ = first.Get("/v1/admin/release_notes/n1").Json().at("revision");
  std::vector<std::string> addresses;
  for (const std::string& entry : running_.VmIds("entry")) {
    addresses.push_back(running_.CallerAddress(entry));
    watch_.Add(entry, addresses.back());
  }
  traffic_.emplace(addresses);
}

std::string control_scenario::Holder(const std::string& seen_by, const std::string& domain) {
  const json status = StatusOf(running_, seen_by);
  for (const json& lease : status.at("leases")) {
    if (lease.at("failure_domain") == domain && !lease.at("released").get<bool>()) {
      return lease.at("vm").get<std::string>();
    }
  }
  return {};
}

std::string control_scenario::OtherEntry(const std::string& entry_vm, const std::string& domain) {
  for (const std::string& id : running_.VmIds("entry", domain)) {
    if (id != entry_vm) return id;
  }
  return {};
}

bool control_scenario::WaitForTakeover(const std::string& holder) {
  const std::string other = OtherEntry(holder);
  return WaitFor([&] { return Holder(other) == other; }, kTakeoverBound);
}

void control_scenario::CutPeers(const std::string& entry_vm, bool cut) {
  for (const std::string& peer : running_.VmIds("entry")) {
    if (peer == entry_vm) continue;
    SetFaults(running_.VmProxy(entry_vm, peer), {{"cut", cut}});
    SetFaults(running_.VmProxy(peer, entry_vm), {{"cut", cut}});
  }
}

void control_scenario::AppendFiller(std::size_t count, const std::vector<std::string>& entry_vms) {
  const http_client log(running_.log().Address());
  std::uint64_t next_offset = 0;
  for (std::size_t number = 0; number < count; ++number) {
    const json record = {{"append_id", "filler-" + std::to_string(++filler_)},
                         {"payload", {{"kind", "filler"}}}};
    const http_answer answer = log.Post("/v1/streams/control/records", record);
    next_offset = answer.Json().at("offset").get<std::uint64_t>() + 1;
  }
  REQUIRE(WaitFor(
      [&] {
        return std::all_of(entry_vms.begin(), entry_vms.end(), [&](const std::string& id) {
          return StatusOf(running_, id).at("control_offset").get<std::uint64_t>() >= next_offset;
        });
      },
      kInForceBound));
}

bool control_scenario::WaitForReplicas(const std::string& entry_vm, std::size_t replicas,
                                       milliseconds bound) {
  return WaitFor([&] { return ServingReplicas(running_, entry_vm) == replicas; }, bound);
}

bool control_scenario::WaitForRepair(const std::string& entry_vm, const std::string& lost,
                                     std::size_t replicas, milliseconds bound) {
  return WaitFor(
      [&] { return !IsServing(entry_vm, lost) && ServingReplicas(running_, entry_vm) == replicas; },
      bound);
}

bool control_scenario::IsServing(const std::string& seen_by, const std::string& vm) {
  const json status = StatusOf(running_, seen_by);
  for (const json& replica : status.at("replicas")) {
    const json& members = replica.at("members");
    const bool is_member = std::find(members.begin(), members.end(), vm) != members.end();
    if (is_member && replica.at("serving").get<bool>()) return true;
  }
  return false;
}

std::string control_scenario::ServingMember(const std::string& seen_by, std::size_t rank) {
  const json status = StatusOf(running_, seen_by);
  for (const json& replica : status.at("replicas")) {
    if (replica.at("serving").get<bool>()) return replica.at("members").at(rank);
  }
  return {};
}

http_answer control_scenario::PublishShare(const std::string& entry_vm, std::uint64_t share,
                                           const std::string& note_id) {
  http_answer answer = PublishAt(entry_vm, share, note_id, revision_);
  if (answer.status == 200 && answer.Json().at("state") == "accepted") {
    revision_ = std::max(revision_, answer.Json().at("revision").get<std::uint64_t>());
  }
  return answer;
}

http_answer control_scenario::PublishAt(const std::string& entry_vm, std::uint64_t share,
                                        const std::string& note_id, std::uint64_t base_revision) {
  const json organisation = {{"id", "acme"}, {"priority", 5}, {"share", share}, {"max_queue", 256}};
  const json change = {{"organisations", json::array({organisation})}};
  const json note = {{"note_id", note_id}, {"base_revision", base_revision}, {"change", change}};
  return running_.ApplyReleaseNote(note, entry_vm);
}

void control_scenario::RestartEntry(const std::string& entry_vm) {
  running_.Restart(entry_vm);
  watch_.Add(entry_vm, running_.CallerAddress(entry_vm));
}

bool control_scenario::WaitForShare(const std::vector<std::string>& entry_vms, std::uint64_t share,
                                    milliseconds bound) {
  return WaitFor(
      [&] {
        return std::all_of(entry_vms.begin(), entry_vms.end(), [&](const std::string& id) {
          return ShareIn(StatusOf(running_, id)) == share;
        });
      },
      bound);
}

void control_scenario::Finish(milliseconds path_delay) {
  traffic_->Stop();
  watch_.Stop();
  const auto engines = running_.Records("engine");
  partial_group_bounds bounds;
  bounds.silent_member += path_delay;
  bounds.vms_per_replica = {{"orders", 2}};
  CHECK_THAT(CheckPartialGroups(engines, bounds).ToText(), Catch::Equals(""));
  CHECK_THAT(CheckDoubleMembership(engines).ToText(), Catch::Equals(""));
  CHECK_THAT(watch_.findings().ToText(), Catch::Equals(""));
  CHECK(watch_.checked() > 0);
  CHECK(traffic_->wrong() == 0);
  CHECK(traffic_->whole() > 0);
}

finding_list CheckTermOverlap(deployment& running) {
  const auto orders = ObeyedOrders(running.Records("engine"));
  const auto began_us = TermStarts(running);
  finding_list findings;
  if (began_us.empty()) findings.Add("log", "no term began");
  for (const auto& [at_us, order] : orders) {
    const auto later = began_us.upper_bound(order.at("fencing_number").get<std::uint64_t>());
    if (later == began_us.end() || at_us < later->second) continue;
    findings.Add(order.at("vm"), fmt::format("obeyed {} {} us after term {} began", order.dump(),
                                             at_us - later->second, later->first));
  }
  return findings;
}

std::size_t OrdersObeyed(const std::vector<vm_records>& engines, std::int64_t from_us,
                         std::int64_t to_us) {
  const auto orders = ObeyedOrders(engines);
  return static_cast<std::size_t>(std::count_if(orders.begin(), orders.end(), [&](const auto& one) {
    return one.first >= from_us && one.first <= to_us;
  }));
}

}  // namespace waxwingwing::integration
