#include "waxwingwing/relay/load_report_table.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {

void load_report_table::Record(load_report report, time_point now) {
  const vm_id vm = report.node.vm;
  reports_.insert_or_assign(vm, entry{std::move(report), now});
}

void load_report_table::RemoveExpired(time_point now) {
  std::erase_if(reports_,
                [&](const auto& item) { return now - item.second.received_at > lifetime_; });
}

std::map<vm_id, std::uint64_t> load_report_table::Followers() const {
  std::map<vm_id, std::uint64_t> followers;
  for (const auto& [vm, known] : reports_) followers.emplace(vm, known.report.sequence);
  return followers;
}

server_requests load_report_table::Sum(server_requests own, bool relays) const {
  for (const auto& [vm, known] : reports_) {
    if (known.report.vms > 1 && !relays) continue;
    for (const auto& [server, usage] : known.report.requests) own[server] += usage;
  }
  return own;
}

std::size_t load_report_table::CountVms(bool relays) const {
  std::size_t count = 1;
  for (const auto& [vm, known] : reports_) {
    if (known.report.vms == 1 || relays) count += known.report.vms;
  }
  return count;
}

std::size_t load_report_table::CountCutOff(bool relays) const {
  std::size_t count = 0;
  for (const auto& [vm, known] : reports_) {
    if (known.report.vms == 1 || relays) count += known.report.cut_off_vms;
  }
  return count;
}

std::vector<relay_node> load_report_table::Carriers() const {
  std::map<vm_id, relay_node> carriers;
  for (const auto& [vm, known] : reports_) {
    for (const relay_node& carrier : known.report.carriers)
      carriers.try_emplace(carrier.vm, carrier);
    if (known.report.carrier_address.empty()) continue;
    relay_node node = known.report.node;
    node.address = known.report.carrier_address;
    carriers.insert_or_assign(vm, std::move(node));
  }
  std::vector<relay_node> list;
  list.reserve(carriers.size());
  for (auto& [vm, carrier] : carriers) list.push_back(std::move(carrier));
  return list;
}

std::map<failure_domain_id, std::size_t> load_report_table::VmsByDomain() const {
  std::map<failure_domain_id, std::size_t> vms;
  for (const auto& [vm, known] : reports_) {
    vms[known.report.node.failure_domain] += known.report.vms;
  }
  return vms;
}

std::vector<relay_node> load_report_table::RelayCandidates() const {
  std::map<vm_id, relay_node> nodes;
  for (const auto& [vm, known] : reports_) {
    nodes.insert_or_assign(vm, known.report.node);
    const auto& successor = known.report.successor;
    if (successor) nodes.try_emplace(successor->vm, *successor);
  }
  std::vector<relay_node> candidates;
  candidates.reserve(nodes.size());
  for (auto& [vm, node] : nodes) candidates.push_back(std::move(node));
  return candidates;
}

std::optional<relay_node> load_report_table::Successor() const {
  const auto best =
      std::max_element(reports_.begin(), reports_.end(), [](const auto& left, const auto& right) {
        return left.second.report.node.capacity < right.second.report.node.capacity;
      });
  // A VM that stops states no capacity, and one of an earlier version no address either.
  if (best == reports_.end() || best->second.report.node.capacity <= 0) return std::nullopt;
  return best->second.report.node;
}

}  // namespace waxwingwing
