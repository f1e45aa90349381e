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
#include "waxwingwing/dispatch/server_requests.h"
#include "waxwingwing/peer/peer_network.h"

namespace waxwingwing {

/// What the link hands to the rest of the VM.
struct controller_link_hooks {
  /// What the controller has read of the registrations.
  std::function<void(const directory_feed_message&)> on_feed;
  /// The streams of a group stand still at another VM.
  std::function<void(const stall_message&)> on_stall;
  /// This VM's requests at each backend server.
  std::function<server_requests()> own_requests;
  /// The requests of all other VMs at each backend server.
  std::function<void(const server_requests&)> on_other_requests;
};

/// Connects each VM with the controller.
///
/// The controller reads the registrations for all and passes on what changes, so that the others
/// need not ask the store. Stalls that one VM notices, and the VMs' requests at each backend
/// server, go the same way. Nothing depends on the link: a VM that hears nothing reads the store
/// itself.
class controller_link {
 public:
  controller_link(entry_context& entry, store_client& store, controller_election& election,
                  controller_link_hooks hooks);

  /// The election's member name of a VM: its id, the process and the link's address.
  static std::string MemberName(const entry_settings& settings, const std::string& process);

  /// Listens for other VMs; fails with the system's reason.
  result<std::string> Start();
  awaitable<void> Run();

  /// Whether the controller has sent something lately.
  bool IsFed() const;
  /// From the controller: passes on what a read of the registrations has brought.
  void Publish(std::uint64_t from, std::uint64_t next,
               const std::vector<registration_message>& changes, time_point asked_at);
  /// Tells the controller of a group that stands still; false when there is no link.
  bool ReportStall(const stall_message& stall);

 private:
  struct follower {
    server_requests requests;
    time_point heard_at{};
  };

  void OnMessage(const vm_id& vm, const peer_message& message);
  awaitable<void> FollowController();
  awaitable<void> FindController();
  void SendOwnRequests();
  /// Takes this VM's own requests off those of all VMs and hands in the rest.
  void HandInOtherRequests(server_requests all) const;
  /// The newest requests of all followers and this VM; forgets silent followers.
  server_requests AllRequests();

  entry_context& entry_;
  store_client& store_;
  controller_election& election_;
  const controller_link_hooks hooks_;
  dependency_health health_;
  peer_network network_;
  /// The controller, when another VM is it.
  std::optional<vm_id> controller_;
  std::optional<time_point> fed_at_;
  std::optional<time_point> looked_up_at_;
  std::map<vm_id, follower> followers_;
  /// Where the next message to the followers begins.
  std::optional<std::uint64_t> published_;
  std::optional<time_point> published_at_;
};

}  // namespace waxwingwing
