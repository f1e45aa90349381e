#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "entry/controller_election.h"
#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "entry/feed_sequence.h"
#include "entry/operators_transfer.h"
#include "entry/operators_view.h"
#include "entry/registration_read.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/dispatch/server_notices.h"
#include "waxwingwing/dispatch/server_requests.h"
#include "waxwingwing/duty/usage_table.h"
#include "waxwingwing/peer/peer_network.h"
#include "waxwingwing/quarantine/prompt_quarantine.h"
#include "waxwingwing/relay/domain_sizes.h"
#include "waxwingwing/relay/load_report_table.h"
#include "waxwingwing/relay/relay_tree.h"

namespace waxwingwing {

/// Callbacks that connect the controller link with the rest of the entry process.
struct controller_link_hooks {
  /// Called with the registration changes that the controller has read from the store.
  std::function<void(const directory_feed_message&)> on_feed;
  /// Called when another VM reports that the streams of a group have stalled.
  std::function<void(const stall_message&)> on_stall;
  /// Returns this VM's running requests on each backend server.
  std::function<server_requests()> own_requests;
  /// Called with the running requests of all other VMs on each backend server, and the number of
  /// all VMs.
  std::function<void(const server_requests&, std::size_t vms)> on_other_requests;
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
  /// Returns what this VM knows of the operators' records.
  std::function<operators_view()> operators;
  /// Called with what the controller knows of the operators' records.
  std::function<void(const operators_view&)> on_operators;
  /// Returns the operators' records that a VM lacks which knows them up to a place, or knows none;
  /// nothing when this VM does not know more.
  std::function<std::optional<operators_update>(const std::optional<store_position>&)>
      operators_since;
  /// Called with operators' records that the VM which this one follows has passed on.
  std::function<void(const operators_update&)> on_operators_update;
  /// Returns the address on which this VM takes requests over from VMs that do not reach the
  /// backend servers; empty while it takes none.
  std::function<std::string()> carrier_address;
  /// Whether this VM has lost its paths to the backend servers.
  std::function<bool()> has_lost_paths;
  /// Called with the other VMs that take requests over while any VM does not reach the servers.
  std::function<void(const std::vector<relay_node>&)> on_carriers;
  /// Return the counts of usage that changed since the last call, or all of them for a new parent.
  /// Not set when usage is not reported.
  std::function<std::vector<usage_entry>(bool for_new_parent)> usage_changes;
  /// Called with counts of usage of VMs that follow this one. Not set when usage is not reported.
  std::function<void(const std::vector<usage_entry>&)> on_usage;
};

/// Connects each entry VM with the controller, in large deployments through relays.
///
/// The controller reads the registrations for all VMs and sends changes to the others, so that they
/// need not poll the store. Stalls that a VM detects, and the VMs' running requests on each backend
/// server, are also exchanged over this link. A VM follows one other VM, its parent: it reports to
/// it and receives its feeds. A relay adds the reports of its followers to its own and passes feeds
/// on. The link is an optimisation only: a VM that receives no messages reads the store itself. Use
/// from one thread.
class controller_link {
 public:
  controller_link(entry_context& entry, controller_election& election, controller_link_hooks hooks);

  /// Returns the name under which a process takes part in the election: VM id, process id and link
  /// address, separated by slashes.
  static std::string MemberName(const entry_settings& settings, const std::string& process);

  /// Starts to listen for other VMs; fails with the operating system's error message.
  result<std::string> Start();
  /// Follows the controller and reports to it, also during a shutdown, in which followers move to
  /// other VMs.
  awaitable<void> Run();
  /// Tells the followers that this VM has released the controller's lease.
  void AnnounceRelease();

  /// Whether a message with recent registrations has arrived recently.
  bool IsFeedCurrent() const;
  /// On the controller, sends the changes of a read of the registrations to the other VMs.
  void Publish(const registration_read& read);
  /// Passes on the operators' records of which this VM has learned since the last call.
  void PassOnOperators();
  /// Asks the VM that this one follows for the operators' records; returns false when there is no
  /// connection.
  bool RequestOperators(const std::optional<store_position>& known);
  /// Reports a stalled group to the controller; returns false when there is no link.
  bool ReportStall(const stall_message& stall);

 private:
  /// The VM that this one follows.
  struct parent_link {
    relay_node node;
    time_point connected_at{};
    /// Numbers of the reports that were sent lately, with when they were.
    std::deque<std::pair<std::uint64_t, time_point>> sent;
    /// When the last report was sent that the parent had received before its last feed.
    std::optional<time_point> received_report_sent_at;
    /// Whether the next report is the first one since the connection was there.
    bool is_new = true;
  };

  void OnMessage(const vm_id& vm, const peer_message& message);
  void OnLoad(const vm_id& vm, const vm_load_message& load);
  void OnFeed(const vm_id& vm, const directory_feed_message& feed);
  void OnOperatorsRequest(const vm_id& vm, const operators_request_message& request);
  void OnOperatorsRecords(const vm_id& vm, const operators_records_message& records);
  /// Packs what VMs lack that know the operators' records up to `known`; empty when that is
  /// nothing.
  const std::vector<operators_records_message>& PackOperators(
      const std::optional<store_position>& known);
  /// Updates when the parent is known to have sent its last feed at the earliest.
  void RecordReceipts(const std::vector<load_receipt_message>& receipts);
  operators_view OperatorsOf(const directory_feed_message& feed, time_point now) const;
  void RemoveFormerFollowers(time_point now);
  void Lead(time_point now);
  void Follow(time_point now);
  void Connect(const relay_node& parent, time_point now);
  /// Number of VMs that do not reach the servers, among this one and its followers.
  std::uint64_t CountCutOff(bool relays) const;
  /// This VM and its followers as far as they take requests over: at most `limit`, any of them.
  std::vector<relay_node> SelectCarriers(std::size_t limit);
  void NotifyCarriers(const std::vector<relay_node>& carriers) const;
  bool IsParentSilent(time_point now) const;
  void ReportLoad(time_point now);
  void SendEvidence();
  /// Sends a feed to the followers, with a receipt for each of them.
  void Broadcast(directory_feed_message feed);
  void BroadcastFeed(const registration_read& read);
  /// Sends a feed without changes.
  void BroadcastLoads();
  /// Appoints the relays, and logs changes.
  void UpdateRelays();
  /// Subtracts this VM's own requests from those of all VMs and passes the difference to
  /// `on_other_requests`.
  void NotifyOtherRequests(server_requests all, std::size_t vms) const;
  std::optional<relay_node> Controller() const;

  entry_context& entry_;
  controller_election& election_;
  const controller_link_hooks hooks_;
  relay_node self_;
  dependency_health health_;
  peer_network network_;
  parent_selection parents_;
  std::optional<parent_link> parent_;
  std::optional<time_point> feed_received_at_;
  /// When the registrations of the last feed were read from the store.
  std::optional<time_point> feed_read_at_;
  load_report_table reports_;
  domain_sizes domain_sizes_;
  std::uint64_t sequence_;
  random_source random_ = random_source::FromDevice();
  /// Whether the last feed stated that there are VMs that do not reach the servers.
  bool are_carriers_wanted_ = false;
  /// The relays that this VM has appointed as the controller.
  std::vector<relay_node> relays_;
  /// What this VM's feeds as the controller have said of the registrations.
  feed_sequence feeds_;
  /// Place up to which the operators' records were passed on.
  std::optional<store_position> passed_on_;
  /// The operators' records as they were last packed for VMs that knew them up to a place.
  struct packed_operators {
    std::optional<store_position> known;
    store_position next;
    std::vector<operators_records_message> messages;
  };
  std::optional<packed_operators> packed_operators_;
  operators_assembly incoming_operators_;
  std::optional<time_point> published_at_;
  /// When this VM sent its last successful read of the registrations.
  time_point read_sent_at_{};
};

}  // namespace waxwingwing
