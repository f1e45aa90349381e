#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "entry/registration_read.h"
#include "platform/store_client.h"
#include "waxwingwing/directory/registration_poll_interval.h"
#include "waxwingwing/peer/messages.h"
#include "waxwingwing/platform/wakeable_pause.h"

namespace waxwingwing {

/// Keeps the server directory up to date with the registrations of backend servers, read from the
/// store or received from the controller. Use from one thread.
class directory_controller {
 public:
  /// Callbacks that connect this class with the rest of the entry process.
  struct hooks {
    /// Whether this VM sends orders to backend servers.
    std::function<bool()> sends_orders;
    /// Whether the controller, another VM, forwards the changes it reads.
    std::function<bool()> is_feed_current;
    /// Called after each read.
    std::function<void(const registration_read& read)> on_read;
    /// Called after the directory has changed.
    std::function<void()> on_change;
  };

  directory_controller(entry_context& entry, store_client& store, hooks hooks);

  awaitable<void> Run();
  /// Applies the registration changes that another VM has read.
  void OnFeed(const directory_feed_message& feed);
  /// Shortens the poll interval, because a server did not match its registration or none was found.
  void OnDirectoryMismatch();

 private:
  /// Reads the newest registration of every server and removes servers that are not listed.
  awaitable<bool> ReadAll();
  /// Applies the newest registration of every server and returns what has changed.
  std::vector<keyed_record_message> ApplyList(const store_page& page, time_point now,
                                              duration removal_delay);
  /// Reads the records that follow `position_`.
  awaitable<bool> ReadUpdates();
  void Apply(const store_record& record, time_point now);
  /// Delay of removals: non-zero during and shortly after an outage or a restore of the store.
  duration RemovalDelay(time_point now) const;
  /// Applies a record; returns true for a removal or when the directory changed.
  bool ApplyOrRemove(const store_record& record, time_point now, duration removal_delay);
  /// `known_at`: time as of which all registrations are known, if the read shows that.
  void FinishRead(std::optional<time_point> known_at);
  /// Records the outcome of an attempt to read the list; whether an incomplete one is used.
  bool MayUse(const store_page& page);
  /// Whether this VM follows the records itself, since its list was incomplete: servers write their
  /// entries again, of which feeds say nothing.
  bool AwaitsEntries(time_point now) const { return awaits_entries_until_ > now; }
  /// Whether the list must be read before anything else.
  bool NeedsList() const;
  /// Whether a feed leads on from what this VM knows.
  bool JoinsOn(const directory_feed_message& feed) const;

  entry_context& entry_;
  store_client& store_;
  const hooks hooks_;
  registration_poll_interval poll_interval_;
  wakeable_pause pause_;
  dependency_health health_;
  /// Place up to which this VM knows the registrations.
  std::optional<store_position> position_;
  /// Offset up to which the records after the last list may change nothing here, since a later page
  /// of the list has shown them already; the other VMs have not seen that page.
  std::uint64_t list_read_until_ = 0;
  /// Number of attempts in succession after which the list was incomplete.
  int incomplete_lists_ = 0;
  time_point awaits_entries_until_{};
  /// Whether records after `position_` were deleted before this VM has read them.
  bool needs_list_ = false;
  std::optional<store_era> era_;
  /// When the first answer of the store since it was restored was read.
  std::optional<time_point> restored_at_;
  /// Whether records are missing between `position_` and the last message of the controller.
  bool has_gap_ = false;
  /// Whether the last read returned only a part of the records.
  bool is_behind_ = false;
  std::uint64_t reported_change_ = 0;
};

}  // namespace waxwingwing
