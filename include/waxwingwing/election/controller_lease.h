#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/store_position.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Time limits of a `controller_lease`.
struct controller_lease_options {
  /// Interval between two renewals by the holder.
  milliseconds renew_interval{400};
  /// Time for which the holder may act, from when it sent its last renewal that succeeded.
  milliseconds trust{900};
  /// Time without a renewal after which another VM may take the lease over; longer than `trust`.
  milliseconds lifetime{1200};
  /// Time from taking the lease over to the first action, in which the last order of the previous
  /// holder arrives.
  milliseconds takeover_wait{500};
  /// Pause after a call to the store that failed; doubles up to `longest_retry_pause`, or
  /// `longest_holder_pause` for the holder.
  milliseconds retry_pause{50};
  milliseconds longest_retry_pause{700};
  milliseconds longest_holder_pause{200};
  /// After a failed call, others let the holder renew the lease for this time before they claim it.
  milliseconds outage_grace{600};
};

/// The lease as the store keeps it: the newest of the records that holders have appended.
struct lease_record {
  /// Name of the holder; empty when there was none yet or when the last one released the lease.
  std::string holder;
  /// Offset after the newest record. It changes with each renewal, and a record is appended only
  /// if nothing was appended since.
  std::uint64_t end = 0;
  /// Era of the offset.
  store_era era{};

  store_position position() const { return {era, end}; }
  bool operator==(const lease_record&) const = default;
};

enum class lease_step { kWait, kRead, kAppend };

/// Decides when a VM reads, claims and renews the controller's lease, and whether it may act as the
/// controller.
///
/// The holder appends a record at short intervals, on the condition that the previous record is
/// still the newest. VMs that see no new record for a while append their own under the same
/// condition, so only one of them succeeds, and one that has not heard of a renewal fails. Nothing
/// happens when VMs join or leave the deployment.
///
/// A restore of the store ends every term, because its records no longer show who held the lease
/// last; claims then wait until the holder of that time may no longer act. Use from one thread.
class controller_lease {
 public:
  /// `claim_delay`: how long this VM lets others claim a lease first.
  controller_lease(std::string self, duration claim_delay, time_point now,
                   const controller_lease_options& options = {});

  /// What to do at `now`; at most one call to the store at a time.
  lease_step Next(time_point now) const;
  /// When `Next` has to be asked again.
  time_point NextAt(time_point now) const;

  /// Records what the store, or a VM that has read it, says of the lease.
  void Observe(const lease_record& record, time_point now);
  /// Records that a call failed or, for an append, that its outcome is not known.
  void RecordFailure(time_point now);
  /// Records that an append took effect, after which `end` follows the newest record. When `era` is
  /// not that of the known record, the condition of the append has not shown that it is the newest,
  /// and the lease is not taken.
  void RecordAppended(std::uint64_t end, store_era era, time_point sent_at, time_point now);
  /// Records that the store refused an append, because another one came first.
  void RecordConflict();

  /// Whether this VM may act as the controller.
  bool MayAct(time_point now) const;
  /// Whether this VM holds the lease, including the time before it may act.
  bool IsHolder() const { return term_ > 0; }
  /// Distinguishes the times for which VMs hold the lease; increases, also when the store is
  /// restored. Zero unless this VM holds it.
  /// A term goes on after a time without renewals in which no other VM has held the lease.
  std::uint64_t term() const { return term_; }
  const lease_record& record() const { return record_; }
  const std::string& self() const { return self_; }

 private:
  time_point ClaimAt() const;
  /// Whether a record may have been written when another VM, of which it says nothing, held the
  /// lease: the first one of an era, a late one of its own, and the first one that it sees, when
  /// that names no other VM.
  bool MayHideHolder(const lease_record& record) const;
  void RecordSuccess(time_point now);
  void EndTerm();

  const std::string self_;
  const duration claim_delay_;
  const controller_lease_options options_;
  lease_record record_;
  /// Whether the record must be read before anything else.
  bool unknown_ = true;
  bool has_record_ = false;
  /// When the record was first seen as it is, and when it was last seen so.
  time_point first_seen_;
  time_point last_seen_;
  /// No call to the store before this time.
  time_point not_before_;
  /// No claim before this time.
  time_point claims_from_{};
  /// Whether the last call failed.
  bool failing_ = false;
  /// Era that was known when a call last failed.
  store_era failed_in_{};
  milliseconds retry_pause_;
  std::uint64_t term_ = 0;
  time_point acts_from_{};
  std::optional<time_point> renewed_at_;
};

}  // namespace waxwingwing
