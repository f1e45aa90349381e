#include "daemon/backend_catalog.h"

#include <algorithm>
#include <string>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {

void backend_catalog::RecordIncarnation(const vm_id& vm, incarnation seen, milliseconds ready_for) {
  const backend_report* report = context_.reports.Find(vm);
  if (report != nullptr && report->incarnation == seen) return;
  observed_starts_[vm] = {seen, ready_for, context_.clock.Now()};
}

void backend_catalog::Refresh(time_point now) {
  std::erase_if(observed_starts_, [&](const auto& item) {
    const backend_report* report = context_.reports.Find(item.first);
    return report == nullptr || report->taken_at > item.second.at;
  });
  units_.clear();
  replicas_ = AssembleReplicas(context_.reports, context_.vms, context_.state.objects(), now);
  for (const assembled_replica& replica : replicas_) AddReplica(replica);
  for (const vm_entry& vm : context_.vms) {
    if (vm.role == vm_role::kService) AddService(vm, now);
  }
}

const backend_unit* backend_catalog::Find(const replica_id& key) const {
  const auto found = std::find_if(units_.begin(), units_.end(),
                                  [&](const backend_unit& unit) { return unit.key == key; });
  return found == units_.end() ? nullptr : &*found;
}

void backend_catalog::AddReplica(const assembled_replica& replica) {
  const auto& groups = context_.state.objects().model_groups;
  const auto group = groups.find(replica.model_group);
  const backend_report* leader = context_.reports.Find(replica.leader);
  if (group == groups.end() || leader == nullptr) return;
  backend_unit unit;
  unit.key = replica.replica;
  unit.model_group = replica.model_group;
  unit.generation = replica.generation;
  unit.vm = replica.leader;
  unit.address = replica.leader_address;
  unit.failure_domain = replica.failure_domain;
  unit.incarnation = leader->incarnation;
  unit.reported = {leader->running, leader->kv_tokens_used};
  unit.ms_per_token = leader->ms_per_token;
  unit.reported_at = leader->taken_at;
  unit.routable = replica.serving() && !IsDraining(replica);
  milliseconds ready_for = group->second.value.warm_up;
  for (const vm_id& member : replica.members) ApplyMemberReport(member, unit, ready_for);
  unit.limit = LimitAt(group->second.value, ready_for);
  if (leader->kv_tokens_limit.get() > 0) {
    unit.limit.kv_tokens = std::min(unit.limit.kv_tokens, leader->kv_tokens_limit);
  }
  unit.warm_requests = group->second.value.max_requests;
  units_.push_back(std::move(unit));
}

void backend_catalog::AddService(const vm_entry& vm, time_point now) {
  const auto& services = context_.state.objects().services;
  const auto service = services.find(vm.service);
  if (service == services.end()) return;
  const auto& domains = service->second.value.failure_domains;
  if (std::find(domains.begin(), domains.end(), vm.failure_domain) == domains.end()) return;
  backend_unit unit;
  unit.key = replica_id("service/" + vm.id.str());
  unit.service = vm.service;
  unit.vm = vm.id;
  unit.address = vm.address;
  unit.failure_domain = vm.failure_domain;
  const backend_report* report = context_.reports.FindFresh(vm.id, now);
  if (report != nullptr) {
    unit.incarnation = report->incarnation;
    unit.combined_incarnation = report->incarnation;
    unit.reported = {report->running, token_count()};
    unit.reported_at = report->taken_at;
  }
  unit.routable = report != nullptr && report->state == backend_state::kReady &&
                  vm.state == vm_state::kLive && !context_.reports.IsSuspected(vm.id) &&
                  IsDomainIn(vm.failure_domain);
  unit.warm_requests = service->second.value.max_requests;
  // Plain services have no KV memory, so requests to them use no tokens of a budget.
  unit.limit = {unit.warm_requests, token_count()};
  units_.push_back(std::move(unit));
}

void backend_catalog::ApplyMemberReport(const vm_id& member, backend_unit& unit,
                                        milliseconds& ready_for) const {
  const backend_report* report = context_.reports.Find(member);
  if (report == nullptr) return;
  incarnation current = report->incarnation;
  ready_for = std::min(ready_for, report->ready_for);
  const auto observed = observed_starts_.find(member);
  if (observed != observed_starts_.end()) {
    current = observed->second.seen;
    ready_for = std::min(ready_for, observed->second.ready_for);
    if (member == unit.vm) unit.incarnation = current;
  }
  unit.combined_incarnation =
      incarnation(StableHash(std::to_string(current.get()), unit.combined_incarnation.get()) >> 1U);
}

bool backend_catalog::IsDraining(const assembled_replica& replica) const {
  const auto domain = context_.draining_replicas.find(replica.failure_domain);
  if (domain == context_.draining_replicas.end()) return false;
  const auto& ids = domain->second;
  return std::find(ids.begin(), ids.end(), replica.replica) != ids.end();
}

bool backend_catalog::IsDomainIn(const failure_domain_id& domain) const {
  const auto& domains = context_.state.objects().failure_domains;
  const auto found = domains.find(domain);
  return found != domains.end() && found->second.value.state == domain_state::kIn;
}

}  // namespace waxwingwing
