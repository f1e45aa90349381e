#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tests/integration/chat_traffic.h"
#include "tests/integration/control_watch.h"
#include "tests/integration/serving_deployment.h"
#include "waxwingwing/core/finding.h"

namespace waxwingwing::integration {

/// One failure domain `ifo` with replicas of two VMs, and two free engines for repairs.
deployment_settings OneDomain(std::size_t engines = 6, std::size_t entry_vms = 2);
void CheckFencingNumbers(deployment_settings& settings);

/// A serving deployment with traffic and a watch on every entry VM.
class control_scenario {
 public:
  explicit control_scenario(const deployment_settings& settings, std::size_t replicas = 2);

  deployment& running() { return running_; }
  control_watch& watch() { return watch_; }
  chat_traffic& traffic() { return *traffic_; }

  /// The holder of a domain's lease as an entry VM sees it; empty when there is none.
  std::string Holder(const std::string& seen_by, const std::string& domain = "ifo");
  /// An entry VM of the domain other than this one.
  std::string OtherEntry(const std::string& entry_vm, const std::string& domain = "ifo");
  /// Waits until another entry VM than `holder` holds the lease, as seen by itself.
  bool WaitForTakeover(const std::string& holder);
  /// Cuts all paths between an entry VM and its peers, or mends them.
  void CutPeers(const std::string& entry_vm, bool cut);
  /// Waits until an entry VM sees this many serving replicas.
  bool WaitForReplicas(const std::string& entry_vm, std::size_t replicas, milliseconds bound);
  /// Waits until this many replicas serve, none of them with the lost VM.
  bool WaitForRepair(const std::string& entry_vm, const std::string& lost, std::size_t replicas,
                     milliseconds bound);
  /// Whether the VM is a member of a serving replica, as an entry VM sees it.
  bool IsServing(const std::string& seen_by, const std::string& vm);
  /// A member of a serving replica, as an entry VM sees it.
  std::string ServingMember(const std::string& seen_by, std::size_t rank = 1);
  /// Publishes the share of `acme` at an entry VM; returns its answer.
  http_answer PublishShare(const std::string& entry_vm, std::uint64_t share,
                           const std::string& note_id);
  /// The same against a given revision; safe for use by several threads.
  http_answer PublishAt(const std::string& entry_vm, std::uint64_t share,
                        const std::string& note_id, std::uint64_t base_revision);
  /// Revision of the last accepted note.
  std::uint64_t revision() const { return revision_; }
  void set_revision(std::uint64_t revision) { revision_ = revision; }
  /// Restarts an entry VM that was killed and watches the new process.
  void RestartEntry(const std::string& entry_vm);
  /// Waits until all of these entry VMs have the share in force.
  bool WaitForShare(const std::vector<std::string>& entry_vms, std::uint64_t share,
                    milliseconds bound);
  /// Appends records that nobody understands to the control stream, and waits for all of these
  /// entry VMs to have passed them.
  void AppendFiller(std::size_t count, const std::vector<std::string>& entry_vms);
  /// Stops traffic and watch, and checks P1, P2 and P10 and that requests were served.
  /// `path_delay` is how long a request may have been on its way to an engine.
  void Finish(milliseconds path_delay = milliseconds(0));

 private:
  deployment running_;
  control_watch watch_;
  std::optional<chat_traffic> traffic_;
  std::uint64_t revision_ = 0;
  std::uint64_t filler_ = 0;
};

/// Orders that engines of the one domain obeyed after the record of a later term was on the log.
/// The terms of a lease never overlap, so that engines that ignore fencing numbers are safe.
finding_list CheckTermOverlap(deployment& running);
/// Orders that engines obeyed in a period.
std::size_t OrdersObeyed(const std::vector<vm_records>& engines, std::int64_t from_us,
                         std::int64_t to_us);

}  // namespace waxwingwing::integration
