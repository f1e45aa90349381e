#pragma once

#include <string>

#include "record.h"

namespace waxwingwing::review {

enum class verdict { kHeld, kBroken, kCouldNotRun };

/// What a case gets from its script.
struct scenario {
  case_record& record;
  /// A temporary folder.
  std::string folder;
  /// Whether the disruption takes place.
  bool trouble = true;
};

/// Runs a case. Each case defines this function.
verdict RunCase(const scenario& given);

}  // namespace waxwingwing::review
