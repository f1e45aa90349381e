#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/controller_election.h"
#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/dispatch/server_notices.h"
#include "waxwingwing/dispatch/server_requests.h"
#include "waxwingwing/peer/peer_network.h"
#include "waxwingwing/quarantine/prompt_quarantine.h"

namespace waxwingwing {

/// Callbacks that connect the controller link with the rest of the entry process.
struct controller_link_hooks {
  /// Called with the registration changes that the controller has read from the store.
  std::function<void(const directory_feed_message&)> on_feed;
  /// Called when another VM reports that the streams of a group have stalled.
  std::function<void(const stall_message&)> on_stall;
  /// Returns this VM's running requests on each backend server.
  std::function<server_requests()> own_requests;
  /// Called with the running requests of all other VMs on each backend server.
  std::function<void(const server_requests&)> on_other_requests;
  /// Returns the limits that servers have stated, as far as this VM knows of them.
  std::function<std::vector<rate_limit_statement>()> rate_limits;
  /// Called with the limits that other VMs know of.
  std::function<void(const std::vector<rate_limit_statement>&)> on_rate_limits;
  /// Returns this VM's observations of parts of prompts on which servers crashed.
  std::function<std::vector<part_evidence>()> own_evidence;
  /// Returns the known observations of all VMs.
  std::function<std::vector<part_evidence>()> all_evidence;
  /// Called with observations of other VMs.
  std::function<void(const std::vector<part_evidence>&)> on_evidence;
};

/// Connects each entry VM directly with the controller.
///
/// The controller reads the registrations for all VMs and forwards changes to the others, so that
/// they need not poll the store. Stalls that a VM detects, and the VMs' running requests on each
/// backend server, are also exchanged over this link. The link is an optimisation only: a VM that
/// receives no messages reads the store itself. Use from one thread.
class controller_link {
 public:
  controller_link(entry_context& entry, store_client& store, controller_election& election,
                  controller_link_hooks hooks);

  /// Returns the name under which a VM joins the election: VM id, process id and link address,
  /// separated by slashes.
  static std::string MemberName(const entry_settings& settings, const std::string& process);

  /// Starts to listen for other VMs; fails with the operating system's error message.
  result<std::string> Start();
  /// Follows the controller and reports to it until shutdown.
  awaitable<void> Run();

  /// Whether a message of the controller has arrived recently.
  bool IsFeedCurrent() const;
  /// On the controller, forwards the changes of a read of the registrations, from offset `from` up
  /// to `next`, to the other VMs. `sent_at` is when the read was sent.
  void Publish(std::uint64_t from, std::uint64_t next,
               const std::vector<registration_message>& changes, time_point sent_at);
  /// Reports a stalled group to the controller; returns false when there is no link.
  bool ReportStall(const stall_message& stall);

 private:
  struct follower {
    server_requests requests;
    time_point reported_at{};
  };

  void OnMessage(const vm_id& vm, const peer_message& message);
  awaitable<void> FollowController();
  awaitable<void> FindController();
  void SendOwnRequests();
  std::vector<rate_limit_message> OwnRateLimits() const;
  void SendEvidence(const vm_id& to, const std::vector<part_evidence>& evidence);
  void PublishEvidence();
  /// Subtracts this VM's own requests from those of all VMs and passes the difference to
  /// `on_other_requests`.
  void NotifyOtherRequests(server_requests all) const;
  /// Sums the latest requests of this VM and all followers; removes followers whose reports
  /// expired.
  server_requests AllRequests();

  entry_context& entry_;
  store_client& store_;
  controller_election& election_;
  const controller_link_hooks hooks_;
  dependency_health health_;
  peer_network network_;
  /// The controller, when it is another VM and is known.
  std::optional<vm_id> controller_;
  std::optional<time_point> feed_received_at_;
  std::optional<time_point> looked_up_at_;
  std::map<vm_id, follower> followers_;
  /// Offset at which the next message to the followers begins.
  std::optional<std::uint64_t> published_offset_;
  std::optional<time_point> published_at_;
};

}  // namespace waxwingwing
