#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/relay/domain_sizes.h"
#include "waxwingwing/relay/load_report_table.h"
#include "waxwingwing/relay/relay_tree.h"

namespace waxwingwing {

/// Simulation of the reports and feeds between the VMs of a large deployment, whose first VM is the
/// controller.
///
/// Each VM reports the time as its number of requests at a server of its own, so that feeds show
/// how old the reports in them are.
class relay_fleet {
 public:
  struct options {
    std::size_t domains = 5;
    std::size_t vms_per_domain = 59;
    /// VMs of each domain with a high capacity; the first of them.
    std::size_t strong = 3;
    milliseconds interval{200};
    milliseconds silence{700};
    /// The same from connecting to the controller to its first feed.
    milliseconds first_controller_feed{2000};
    milliseconds longest_delay{5};
    /// Time to connect to another parent.
    milliseconds connect_time{0};
    std::uint64_t seed = 1;
  };

  explicit relay_fleet(const options& chosen);

  void RunFor(duration time);
  void Kill(std::size_t vm) { vms_[vm].alive = false; }
  /// From now on the VM neither sends nor receives for a time; then it goes on with what it knew.
  void Freeze(std::size_t vm, duration time) { vms_[vm].frozen_until = now_ + time; }

  std::size_t vms() const { return vms_.size(); }
  bool IsRelay(std::size_t vm) const { return vms_[vm].parents.IsRelay(); }
  /// Ages of the reports of live VMs in the last feed of a VM, and the time since that feed.
  std::vector<duration> ReportAges(std::size_t vm) const;
  duration FeedAge(std::size_t vm) const { return now_ - vms_[vm].feed_at; }
  /// Number of VMs that the last feed of a VM states.
  std::size_t StatedVms(std::size_t vm) const { return vms_[vm].stated_vms; }
  /// Number of times that VMs have changed their parents.
  std::size_t parent_changes() const { return parent_changes_; }
  /// Messages that a VM has sent and received in its busiest second since the last call.
  std::size_t MostMessages(std::size_t vm) const { return vms_[vm].most_messages; }
  void ResetMessages();

 private:
  struct feed {
    server_requests requests;
    std::size_t vms = 0;
    std::vector<relay_node> relays;
  };
  struct vm {
    relay_node node;
    parent_selection parents;
    load_report_table reports{};
    domain_sizes sizes{};
    std::vector<relay_node> relays{};
    std::optional<std::size_t> parent{};
    time_point parent_since{};
    time_point feed_at{};
    server_requests last_requests{};
    std::size_t stated_vms = 0;
    bool alive = true;
    time_point frozen_until{};
    std::size_t messages = 0;
    std::size_t most_messages = 0;
  };
  struct event {
    time_point at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void At(time_point at, std::function<void()> action);
  void Tick(std::size_t index);
  void Lead(vm& controller);
  void Follow(std::size_t index);
  void Send(std::size_t from, std::size_t to, const std::function<void()>& receive);
  void OnFeed(std::size_t index, std::size_t from, const feed& received);
  void Broadcast(std::size_t index, const feed& sent);
  std::size_t IndexOf(const vm_id& id) const;
  static backend_server_id ServerOf(std::size_t index);

  const options options_;
  random_source random_;
  const time_point start_{std::chrono::hours(1)};
  time_point now_ = start_;
  std::priority_queue<event> events_;
  std::uint64_t events_added_ = 0;
  std::size_t parent_changes_ = 0;
  std::vector<vm> vms_;
};

}  // namespace waxwingwing
