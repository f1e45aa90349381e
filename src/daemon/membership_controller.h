#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "daemon/control_context.h"
#include "waxwingwing/peer/messages.h"
#include "waxwingwing/platform/engine_client.h"
#include "waxwingwing/platform/vm_list_client.h"

namespace waxwingwing {

/// Keeps the VM list, the backend reports and the peer table up to date, and sends this node's
/// status and reports to its peers. Runs on the control thread.
class membership_controller {
 public:
  using send_function = std::function<void(const vm_id&, const peer_message&)>;

  membership_controller(control_context& context, send_function send);

  /// `caller_address` is where this node serves callers.
  void Start(std::string caller_address);

  void HandleStatus(const vm_id& sender, node_status_message status);
  /// Polls a backend server at once, for example after a connection to it failed.
  void PollNow(const vm_id& vm);
  /// Sends this node's status to peers at once, for example when the node begins to drain.
  void PushStatus();

  /// Calls `listener` after each change of the VM list.
  void OnListChange(std::function<void()> listener) { on_list_change_ = std::move(listener); }

 private:
  boost::asio::awaitable<void> ListLoop();
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> PushLoop();
  boost::asio::awaitable<void> Poll(vm_entry vm);
  /// The backend servers of this node's failure domain that it polls; the pointers are valid until
  /// the VM list changes.
  std::vector<const vm_entry*> PolledBackends(time_point now) const;
  node_status_message OwnStatus(time_point now);
  std::vector<backend_report_message> FreshReports(time_point now) const;

  control_context& context_;
  send_function send_;
  std::function<void()> on_list_change_;
  vm_list_client list_;
  engine_client engines_;
  std::string caller_address_;
  std::uint64_t sequence_ = 0;
  /// Backend servers with a poll in progress.
  std::set<vm_id> polling_;
};

}  // namespace waxwingwing
