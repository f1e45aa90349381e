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
  /// There was no verdict before the time-out, or a failure domain did not confirm before it.
  kNotConfirmed = 3,
  /// No entry VM gave a usable response.
  kUnreachable = 4,
};

/// Runs one of the operators' subcommands and returns its exit code:
///
///     apply FILE [--wait_in_force]   publishes the release note in FILE
///     status                         prints the status that one entry VM reports
///     drain DOMAIN                   takes a failure domain out of service
///     restore DOMAIN                 puts a failure domain back into service
///
/// `arguments` begins with the subcommand. Entry VMs in `--entry_address` (separated by commas) are
/// tried in order; `--timeout_ms` limits the whole command. `drain` and `restore` wait until every
/// entry VM has confirmed. Blocks the calling thread; results go to `out`, errors to `err`. Not
/// thread-safe, since flags are global.
int RunOperatorCommand(const std::vector<std::string>& arguments, std::ostream& out,
                       std::ostream& err);

}  // namespace waxwingwing
