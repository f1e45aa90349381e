#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

class ingress_account;

struct ingress_limits {
  /// Bytes that may be held for all callers together.
  byte_count total{std::uint64_t{64} << 20U};
  /// A connection that holds no more than this is small: it ends only after all larger ones.
  byte_count small{std::uint64_t{64} << 10U};
  /// Part of `total` that large connections may use; the rest is left for small ones.
  double large_fraction = 0.75;
};

/// Bounds the bytes that a process holds for its callers: requests that have not arrived whole,
/// requests under way and answers that were not taken.
///
/// When the bound is exceeded, connections end that wait for their callers, the one with the
/// largest product of bytes and waiting time first. Bodies that make no progress so end before
/// those that have just begun. When the connections that wait hold too little to get below the
/// bound, only the one that has grown ends. Must be used from a single thread.
class ingress_budget {
 public:
  explicit ingress_budget(const ingress_limits& limits) : limits_(limits) {}
  ingress_budget(const ingress_budget&) = delete;
  ingress_budget& operator=(const ingress_budget&) = delete;

  std::size_t held() const { return held_; }
  std::size_t limit() const { return limits_.total.get(); }
  /// Number of accounts that were ended since the start.
  std::size_t ended() const { return ended_; }

 private:
  friend class ingress_account;

  bool IsLarge(const ingress_account& account) const;
  bool EndsBefore(const ingress_account& left, const ingress_account& right, time_point now) const;
  /// The account that ends next; null when none may. `large_only` leaves the small ones out.
  ingress_account* SelectNext(bool large_only, time_point now) const;
  void MakeRoom(ingress_account& grown, time_point now);
  void End(ingress_account& account);
  /// Adds the bytes of a waiting account to the sums, or takes them from them.
  void AddWaiting(const ingress_account& account);
  void SubtractWaiting(const ingress_account& account);

  const ingress_limits limits_;
  std::size_t held_ = 0;
  std::size_t ended_ = 0;
  /// Bytes of all accounts in `waiting_`, and of the large ones among them.
  std::size_t waiting_bytes_ = 0;
  std::size_t large_waiting_bytes_ = 0;
  /// Accounts whose connections wait for their callers, which alone may be ended.
  std::set<ingress_account*> waiting_;
};

/// The bytes that are held for one connection.
class ingress_account {
 public:
  /// Called with the number of bytes that were held when the budget ends the connection, also from
  /// within `Hold`; must not destroy an account.
  using end_hook = std::function<void(std::size_t bytes)>;

  ingress_account(std::shared_ptr<ingress_budget> budget, end_hook end);
  ~ingress_account();
  ingress_account(const ingress_account&) = delete;
  ingress_account& operator=(const ingress_account&) = delete;

  /// The connection waits for its caller from now on: for the rest of a request, or until an answer
  /// is taken. Does nothing while it waits already.
  void BeginWait(time_point now);
  void EndWait();
  /// Sets the number of bytes that are held; growth may end connections, this one included.
  void Hold(std::size_t bytes, time_point now);

  std::size_t held() const { return held_; }
  /// Whether the budget has ended the connection; its bytes are counted no more.
  bool ended() const { return ended_; }

 private:
  friend class ingress_budget;

  void End();
  void Release();

  const std::shared_ptr<ingress_budget> budget_;
  const end_hook end_;
  std::size_t held_ = 0;
  std::optional<time_point> waits_since_;
  bool ended_ = false;
};

}  // namespace waxwingwing
