#include "waxwingwing/membership/report_table.h"

#include <algorithm>
#include <set>

namespace waxwingwing {

bool report_table::IsNewer(const backend_report& report, const backend_report& held,
                           time_point now) {
  if (report.incarnation == held.incarnation) return report.sequence > held.sequence;
  const time_point started = report.taken_at - report.uptime;
  const time_point held_started = held.taken_at - held.uptime;
  if (started > held_started) return true;
  // Start times are estimates. When the estimates of two short runs are in the wrong order, an
  // expired report must not block the reports of the current incarnation.
  return now - held.taken_at > kReportLifetime && report.taken_at > held.taken_at;
}

bool report_table::Observe(const backend_report& report, time_point now) {
  backend_report observed = report;
  observed.taken_at = std::min(observed.taken_at, now);
  const auto found = entries_.find(observed.vm);
  if (found == entries_.end()) {
    entries_.emplace(observed.vm, entry{observed, std::nullopt});
    return true;
  }
  entry& held = found->second;
  if (!IsNewer(observed, held.report, now)) return false;
  if (held.suspected_at && observed.taken_at > *held.suspected_at) held.suspected_at.reset();
  held.report = std::move(observed);
  return true;
}

void report_table::Retain(const std::vector<vm_entry>& vms) {
  std::set<vm_id> listed;
  for (const vm_entry& vm : vms) listed.insert(vm.id);
  std::erase_if(entries_, [&](const auto& item) { return !listed.contains(item.first); });
}

void report_table::MarkSuspected(const vm_id& vm, incarnation seen, time_point now) {
  const auto found = entries_.find(vm);
  if (found == entries_.end() || found->second.report.incarnation != seen) return;
  found->second.suspected_at = now;
}

const backend_report* report_table::Find(const vm_id& vm) const {
  const auto found = entries_.find(vm);
  return found == entries_.end() ? nullptr : &found->second.report;
}

const backend_report* report_table::FindFresh(const vm_id& vm, time_point now) const {
  const backend_report* report = Find(vm);
  if (report == nullptr || now - report->taken_at > kReportLifetime) return nullptr;
  return report;
}

std::optional<milliseconds> report_table::Age(const vm_id& vm, time_point now) const {
  const backend_report* report = Find(vm);
  if (report == nullptr) return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(now - report->taken_at);
}

bool report_table::IsSuspected(const vm_id& vm) const {
  const auto found = entries_.find(vm);
  return found != entries_.end() && found->second.suspected_at.has_value();
}

}  // namespace waxwingwing
