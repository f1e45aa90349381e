#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/membership/vm_entry.h"

namespace waxwingwing {

/// A peer from which no status was received for longer than this counts as failed.
inline constexpr milliseconds kPeerLifetime{2000};
/// Number of peers in each other failure domain that receive this node's status directly.
inline constexpr std::size_t kStatusRecipientsPerDomain = 2;

/// Contents of a peer's status message.
struct peer_status {
  vm_id vm;
  failure_domain_id failure_domain;
  waxwingwing::incarnation incarnation;
  log_offset control_offset;
  bool draining = false;
};

/// The other entry VMs, with address, latest status and the time it was received.
///
/// Addresses come from the VM list, everything else from status messages. Owned by the control
/// thread.
class peer_table {
 public:
  struct peer {
    vm_id vm;
    failure_domain_id failure_domain;
    std::string address;
    /// Empty until the first status of the peer arrives.
    std::optional<time_point> last_status_at;
    waxwingwing::incarnation incarnation;
    log_offset control_offset;
    bool draining = false;
    /// Incarnation before the current one; its late messages are ignored.
    std::optional<waxwingwing::incarnation> previous_incarnation;
  };

  peer_table(vm_id own_vm, failure_domain_id own_domain);

  /// Updates the peers from the entry VMs of the VM list and removes peers that are no longer
  /// listed.
  void UpdateFromVmList(const std::vector<vm_entry>& vms);
  /// Records a status that is `age` old; false when it is of a superseded incarnation, of this
  /// node itself or of a VM that is not listed.
  bool Observe(const peer_status& status, milliseconds age, time_point now);
  /// This node's own drain state; a draining node polls only when no other can.
  void SetOwnDraining(bool draining) { own_draining_ = draining; }

  const peer* Find(const vm_id& vm) const;
  const std::map<vm_id, peer>& peers() const { return peers_; }
  bool IsLive(const vm_id& vm, time_point now) const;
  /// Live peers of every domain, by id; without this node.
  std::vector<vm_id> LivePeers(time_point now) const;
  /// Live entry VMs of this node's domain that may poll backend servers, including this node.
  /// Draining ones are left out unless all are draining.
  std::vector<vm_id> LiveBackendPollers(time_point now) const;

  /// Peers that receive this node's status directly: two in each other domain, selected by
  /// rendezvous hashing with this node as key from the live ones, or from the listed ones when none
  /// is live.
  std::vector<vm_id> SelectStatusRecipients(time_point now) const;
  /// Peers to which a status of `origin` that arrived from `sender` is passed on: the live ones of
  /// this domain when it came directly from another domain, otherwise none.
  std::vector<vm_id> SelectForwardTargets(const vm_id& origin, const vm_id& sender,
                                          time_point now) const;

 private:
  bool IsLive(const peer& candidate, time_point now) const;

  const vm_id own_vm_;
  const failure_domain_id own_domain_;
  bool own_draining_ = false;
  std::map<vm_id, peer> peers_;
};

}  // namespace waxwingwing
