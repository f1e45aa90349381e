#pragma once

#include <string>
#include <vector>

#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// The parsed command line of one of the operators' subcommands.
struct operator_arguments {
  std::string command;
  /// The arguments after the command that are not flags.
  std::vector<std::string> operands;
  std::vector<std::string> entry_addresses;
  bool wait_in_force = false;
  milliseconds timeout{0};
};

/// Reads flags from the arguments (`--name=value` or `--name value`) and, when they are not given,
/// from the environment (`WAXWINGWING_NAME`). Every invalid argument is added to `findings`.
operator_arguments ReadOperatorArguments(const std::vector<std::string>& arguments,
                                         finding_list& findings);

}  // namespace waxwingwing
