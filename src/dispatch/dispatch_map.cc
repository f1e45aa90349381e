#include "waxwingwing/dispatch/dispatch_map.h"

#include <algorithm>
#include <utility>

#include "waxwingwing/core/hash.h"
#include "waxwingwing/formation/group_name.h"

namespace waxwingwing {
namespace {

bool MayTakeRequests(const server_directory::entry& known, const server_directory& directory) {
  return !known.server.draining && !directory.IsEvacuated(known.server.failure_domain);
}

dispatch_candidate CandidateOf(const server_directory::entry& known) {
  dispatch_candidate candidate;
  candidate.server = known.server.id;
  candidate.born = known.server.born;
  candidate.address = known.server.address;
  candidate.failure_domain = known.server.failure_domain;
  candidate.slots = known.server.slots;
  candidate.cold_until = known.cold_until;
  return candidate;
}

}  // namespace

void SortForSubset(std::vector<dispatch_candidate>& candidates, const vm_id& vm) {
  std::vector<std::pair<std::uint64_t, dispatch_candidate>> weighted;
  weighted.reserve(candidates.size());
  for (dispatch_candidate& candidate : candidates) {
    const std::uint64_t weight = RendezvousWeight(candidate.server.str(), vm.str());
    weighted.emplace_back(weight, std::move(candidate));
  }
  std::sort(weighted.begin(), weighted.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  std::transform(weighted.begin(), weighted.end(), candidates.begin(),
                 [](auto& item) { return std::move(item.second); });
}

dispatch_map::dispatch_map(const server_directory& directory,
                           const traffic_configuration& configuration, const vm_id& vm) {
  for (const service_settings& service : configuration.services()) {
    if (!service.models.empty()) with_models_.insert(service.id);
  }
  for (const auto& [id, known] : directory.entries()) {
    if (with_models_.contains(known.server.service)) continue;
    if (MayTakeRequests(known, directory)) AddPlainServer(known, configuration);
  }
  for (const auto& [id, group] : directory.Groups()) AddGroup(group, directory, configuration);
  for (auto& [key, candidates] : candidates_) {
    if (with_models_.contains(key.first)) SortForSubset(candidates, vm);
  }
}

void dispatch_map::AddPlainServer(const server_directory::entry& known,
                                  const traffic_configuration& configuration) {
  dispatch_candidate candidate = CandidateOf(known);
  const service_settings* service = configuration.ServiceById(known.server.service);
  if (service != nullptr) {
    candidate.cold_rate = service->cold_rate;
    candidate.health_path = service->health_path;
  }
  candidates_[{known.server.service, std::string()}].push_back(std::move(candidate));
}

void dispatch_map::AddGroup(const group_view& group, const server_directory& directory,
                            const traffic_configuration& configuration) {
  if (group.members.empty() || group.head_state != membership_state::kOpen) return;
  const auto name = ParseGroupName(group.id);
  if (!name || name->spare) return;
  const auto* head = directory.Find(group.members.front());
  if (head == nullptr || !MayTakeRequests(*head, directory)) return;
  const service_settings* service = configuration.ServiceById(head->server.service);
  if (service == nullptr || service->ModelByName(name->model) == nullptr) return;
  // Unregistered members do not exclude the group: a member may be partitioned only from the VM
  // list while the group still works. Stalls of the group's streams show whether it does.
  dispatch_candidate candidate = CandidateOf(*head);
  candidate.group = group.id;
  candidate.slots = service->group_slots;
  candidate.cold_rate = service->cold_rate;
  candidate.pool = StableHash(service->id.str() + "/" + name->model);
  candidates_[{service->id, name->model}].push_back(std::move(candidate));
}

std::vector<dispatch_candidate> dispatch_map::AllCandidates() const {
  std::vector<dispatch_candidate> all;
  for (const auto& [key, candidates] : candidates_) {
    all.insert(all.end(), candidates.begin(), candidates.end());
  }
  return all;
}

std::string dispatch_map::Describe() const {
  std::string text;
  for (const auto& [key, candidates] : candidates_) {
    if (!text.empty()) text += ' ';
    text += key.second.empty() ? key.first.str() : key.second;
    text += '=' + std::to_string(candidates.size());
  }
  return text;
}

const std::vector<dispatch_candidate>& dispatch_map::Candidates(const service_id& service,
                                                                const std::string& model) const {
  static const std::vector<dispatch_candidate> kNone;
  const auto found =
      candidates_.find({service, with_models_.contains(service) ? model : std::string()});
  return found == candidates_.end() ? kNone : found->second;
}

}  // namespace waxwingwing
