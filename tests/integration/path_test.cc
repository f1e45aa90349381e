// The whole path with real processes: three failure domains, streamed answers and service calls.
#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/invariants.h"
#include "tests/integration/serving_deployment.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

const std::string kNoFindings;

TEST_CASE("requests through every entry VM come back whole", "[path]") {
  deployment running(ThreeDomains());
  StartServing(running, NoteWithModelGroup(running, "n1"), 6);
  for (const std::string& entry : running.VmIds("entry")) {
    const std::string text = "order summary for " + entry;
    const stream_answer answer = Chat(running, entry, text, 20);
    INFO(entry << " status " << answer.raw.status << " " << answer.raw.body << answer.failure);
    REQUIRE(IsWhole(answer, text, 20));
    const auto call = CallDesk(running, entry, "key-" + entry, R"({"confirm":1})");
    REQUIRE(call);
    INFO(call->body);
    REQUIRE(call->status == 200);
  }
  CHECK(CheckPartialGroups(running.Records("engine")).ToText() == kNoFindings);
  CHECK(CheckDoubleMembership(running.Records("engine")).ToText() == kNoFindings);
  CHECK(CheckRepeatedRuns(running.Records("service")).ToText() == kNoFindings);
}

TEST_CASE("the death of a member makes its replica unroutable and requests go elsewhere",
          "[path]") {
  deployment running(ThreeDomains());
  StartServing(running, NoteWithModelGroup(running, "n1"), 6);
  const std::string entry = "ifo-entry-0";
  running.Kill("ifo-engine-1");
  REQUIRE(WaitFor([&] { return ServingReplicas(running, entry) == 5; }, milliseconds(2500)));
  const stream_answer answer = Chat(running, entry, "after the loss", 20);
  REQUIRE(IsWhole(answer, "after the loss", 20));
  CHECK(CheckPartialGroups(running.Records("engine")).ToText() == kNoFindings);
}

}  // namespace
}  // namespace waxwingwing::integration
