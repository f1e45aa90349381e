#pragma once

#include <string>
#include <vector>

namespace waxwingwing {

/// Runs the process of an entry VM until SIGTERM, with the settings file and the store of the
/// platform on which it is deployed. Returns the exit code: 0 after a graceful shutdown, 1 when an
/// address could not be bound, 2 when flags or settings are invalid (all errors are reported on
/// standard error).
int RunEntry(const std::vector<std::string>& arguments);

/// Returns the help text for the flags of `entry` and their default values, for `--help`.
std::string DescribeEntryFlags();

}  // namespace waxwingwing
