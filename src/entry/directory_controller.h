#pragma once

#include <functional>
#include <optional>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "entry/wakeable_pause.h"
#include "platform/store_client.h"
#include "waxwingwing/directory/read_pace.h"

namespace waxwingwing {

/// Follows the registrations of backend servers.
class directory_controller {
 public:
  directory_controller(entry_context& entry, store_client& store,
                       std::function<bool()> orders_servers, std::function<void()> on_change);

  awaitable<void> Run();
  /// A server was not as it is registered, or none was found: reads sooner.
  void OnSurprise();

 private:
  awaitable<bool> ReadAll();
  awaitable<bool> ReadOn();
  void Apply(const store_record& record, time_point now);
  duration RemovalDelay(time_point now) const;
  void FinishRead(time_point sent_at);

  entry_context& entry_;
  store_client& store_;
  const std::function<bool()> orders_servers_;
  const std::function<void()> on_change_;
  read_pace pace_;
  wakeable_pause pause_;
  dependency_health health_;
  std::optional<std::uint64_t> offset_;
  std::uint64_t reported_change_ = 0;
};

}  // namespace waxwingwing
