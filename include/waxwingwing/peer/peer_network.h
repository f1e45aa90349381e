#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/ingress_budget.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/peer/messages.h"

namespace boost::asio {
class io_context;
}

namespace waxwingwing {

/// Id and address of another entry VM, as given in the VM list.
struct peer_address {
  vm_id vm;
  /// `ip:port`.
  std::string address;

  bool operator==(const peer_address&) const = default;
};

/// Identity of this VM and time limits of its peer connections.
struct peer_settings {
  std::string cluster;
  vm_id own_vm;
  failure_domain_id own_failure_domain;
  waxwingwing::incarnation own_incarnation;
  /// A connection is replaced when no frame was received for this long after a frame was sent.
  milliseconds silence_limit{2000};
  milliseconds connect_timeout{1000};
  /// Delay before reconnecting; it doubles after each failure, with jitter of 50%.
  milliseconds initial_backoff{100};
  milliseconds max_backoff{2000};
  /// Accepted connections at a time; a further one closes the one that has received nothing for the
  /// longest time.
  std::size_t max_accepted = 1024;
  /// Bytes of frames that have not arrived whole, over all connections.
  ingress_limits unfinished_frames{byte_count(std::uint64_t{16} << 20U)};
};

/// Exchanges messages with the other entry VMs of the cluster.
///
/// Keeps one outgoing connection to each address of `SetPeers` and accepts connections. A message
/// goes out on the established outgoing connection, else on an accepted one, so that a peer that is
/// not yet on this VM's own list also gets replies. Delivery is not guaranteed; requests carry an
/// id that replies repeat. Use from the thread of the `io_context`, which must outlive the network;
/// the metrics must outlive the runs of the context.
class peer_network {
 public:
  /// Called for each received message except hello; may call any member function.
  using message_handler = std::function<void(const vm_id&, peer_message)>;

  peer_network(boost::asio::io_context& context, const peer_settings& settings,
               random_source random, metrics_registry& metrics, message_handler on_message);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  /// Accepts connections on `ip:port` (port 0: chosen by the system); gives the address in use.
  result<std::string> Listen(const std::string& address);
  /// Replaces the list of peers to connect to; the own VM is left out.
  void SetPeers(const std::vector<peer_address>& peers);
  /// Queues a message; false when no connection to the VM is established or the message is too
  /// large.
  bool Send(const vm_id& vm, const peer_message& message);
  /// Queues a message to several VMs; it is encoded once. VMs without a connection are left out.
  void Broadcast(const std::vector<vm_id>& vms, const peer_message& message);
  /// Whether a message to the VM would be queued.
  bool IsConnected(const vm_id& vm) const;
  /// Closes all connections and stops listening; no callback follows.
  void Close();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace waxwingwing
