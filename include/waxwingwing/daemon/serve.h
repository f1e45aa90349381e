#pragma once

#include <string>
#include <vector>

namespace waxwingwing {

/// Runs the entry VM's daemon until SIGTERM or SIGINT. Returns the exit code: 0 after a graceful
/// shutdown, 1 when it could not listen, 2 when settings are invalid (all invalid settings are
/// reported on standard error).
int Serve(const std::vector<std::string>& arguments);

}  // namespace waxwingwing
