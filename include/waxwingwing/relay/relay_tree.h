#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// A VM that passes messages on between the controller and other VMs, or could do so.
struct relay_node {
  vm_id vm;
  /// `ip:port` on which it accepts the connections of other VMs.
  std::string address;
  failure_domain_id failure_domain;
  /// How well it is suited, by its processor time and its link; more is better. Zero when it must
  /// not relay.
  double capacity = 0;

  bool operator==(const relay_node&) const = default;
};

/// Limits of the tree of relays.
struct relay_tree_options {
  /// Up to this number of VMs, all are connected to the controller itself.
  std::size_t max_direct = 40;
  /// Number of VMs of a relay.
  std::size_t fan_out = 32;
  /// Relays of a failure domain that needs any: one may fail.
  std::size_t min_relays = 2;
  /// Relays stay appointed up to this many times the number that is needed, since the number of VMs
  /// is uncertain while VMs change their parents.
  double surplus = 1.5;
  /// How long a VM does not use a parent that was silent. The controller removes a relay that has
  /// failed from the list much sooner.
  milliseconds exclusion{10000};
};

/// Selects the relays of each failure domain: those of `current` that are still candidates, then
/// the candidates with the highest capacity. Selects none when there are few VMs.
/// `vms`: number of VMs in each failure domain.
std::vector<relay_node> AppointRelays(const std::vector<relay_node>& candidates,
                                      const std::map<failure_domain_id, std::size_t>& vms,
                                      const std::vector<relay_node>& current,
                                      const relay_tree_options& options = {});

/// Selects the VM that this VM follows and reports to: a relay of its own failure domain, or the
/// controller. Relays follow the controller, so that the tree has no cycles.
class parent_selection {
 public:
  parent_selection(vm_id self, failure_domain_id own_domain, const relay_tree_options& options = {})
      : self_(std::move(self)), own_domain_(std::move(own_domain)), options_(options) {}

  /// Sets the controller; none when it is not known, or is this VM.
  void SetController(std::optional<relay_node> controller);
  /// Sets the relays that the controller has appointed.
  void SetRelays(const std::vector<relay_node>& relays);
  /// Records that a parent was silent, so that another one is selected.
  void Exclude(const vm_id& parent, time_point now);

  /// The VM to follow now; none when there is no controller.
  std::optional<relay_node> Select(time_point now) const;
  /// Whether the controller has appointed this VM.
  bool IsRelay() const { return is_relay_; }

 private:
  const vm_id self_;
  const failure_domain_id own_domain_;
  const relay_tree_options options_;
  std::optional<relay_node> controller_;
  /// Relays of the own failure domain in order of preference, which differs between VMs.
  std::vector<relay_node> relays_;
  bool is_relay_ = false;
  std::map<vm_id, time_point> excluded_until_;
};

}  // namespace waxwingwing
