#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "entry/entry_state.h"

namespace waxwingwing {

/// Tracks whether an external dependency of this VM is available; logs its loss and its recovery
/// and counts failures.
class dependency_health {
 public:
  dependency_health(entry_context& entry, std::string_view name) : entry_(entry), name_(name) {}

  void Succeeded();
  void Failed(std::string_view reason);
  bool is_lost() const { return lost_since_.has_value(); }
  /// When the dependency last recovered; none when it was never lost.
  std::optional<time_point> regained_at() const { return regained_at_; }

 private:
  entry_context& entry_;
  const std::string_view name_;
  std::optional<time_point> lost_since_;
  std::optional<time_point> regained_at_;
};

}  // namespace waxwingwing
