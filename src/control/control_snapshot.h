#pragma once

#include <string>
#include <string_view>

#include "waxwingwing/control/control_state.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Writes and reads a `control_state` as JSON text.
class control_snapshot {
 public:
  static std::string Write(const control_state& state);
  static result<control_state> Read(std::string_view text);
};

}  // namespace waxwingwing
