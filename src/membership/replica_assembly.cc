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

  assembled_replica Assemble(const backend_assignment& claim) const {
    assembled_replica replica;
    replica.replica = claim.replica;
    replica.model_group = claim.model_group;
    replica.generation = claim.generation;
    replica.members = claim.members;
    if (!claim.members.empty()) replica.leader = claim.members.front();
    const auto leader = vms_.find(replica.leader);
    if (leader != vms_.end()) {
      replica.failure_domain = leader->second->failure_domain;
      replica.leader_address = leader->second->address;
    }
    replica.fault = FindFault(claim);
    return replica;
  }

  bool IsListed(const vm_id& vm) const { return vms_.contains(vm); }

 private:
  replica_fault FindFault(const backend_assignment& claim) const {
    if (claim.members.empty()) return replica_fault::kNoLeader;
    if (!config_.model_groups.contains(claim.model_group)) {
      return replica_fault::kModelGroupNotConfigured;
    }
    for (std::uint32_t rank = 0; rank < claim.members.size(); ++rank) {
      const replica_fault fault = FindMemberFault(claim, rank);
      if (fault != replica_fault::kNone) return fault;
    }
    return replica_fault::kNone;
  }

  replica_fault FindMemberFault(const backend_assignment& claim, std::uint32_t rank) const {
    const vm_id& member = claim.members[rank];
    const auto listed = vms_.find(member);
    if (listed == vms_.end()) return replica_fault::kMemberNotListed;
    if (listed->second->state == vm_state::kLeaving) return replica_fault::kMemberLeaving;
    if (!IsDomainIn(listed->second->failure_domain)) return replica_fault::kDomainOut;
    const backend_report* report = reports_.FindFresh(member, now_);
    if (report == nullptr) return replica_fault::kMemberSilent;
    if (reports_.IsSuspect(member)) return replica_fault::kMemberSuspect;
    backend_assignment expected = claim;
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

using claim_key = std::pair<replica_id, generation>;

/// The reported assignment of each replica and generation: its leader's, or else that of the lowest
/// rank.
std::map<claim_key, const backend_assignment*> CollectClaims(const report_table& reports,
                                                             const replica_assembler& assembler) {
  std::map<claim_key, const backend_assignment*> claims;
  for (const auto& [vm, entry] : reports.entries()) {
    if (!entry.report.assignment || !assembler.IsListed(vm)) continue;
    const backend_assignment& claim = *entry.report.assignment;
    const backend_assignment*& held = claims[{claim.replica, claim.generation}];
    if (held == nullptr || claim.rank < held->rank) held = &claim;
  }
  return claims;
}

}  // namespace

std::vector<assembled_replica> AssembleReplicas(const report_table& reports,
                                                const std::vector<vm_entry>& vms,
                                                const configuration& config, time_point now) {
  const replica_assembler assembler(reports, vms, config, now);
  std::map<replica_id, assembled_replica> best;
  for (const auto& [key, claim] : CollectClaims(reports, assembler)) {
    assembled_replica candidate = assembler.Assemble(*claim);
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
