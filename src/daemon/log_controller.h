#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "daemon/control_context.h"
#include "waxwingwing/control/control_record.h"
#include "waxwingwing/platform/log_client.h"

namespace waxwingwing {

/// Keeps `control_context::state` up to date with the control stream: from the newest snapshot and
/// the log, or from a peer while the log cannot be read. Also writes snapshots. Runs on the control
/// thread.
class log_controller {
 public:
  /// Sends a request for records from this node's next offset to a peer that may have more; returns
  /// false when there is no such peer.
  using fetch_from_peer = std::function<bool()>;

  log_controller(control_context& context, fetch_from_peer fetch);

  /// Starts reading; call once.
  void Start();

  /// Makes one attempt to append a record. The record takes effect when it is read back from the
  /// control stream.
  boost::asio::awaitable<append_answer> Append(append_id id, control_record record);

  /// Returns at most `limit` of the records from `from` on; empty when this node holds only later
  /// records.
  std::vector<stream_record> RecordsFrom(log_offset from, std::size_t limit) const;
  /// Whether this node holds the records from `from` on, or `from` is its next offset.
  bool Holds(log_offset from) const;

  /// Applies records that a peer sent; records that do not continue the control state are dropped.
  /// `fetched_at` is when the records were requested.
  void ApplyFromPeer(const std::vector<stream_record>& records, time_point fetched_at);
  /// Loads a peer's snapshot unless it is older than this node's state.
  void LoadPeerSnapshot(const std::string& text);

  /// Calls `listener` after each change of the state.
  void OnChange(std::function<void()> listener) { on_change_ = std::move(listener); }

  bool log_reachable() const { return log_reachable_; }

 private:
  boost::asio::awaitable<void> ReadLoop();
  boost::asio::awaitable<bool> ReadOnce();
  boost::asio::awaitable<bool> LoadNewestSnapshot();
  boost::asio::awaitable<void> SnapshotLoop();
  boost::asio::awaitable<void> WriteSnapshot();
  bool WritesSnapshots() const;
  bool ApplyAll(const std::vector<stream_record>& records);
  void SetReachable(bool reachable);

  control_context& context_;
  fetch_from_peer fetch_;
  log_client log_;
  std::function<void()> on_change_;
  /// The newest applied records, kept for peers that cannot read the log.
  std::deque<stream_record> recent_;
  bool log_reachable_ = false;
  log_offset snapshot_offset_;
  time_point snapshot_at_{};
};

}  // namespace waxwingwing
