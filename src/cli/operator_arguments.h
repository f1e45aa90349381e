#pragma once

#include <string>
#include <vector>

#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Arguments of one of the operators' subcommands.
struct operator_arguments {
  std::string command;
  /// What follows the command and is not a flag.
  std::vector<std::string> operands;
  std::vector<std::string> entry_addresses;
  bool wait_in_force = false;
  milliseconds timeout{0};
};

/// Reads flags from the arguments (`--name=value` or `--name value`) and, when they are not given,
/// from the environment (`WAXWINGWING_NAME`). All faults are added to `findings`.
operator_arguments ReadOperatorArguments(const std::vector<std::string>& arguments,
                                         finding_list& findings);

}  // namespace waxwingwing
