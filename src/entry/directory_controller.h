#pragma once

#include <functional>
#include <optional>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {

/// Follows the registrations of backend servers.
class directory_controller {
 public:
  directory_controller(entry_context& entry, store_client& store, std::function<void()> on_change);

  awaitable<void> Run();

 private:
  awaitable<bool> ReadAll();
  awaitable<bool> ReadOn();
  void Apply(const store_record& record, time_point now);
  duration RemovalDelay(time_point now) const;
  void FinishRead(time_point sent_at);
  milliseconds ReadWait() const;

  entry_context& entry_;
  store_client& store_;
  const std::function<void()> on_change_;
  dependency_health health_;
  std::optional<std::uint64_t> offset_;
  std::uint64_t reported_change_ = 0;
};

}  // namespace waxwingwing
