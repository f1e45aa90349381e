#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "daemon/admin_answers.h"
#include "daemon/backend_catalog.h"
#include "daemon/budget_table.h"
#include "daemon/claim_controller.h"
#include "daemon/control_context.h"
#include "daemon/credit_controller.h"
#include "daemon/group_controller.h"
#include "daemon/lease_controller.h"
#include "daemon/log_controller.h"
#include "daemon/membership_controller.h"
#include "daemon/roster_controller.h"
#include "daemon/routing_publisher.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/gateway/control_access.h"
#include "waxwingwing/peer/peer_network.h"

namespace waxwingwing {

/// The control thread: owns all control state and the controllers, and publishes the routing
/// snapshots. Callbacks passed to `control_access` functions are called on the control thread.
class control_loop final : public control_access {
 public:
  control_loop(const daemon_settings& settings, const runtime_clock& clock,
               metrics_registry& metrics);
  ~control_loop() override;
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  /// Listens for peers and returns the bound address. Call before `Start`.
  result<std::string> Listen();
  /// Starts the controllers and the control thread. `caller_address` is where this node serves
  /// callers.
  void Start(const std::string& caller_address);
  /// Reports this node as not ready to its peers and the load balancer, and releases the lease.
  void BeginDrain();
  /// Waits at most for `limit` until the lease is released and the recorded outcomes have reached
  /// the log; then releases the roster slot and stops the control thread.
  void Finish(milliseconds limit);

  const snapshot_cell<routing_snapshot>& snapshots() const { return publisher_.cell(); }
  incarnation own_incarnation() const { return context_.own_incarnation; }

  void ClaimKey(idempotency_key key, milliseconds wait,
                std::function<void(claim_answer)> done) override;
  void RecordOutcome(append_id claim, recorded_outcome outcome) override;
  void ReleaseClaim(append_id claim) override;
  void ReportBackendFailure(vm_id vm, incarnation seen) override;
  void ReportIncarnation(vm_id vm, incarnation seen, milliseconds uptime) override;
  void ReportUnmetDemand(model_group_id group) override;
  void SubmitReleaseNote(std::string json, std::function<void(admin_answer)> done) override;
  void GetReleaseNote(note_id note, std::function<void(admin_answer)> done) override;
  void GetStatus(std::function<void(admin_answer)> done) override;

 private:
  boost::asio::awaitable<void> TickLoop();
  void Tick();
  void HandlePause(time_point now);
  bool IsSuspended(time_point now) const;
  bool IsPartitionedAndStopped(time_point now) const;
  void HandleMessage(const vm_id& sender, peer_message message);
  void HandleFetch(const vm_id& sender, const log_fetch_message& fetch);
  void SendSnapshot(const vm_id& receiver, log_records_message reply);
  void HandleSnapshotPart(const log_records_message& records);
  void HandleRecords(const log_records_message& records);
  bool FetchFromPeer();
  /// Counts the result of a release note that was published through this node.
  void CountReleaseNote(const char* result);
  boost::asio::awaitable<void> Publish(std::string json, std::function<void(admin_answer)> done);
  boost::asio::awaitable<void> FinishOnControlThread(milliseconds limit);
  void ConnectPeers();

  control_context context_;
  peer_network network_;
  log_controller log_;
  lease_controller lease_;
  membership_controller membership_;
  group_controller groups_;
  claim_controller claims_;
  backend_catalog catalog_;
  budget_table budgets_;
  credit_controller credits_;
  routing_publisher publisher_;
  admin_answers admin_;
  std::unique_ptr<roster_controller> roster_;
  std::string peer_address_;

  time_point last_tick_{};
  /// When the process last resumed after a pause; new requests wait for newer control records.
  time_point resumed_at_{};
  std::uint64_t last_fetch_ = 0;
  time_point fetch_sent_at_{};
  /// The parts of a peer's snapshot that have arrived so far, joined.
  std::string snapshot_text_;
  std::thread thread_;
};

}  // namespace waxwingwing
