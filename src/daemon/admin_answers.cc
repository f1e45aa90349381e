#include "daemon/admin_answers.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "waxwingwing/config/configuration_json.h"
#include "waxwingwing/core/json_text.h"

namespace waxwingwing {

namespace {

struct domain_count {
  std::uint32_t nodes = 0;
  std::uint32_t confirmed = 0;
};

nlohmann::json FindingsToJson(const std::vector<finding>& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const finding& item : findings) {
    list.push_back({{"place", item.place}, {"message", item.message}});
  }
  return list;
}

}  // namespace

admin_answer admin_answers::Status() const {
  const nlohmann::json body = {
      {"vm", context_.settings.vm.str()},
      {"failure_domain", context_.settings.failure_domain.str()},
      {"control_offset", context_.state.next_offset().get()},
      {"configuration", ConfigurationToJson(context_.state.objects())},
      {"replicas", Replicas()},
      {"services", Services()},
      {"nodes", Nodes()},
      {"leases", Leases()},
      {"refusals", context_.metrics.CountersBy("waxwingwing_refusals_total", "reason")},
      {"retries", context_.metrics.CountersBy("waxwingwing_retries_total", "reason")},
  };
  return {200, ToJsonText(body)};
}

admin_answer admin_answers::ReleaseNote(const note_id& note) const {
  const release_note_verdict* verdict = context_.state.FindVerdict(note);
  if (verdict == nullptr) {
    const nlohmann::json pending = {{"note_id", note.str()}, {"state", "pending"}};
    return {200, ToJsonText(pending)};
  }
  nlohmann::json body = {{"note_id", note.str()},
                         {"state", verdict->accepted ? "accepted" : "rejected"},
                         {"revision", verdict->revision.get()}};
  body["findings"] = FindingsToJson(verdict->findings);
  body["conflicts"] = nlohmann::json::array();
  for (const release_note_conflict& item : verdict->conflicts) {
    body["conflicts"].push_back({{"place", item.place},
                                 {"object", std::string(ArrayName(item.kind)) + "/" + item.id},
                                 {"revision", item.revision.get()}});
  }
  body["in_force"] = InForce(verdict->revision);
  return {200, ToJsonText(body)};
}

admin_answer admin_answers::Error(std::uint32_t status, const std::string& code,
                                  const std::string& message) {
  const nlohmann::json body = {{"error", {{"code", code}, {"message", message}}}};
  return {status, ToJsonText(body)};
}

admin_answer admin_answers::MalformedNote(const finding_list& findings) {
  const nlohmann::json error = {{"code", "malformed_release_note"},
                                {"message", "the release note has faults"}};
  const nlohmann::json body = {{"error", error}, {"findings", FindingsToJson(findings.all())}};
  return {400, ToJsonText(body)};
}

nlohmann::json admin_answers::Replicas() const {
  nlohmann::json replicas = nlohmann::json::array();
  for (const assembled_replica& replica : catalog_.replicas()) {
    const backend_unit* unit = catalog_.Find(replica.replica);
    nlohmann::json members = nlohmann::json::array();
    for (const vm_id& member : replica.members) members.push_back(member.str());
    replicas.push_back({{"id", replica.replica.str()},
                        {"model_group", replica.model_group.str()},
                        {"failure_domain", replica.failure_domain.str()},
                        {"generation", replica.generation.get()},
                        {"members", std::move(members)},
                        {"serving", unit != nullptr && unit->routable},
                        {"fault", ToText(replica.fault)},
                        {"request_limit", unit == nullptr ? 0 : unit->limit.requests.get()}});
  }
  return replicas;
}

nlohmann::json admin_answers::Services() const {
  nlohmann::json services = nlohmann::json::array();
  for (const backend_unit& unit : catalog_.units()) {
    if (unit.service.empty()) continue;
    services.push_back({{"service", unit.service.str()},
                        {"vm", unit.vm.str()},
                        {"failure_domain", unit.failure_domain.str()},
                        {"serving", unit.routable}});
  }
  return services;
}

nlohmann::json admin_answers::Nodes() const {
  const time_point now = context_.clock.Now();
  nlohmann::json nodes = nlohmann::json::array();
  nodes.push_back({{"vm", context_.settings.vm.str()},
                   {"failure_domain", context_.settings.failure_domain.str()},
                   {"live", true},
                   {"draining", context_.draining},
                   {"control_offset", context_.state.next_offset().get()}});
  for (const auto& [vm, peer] : context_.peers.peers()) {
    nodes.push_back({{"vm", vm.str()},
                     {"failure_domain", peer.failure_domain.str()},
                     {"live", context_.peers.IsLive(vm, now)},
                     {"draining", peer.draining},
                     {"control_offset", peer.control_offset.get()}});
  }
  return nodes;
}

nlohmann::json admin_answers::Leases() const {
  nlohmann::json leases = nlohmann::json::array();
  for (const auto& [domain, lease] : context_.state.leases()) {
    leases.push_back({{"failure_domain", domain.str()},
                      {"vm", lease.vm.str()},
                      {"fencing_number", lease.fencing.get()},
                      {"released", lease.released}});
  }
  return leases;
}

nlohmann::json admin_answers::InForce(log_offset revision) const {
  std::map<failure_domain_id, domain_count> counts;
  for (const auto& [id, domain] : context_.state.objects().failure_domains) counts[id];
  domain_count& own = counts[context_.settings.failure_domain];
  ++own.nodes;
  if (context_.state.next_offset() > revision) ++own.confirmed;
  for (const auto& [vm, peer] : context_.peers.peers()) {
    domain_count& count = counts[peer.failure_domain];
    ++count.nodes;
    if (peer.control_offset > revision) ++count.confirmed;
  }
  nlohmann::json in_force = nlohmann::json::array();
  for (const auto& [domain, count] : counts) {
    in_force.push_back(
        {{"failure_domain", domain.str()}, {"nodes", count.nodes}, {"confirmed", count.confirmed}});
  }
  return in_force;
}

}  // namespace waxwingwing
