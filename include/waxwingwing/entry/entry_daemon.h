#pragma once

#include <string>
#include <vector>

namespace waxwingwing {

/// Runs an entry VM on the users' platform until SIGTERM. Returns the exit code: 0 after a graceful
/// stop, 1 when it could not listen, 2 when settings are invalid (all faults are reported on
/// standard error).
int RunEntry(const std::vector<std::string>& arguments);

/// The flags of `entry` with their default values, for `--help`.
std::string DescribeEntryFlags();

}  // namespace waxwingwing
