#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "entry/wakeable_pause.h"
#include "platform/store_client.h"
#include "waxwingwing/directory/read_pace.h"
#include "waxwingwing/peer/messages.h"

namespace waxwingwing {

/// Follows the registrations of backend servers.
class directory_controller {
 public:
  /// What the controller asks and tells the rest of the VM.
  struct hooks {
    /// Whether this VM orders backend servers.
    std::function<bool()> orders_servers;
    /// Whether another VM passes on what it reads.
    std::function<bool()> is_fed;
    /// What a read has brought, from and to which offset, and when it was asked for.
    std::function<void(std::uint64_t from, std::uint64_t next,
                       const std::vector<registration_message>& changes, time_point asked_at)>
        on_read;
    std::function<void()> on_change;
  };

  directory_controller(entry_context& entry, store_client& store, hooks hooks);

  awaitable<void> Run();
  /// What another VM has read.
  void OnFeed(const directory_feed_message& feed);
  /// A server was not as it is registered, or none was found: reads sooner.
  void OnSurprise();

 private:
  awaitable<bool> ReadAll();
  awaitable<bool> ReadOn();
  void Apply(const store_record& record, time_point now);
  duration RemovalDelay(time_point now) const;
  /// Applies a record of the store; true when it changed something.
  bool ApplyOrRemove(const store_record& record, time_point now, duration removal_delay);
  void FinishRead(time_point sent_at);

  entry_context& entry_;
  store_client& store_;
  const hooks hooks_;
  read_pace pace_;
  wakeable_pause pause_;
  dependency_health health_;
  std::optional<std::uint64_t> offset_;
  /// Records are missing between what this VM knows and what another one passes on.
  bool has_gap_ = false;
  std::uint64_t reported_change_ = 0;
};

}  // namespace waxwingwing
