#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/dispatch/server_requests.h"
#include "waxwingwing/relay/relay_tree.h"

namespace waxwingwing {

/// Report of a VM to the one it follows.
struct load_report {
  /// The reporting VM.
  relay_node node;
  /// Number of VMs whose requests it contains: 1, or more from a relay.
  std::size_t vms = 1;
  server_requests requests;
  /// Increases with each report of a VM.
  std::uint64_t sequence = 0;
  /// The VM with the highest capacity among those that follow the reporting one.
  std::optional<relay_node> successor = {};
  /// Address on which the VM takes requests over from others; empty while it takes none.
  std::string carrier_address = {};
  /// VMs that do not reach the servers among the VM and its followers, and some of the followers
  /// that take requests over.
  std::size_t cut_off_vms = 0;
  std::vector<relay_node> carriers = {};
};

/// The latest reports of the VMs that follow this one. Use from one thread.
class load_report_table {
 public:
  /// Age at which a VM's last report expires.
  explicit load_report_table(milliseconds lifetime = milliseconds(1200)) : lifetime_(lifetime) {}

  void Record(load_report report, time_point now);
  void RemoveExpired(time_point now);
  /// Removes the report of a VM that follows another one now, which reports for it, too.
  void Remove(const vm_id& vm) { reports_.erase(vm); }

  /// The VMs that follow this one, with the number of the last report of each.
  std::map<vm_id, std::uint64_t> Followers() const;
  bool empty() const { return reports_.empty(); }

  /// Adds the requests of the followers to `own`, this VM's requests. `relays`: whether to add
  /// those of relays, which only the controller does: so no report is counted twice, even while two
  /// VMs follow each other.
  server_requests Sum(server_requests own, bool relays) const;
  /// Number of VMs whose requests `Sum` contains, including this one.
  std::size_t CountVms(bool relays) const;
  /// Number of VMs in each failure domain, without this VM.
  std::map<failure_domain_id, std::size_t> VmsByDomain() const;
  /// Number of VMs that do not reach the servers, without this VM; like `CountVms`.
  std::size_t CountCutOff(bool relays) const;
  /// VMs that take requests over, with the addresses for them: the followers and those that they
  /// have named.
  std::vector<relay_node> Carriers() const;
  /// VMs that could relay: the followers and their successors.
  std::vector<relay_node> RelayCandidates() const;
  /// The follower with the highest capacity.
  std::optional<relay_node> Successor() const;

 private:
  struct entry {
    load_report report;
    time_point received_at;
  };

  const milliseconds lifetime_;
  std::map<vm_id, entry> reports_;
};

}  // namespace waxwingwing
