// Usage: CASE RECORD_FILE TEMPORARY_FOLDER. Exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. Without the disruption when the variable TROUBLE is 0.
#include <cstdlib>
#include <exception>
#include <string_view>

#include "scenario.h"

using waxwingwing::review::case_record;
using waxwingwing::review::RunCase;
using waxwingwing::review::scenario;
using waxwingwing::review::verdict;

namespace {

int ExitCode(verdict outcome) {
  if (outcome == verdict::kCouldNotRun) return 2;
  return outcome == verdict::kBroken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const char* trouble = std::getenv("TROUBLE");  // NOLINT(concurrency-mt-unsafe)
  case_record record(argv[1]);
  int code = 2;
  try {
    code = ExitCode(
        RunCase({record, argv[2], trouble == nullptr || std::string_view(trouble) != "0"}));
  } catch (const std::exception& failure) {
    record.Write(std::string("could not run: ") + failure.what());
  }
  record.Write("exit code " + std::to_string(code));
  // The servers of this process still run in their threads.
  std::_Exit(code);
}
