#include <glog/logging.h>

#include <iostream>
#include <string>
#include <vector>

#include "waxwingwing/cli/operator_command.h"
#include "waxwingwing/daemon/serve.h"
#include "waxwingwing/daemon/settings.h"
#include "waxwingwing/entry/entry_daemon.h"

namespace {

constexpr const char* kUsage =
    "usage: waxwingwing <command> [flags]\n"
    "\n"
    "  entry    run an entry VM on the users' platform\n"
    "  serve    run an entry VM's daemon\n"
    "  apply    publish a release note and wait for its verdict\n"
    "  status   show failure domains, model groups, organisations and refusals\n"
    "  drain    take a failure domain out of service\n"
    "  restore  bring a failure domain back\n"
    "\n"
    "waxwingwing <command> --help shows the flags of a command.\n";

bool WantsHelp(const std::vector<std::string>& arguments) {
  return !arguments.empty() && arguments.front() == "--help";
}

int RunServe(const std::vector<std::string>& arguments) {
  if (!WantsHelp(arguments)) return waxwingwing::Serve(arguments);
  std::cout << "usage: waxwingwing serve [flags]\n" << waxwingwing::DescribeDaemonFlags();
  return 0;
}

int RunEntryCommand(const std::vector<std::string>& arguments) {
  if (!WantsHelp(arguments)) return waxwingwing::RunEntry(arguments);
  std::cout << "usage: waxwingwing entry [flags]\n" << waxwingwing::DescribeEntryFlags();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty() || WantsHelp(arguments)) {
    (arguments.empty() ? std::cerr : std::cout) << kUsage;
    return arguments.empty() ? 2 : 0;
  }
  if (arguments.front() == "entry") {
    return RunEntryCommand({arguments.begin() + 1, arguments.end()});
  }
  if (arguments.front() == "serve") {
    return RunServe({arguments.begin() + 1, arguments.end()});
  }
  return waxwingwing::RunOperatorCommand(arguments, std::cout, std::cerr);
}
