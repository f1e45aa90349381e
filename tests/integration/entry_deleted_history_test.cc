// Changes of the registrations whose records the store deletes before any VM has read them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/platform_processes.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr std::size_t kVms = 3;
/// Time in which VMs must avoid a server that leaves, and a margin.
constexpr milliseconds kLeavingTime{4000};

/// Three entry VMs that serve streams and lookups, before a store that deletes each record of the
/// registrations as soon as it is written.
class forgetful_deployment {
 public:
  forgetful_deployment() : deployment_({.runners = 3, .services = 2}) {
    deployment_.AddEntry("second");
    deployment_.AddEntry("third");
    deployment_.WaitUntilServing();
    REQUIRE(WaitFor([&] { return AllServeStreams(); }, milliseconds(8000)));
    deployment_.SetFault(deployment_.store(), "forget_registrations", true);
  }

  bool AllServeStreams() const {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      const auto stream = deployment_.Stream(vm);
      if (!stream || stream->status != 200) return false;
    }
    return true;
  }

  bool AllHaveRemoved(const std::string& server) const {
    const auto has_removed = [&](const std::string& vm) {
      const auto lines = deployment_.LogLines("server_removed", vm);
      return std::any_of(lines.begin(), lines.end(),
                         [&](const auto& line) { return line["server"] == server; });
    };
    return has_removed("entry") && has_removed("second") && has_removed("third");
  }

  entry_deployment& deployment() { return deployment_; }

 private:
  entry_deployment deployment_;
};

// Guards against requests to a server that leaves: only the controller knew that it does, since the
// record that said so was deleted.
TEST_CASE("entry: all VMs avoid a server that leaves while the store deletes records", "[entry]") {
  forgetful_deployment forgetful;
  entry_deployment& deployment = forgetful.deployment();
  deployment.SetFault(deployment.service(), "drain", true);
  std::this_thread::sleep_for(kLeavingTime);
  const std::size_t before = deployment.Records(deployment.service(), "runs").size();
  for (std::size_t i = 0; i < 10 * kVms; ++i) {
    const auto answer = deployment.CallAt(i % kVms, "GET", "/lookup/x");
    CHECK((answer && answer->status == 200));
  }
  CHECK(deployment.Records(deployment.service(), "runs").size() == before);
}

// Guards against servers that stay in the list of all VMs but the controller.
TEST_CASE("entry: all VMs remove a server that is gone while the store deletes records",
          "[entry]") {
  forgetful_deployment forgetful;
  forgetful.deployment().service().Kill();
  CHECK(WaitFor([&] { return forgetful.AllHaveRemoved("desk-1"); }, kLeavingTime));
}

// Guards against new servers and groups that only the controller knows.
TEST_CASE("entry: all VMs use a new group that forms while the store deletes records", "[entry]") {
  forgetful_deployment forgetful;
  entry_deployment& deployment = forgetful.deployment();
  for (const auto& runner : deployment.runners()) runner->Kill();
  std::this_thread::sleep_for(milliseconds(1500));
  for (std::size_t i = 0; i < deployment.runners().size(); ++i) deployment.RestartRunner(i);
  CHECK(WaitFor([&] { return forgetful.AllServeStreams(); }, milliseconds(12000)));
}

}  // namespace
}  // namespace waxwingwing::integration
