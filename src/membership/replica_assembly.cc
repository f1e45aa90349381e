#include "waxwingwing/membership/replica_assembly.h"

#include <array>
#include <cassert>
#include <map>
#include <unordered_map>
#include <utility>

namespace waxwingwing {
namespace {

using vm_index = std::unordered_map<vm_id, const vm_entry*>;

/// Evaluates replicas against one consistent view of reports, VM list and configuration.
class replica_assembler {
 public:
  replica_assembler(const report_table& reports, const std::vector<vm_entry>& vms,
                    const configuration& config, time_point now)
      : reports_(reports), config_(config), now_(now) {
    for (const vm_entry& vm : vms) {
      if (vm.role == vm_role::kEngine) vms_.emplace(vm.id, &vm);
    }
  }

  assembled_replica Assemble(const backend_assignment& reported) const {
    assembled_replica replica;
    replica.replica = reported.replica;
    replica.model_group = reported.model_group;
    replica.generation = reported.generation;
    replica.members = reported.members;
    if (!reported.members.empty()) replica.leader = reported.members.front();
    const auto leader = vms_.find(replica.leader);
    if (leader != vms_.end()) {
      replica.failure_domain = leader->second->failure_domain;
      replica.leader_address = leader->second->address;
    }
    replica.fault = FindFault(reported);
    return replica;
  }

  bool IsListed(const vm_id& vm) const { return vms_.contains(vm); }

 private:
  replica_fault FindFault(const backend_assignment& reported) const {
    if (reported.members.empty()) return replica_fault::kNoLeader;
    if (!config_.model_groups.contains(reported.model_group)) {
      return replica_fault::kModelGroupNotConfigured;
    }
    for (std::uint32_t rank = 0; rank < reported.members.size(); ++rank) {
      const replica_fault fault = FindMemberFault(reported, rank);
      if (fault != replica_fault::kNone) return fault;
    }
    return replica_fault::kNone;
  }

  replica_fault FindMemberFault(const backend_assignment& reported, std::uint32_t rank) const {
    const vm_id& member = reported.members[rank];
    const auto listed = vms_.find(member);
    if (listed == vms_.end()) return replica_fault::kMemberNotListed;
    if (listed->second->state == vm_state::kLeaving) return replica_fault::kMemberLeaving;
    if (!IsDomainIn(listed->second->failure_domain)) return replica_fault::kDomainOut;
    const backend_report* report = reports_.FindFresh(member, now_);
    if (report == nullptr) return replica_fault::kMemberSilent;
    if (reports_.IsSuspected(member)) return replica_fault::kMemberSuspected;
    backend_assignment expected = reported;
    expected.rank = rank;
    if (report->assignment != expected) return replica_fault::kMemberDisagrees;
    if (report->state != backend_state::kReady) return replica_fault::kMemberNotReady;
    return replica_fault::kNone;
  }

  bool IsDomainIn(const failure_domain_id& domain) const {
    const auto found = config_.failure_domains.find(domain);
    return found != config_.failure_domains.end() && found->second.value.state == domain_state::kIn;
  }

  const report_table& reports_;
  const configuration& config_;
  const time_point now_;
  vm_index vms_;
};

bool IsBetter(const assembled_replica& candidate, const assembled_replica& held) {
  if (candidate.serving() != held.serving()) return candidate.serving();
  return candidate.generation > held.generation;
}

using assignment_key = std::pair<replica_id, generation>;

/// The reported assignment of each replica and generation: its leader's, or else that of the lowest
/// rank.
std::map<assignment_key, const backend_assignment*> CollectReportedAssignments(
    const report_table& reports, const replica_assembler& assembler) {
  std::map<assignment_key, const backend_assignment*> reported_assignments;
  for (const auto& [vm, entry] : reports.entries()) {
    if (!entry.report.assignment || !assembler.IsListed(vm)) continue;
    const backend_assignment& reported = *entry.report.assignment;
    const backend_assignment*& held = reported_assignments[{reported.replica, reported.generation}];
    if (held == nullptr || reported.rank < held->rank) held = &reported;
  }
  return reported_assignments;
}

}  // namespace

std::vector<assembled_replica> AssembleReplicas(const report_table& reports,
                                                const std::vector<vm_entry>& vms,
                                                const configuration& config, time_point now) {
  const replica_assembler assembler(reports, vms, config, now);
  std::map<replica_id, assembled_replica> best;
  for (const auto& [key, reported] : CollectReportedAssignments(reports, assembler)) {
    assembled_replica candidate = assembler.Assemble(*reported);
    const auto [held, inserted] = best.try_emplace(key.first, candidate);
    if (!inserted && IsBetter(candidate, held->second)) held->second = std::move(candidate);
  }
  std::vector<assembled_replica> replicas;
  replicas.reserve(best.size());
  for (auto& [id, replica] : best) replicas.push_back(std::move(replica));
  return replicas;
}

const char* ToText(replica_fault fault) {
  static constexpr std::array kTexts{"none",
                                     "no_leader",
                                     "member_not_listed",
                                     "member_silent",
                                     "member_disagrees",
                                     "member_not_ready",
                                     "member_leaving",
                                     "member_suspect",
                                     "domain_out",
                                     "model_group_not_configured"};
  const auto index = static_cast<std::size_t>(fault);
  assert(index < kTexts.size());
  return kTexts[index];
}

}  // namespace waxwingwing
