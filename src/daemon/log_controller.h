#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "daemon/control_context.h"
#include "waxwingwing/control/control_record.h"
#include "waxwingwing/platform/log_client.h"

namespace waxwingwing {

/// Keeps `control_context::state` at the end of the control stream: from the newest snapshot and
/// the log, or from a peer while the log cannot be read. Also writes snapshots.
class log_controller {
 public:
  /// Sends a request for records from the own next offset to a peer that may have more; false when
  /// there is none.
  using fetch_from_peer = std::function<bool()>;

  log_controller(control_context& context, fetch_from_peer fetch);

  /// Starts reading; call once.
  void Start();

  /// Appends a record once. The record takes effect when it is read back.
  boost::asio::awaitable<append_answer> Append(append_id id, control_record record);

  /// Records from `from` that this node still holds; empty when it holds only later ones.
  std::vector<stream_record> RecordsFrom(log_offset from, std::size_t limit) const;
  /// True when records from `from` are held or `from` is the next offset.
  bool Holds(log_offset from) const;

  /// Applies records that a peer sent; those that are not the next ones are dropped.
  /// `fetched_at` is when they were asked for.
  void ApplyFromPeer(const std::vector<stream_record>& records, time_point fetched_at);
  /// Loads a peer's snapshot unless it is older than the own state.
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
  /// The newest applied records, for peers that cannot read the log.
  std::deque<stream_record> recent_;
  bool log_reachable_ = false;
  log_offset snapshot_offset_;
  time_point snapshot_at_{};
};

}  // namespace waxwingwing
