#pragma once

#include <functional>
#include <set>
#include <string>

#include "entry/dependency_health.h"
#include "entry/entry_state.h"
#include "platform/store_client.h"

namespace waxwingwing {

/// Follows the operators' records: the configuration, and the failure domains taken out of use.
class configuration_controller {
 public:
  configuration_controller(entry_context& entry, store_client& store,
                           std::function<void()> on_change);

  awaitable<void> Run();

 private:
  awaitable<bool> ReadAll();
  awaitable<bool> ReadOn();
  void Apply(const store_page& page, bool whole);
  void ApplyConfiguration(const std::string& text);

  entry_context& entry_;
  store_client& store_;
  const std::function<void()> on_change_;
  const milliseconds read_wait_;
  dependency_health health_;
  std::optional<std::uint64_t> offset_;
  std::set<failure_domain_id> evacuated_;
};

}  // namespace waxwingwing
