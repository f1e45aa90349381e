// Prompts with a part that crashes each server that begins to answer them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr const char* kDeadlyPart = "dead";

std::string Prompt(const std::string& part, int request) {
  return "5a5a:40," + part + ":200,own" + std::to_string(request) + ":100";
}

/// Starts the runners again that have crashed; returns their number.
std::size_t RestartCrashed(entry_deployment& deployment) {
  std::size_t crashed = 0;
  for (std::size_t i = 0; i < deployment.runners().size(); ++i) {
    if (deployment.runners()[i]->Running()) continue;
    ++crashed;
    deployment.RestartRunner(i);
    deployment.SetFault(*deployment.runners()[i], "deadly_part", kDeadlyPart);
  }
  return crashed;
}

// Guards against requests of one kind that crash servers one after the other, at every VM, and
// against refusing sound requests of the same caller.
TEST_CASE("entry: requests that crash servers are refused after some crashes and others are served",
          "[entry]") {
  entry_deployment deployment({.runners = 8});
  deployment.WaitUntilServing();
  deployment.AddEntry("second");
  for (const auto& runner : deployment.runners()) {
    deployment.SetFault(*runner, "deadly_part", kDeadlyPart);
  }
  const auto is_served = [&](std::size_t entry) {
    const auto answer = deployment.StreamOf(Prompt("sound", 0), entry);
    return answer && answer->status == 200;
  };
  REQUIRE(WaitFor([&] { return is_served(0) && is_served(1); }, milliseconds(10000)));
  std::size_t crashes = 0;
  bool refused = false;
  for (int request = 0; request < 12 && !refused; ++request) {
    const auto answer = deployment.StreamOf(Prompt(kDeadlyPart, request), request % 2);
    refused = answer && answer->body.find("prompt_crashes_servers") != std::string::npos;
    crashes += RestartCrashed(deployment);
    CHECK(WaitFor([&] { return is_served(0); }, milliseconds(6000)));
  }
  CHECK(refused);
  CHECK(crashes <= 5);
  for (const std::size_t entry : {0, 1}) {
    CHECK(WaitFor(
        [&] {
          const auto answer = deployment.StreamOf(Prompt(kDeadlyPart, 90), entry);
          return answer && answer->status == 503 && !answer->Header("Retry-After").empty();
        },
        milliseconds(2000)));
    CHECK(WaitFor([&] { return is_served(entry); }, milliseconds(6000)));
  }
  for (int request = 100; request < 120; ++request) {
    const auto answer = deployment.StreamOf(Prompt(kDeadlyPart, request), request % 2);
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(is_served(request % 2));
  }
  CHECK(RestartCrashed(deployment) == 0);
}

}  // namespace
}  // namespace waxwingwing::integration
