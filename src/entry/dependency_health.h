#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "entry/entry_state.h"

namespace waxwingwing {

/// Logs when something that this VM depends on is lost and when it is back.
class dependency_health {
 public:
  dependency_health(entry_context& entry, std::string_view name) : entry_(entry), name_(name) {}

  void Succeeded();
  void Failed(std::string_view reason);
  bool is_lost() const { return lost_since_.has_value(); }
  /// When the dependency came back the last time.
  std::optional<time_point> regained_at() const { return regained_at_; }

 private:
  entry_context& entry_;
  const std::string_view name_;
  std::optional<time_point> lost_since_;
  std::optional<time_point> regained_at_;
};

}  // namespace waxwingwing
