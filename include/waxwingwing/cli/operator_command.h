#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace waxwingwing {

/// Exit codes of the operators' subcommands.
enum class operator_exit : int {
  kDone = 0,
  kRejected = 1,
  kUsage = 2,
  /// There was no verdict in time, or a failure domain did not confirm in time.
  kNotConfirmed = 3,
  /// No entry VM answered.
  kUnreachable = 4,
};

/// Runs one of the operators' subcommands and gives its exit code:
///
///     apply FILE [--wait_in_force]   publishes the release note in FILE
///     status                         prints what one entry VM knows
///     drain DOMAIN                   takes a failure domain out of service
///     restore DOMAIN                 puts it back into service
///
/// `arguments` begins with the subcommand. Entry VMs in `--entry_address` (separated by commas) are
/// tried in order; `--timeout_ms` limits the whole command. `drain` and `restore` wait until every
/// entry VM has confirmed. Blocks; results go to `out`, faults to `err`. Not safe for use by
/// several threads.
int RunOperatorCommand(const std::vector<std::string>& arguments, std::ostream& out,
                       std::ostream& err);

}  // namespace waxwingwing
