#include "waxwingwing/quarantine/prompt_quarantine.h"

#include <catch2/catch.hpp>
#include <string>

#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

using std::chrono::seconds;

const prompt_part_id kDeadly("deadly");
/// A part of the caller that sound requests hold, too.
const prompt_part_id kShared("shared");

backend_server_id Server(std::size_t number) {
  return backend_server_id("s" + std::to_string(number));
}

/// A quarantine and a clock for it.
struct quarantine_fixture {
  void Crash(std::size_t server, const std::vector<std::vector<prompt_part_id>>& prompts) {
    now += milliseconds(300);
    quarantine.RecordCrash(Server(server), prompts, now);
  }
  void Answer(const prompt_part_id& part) { quarantine.RecordAnswer({part}, now); }
  bool IsQuarantined(const prompt_part_id& part) const {
    return quarantine.QuarantinedUntil({part}, now).has_value();
  }

  prompt_quarantine quarantine{{}};
  time_point now{std::chrono::hours(1)};
};

// Guards against requests with one part that crash servers one after the other.
TEST_CASE("a part on which three servers crashed is quarantined, and no other", "[quarantine]") {
  quarantine_fixture fixture;
  fixture.Answer(kShared);
  for (std::size_t server = 0; server < 3; ++server) {
    CHECK_FALSE(fixture.IsQuarantined(kDeadly));
    const prompt_part_id session("session-" + std::to_string(server));
    fixture.Crash(server, {{kShared, kDeadly}, {kShared, session}});
  }
  CHECK(fixture.IsQuarantined(kDeadly));
  CHECK_FALSE(fixture.IsQuarantined(kShared));
  CHECK_FALSE(fixture.IsQuarantined(prompt_part_id("session-2")));
  CHECK(fixture.quarantine.QuarantinedUntil({kShared, kDeadly}, fixture.now));
}

// Guards against refusing a caller's sound requests because of a part that merely was present.
TEST_CASE("an answer clears a part, and a quarantined part explains later crashes",
          "[quarantine]") {
  quarantine_fixture fixture;
  for (std::size_t server = 0; server < 3; ++server) {
    fixture.Crash(server, {{kShared, kDeadly}});
    fixture.Answer(kShared);
  }
  REQUIRE(fixture.IsQuarantined(kDeadly));
  for (std::size_t server = 3; server < 20; ++server) {
    fixture.Crash(server, {{kShared, kDeadly}, {kShared}});
  }
  CHECK_FALSE(fixture.IsQuarantined(kShared));
  fixture.Answer(kDeadly);
  CHECK_FALSE(fixture.IsQuarantined(kDeadly));
}

// Guards against counting a server only once that starts again and crashes again.
TEST_CASE("crashes of the same server count each time it starts again", "[quarantine]") {
  quarantine_fixture fixture;
  for (int crash = 0; crash < 3; ++crash) {
    fixture.now += seconds(3);
    fixture.Crash(0, {{kDeadly}});
  }
  CHECK(fixture.IsQuarantined(kDeadly));
}

// Guards against refusing a sound part because a VM without memory of its answers blames it.
TEST_CASE("a judgement of a VM that knows no answer does not hold where one is known",
          "[quarantine]") {
  quarantine_fixture restarted;
  quarantine_fixture other;
  other.Answer(kShared);
  restarted.Crash(0, {{kShared}});
  restarted.Crash(1, {{kShared}});
  other.now = restarted.now;
  other.Answer(kShared);
  restarted.Crash(2, {{kShared}});
  REQUIRE(restarted.IsQuarantined(kShared));
  other.now = restarted.now;
  CHECK(other.quarantine.Merge(restarted.quarantine.OwnEvidence(), other.now).empty());
  CHECK_FALSE(other.IsQuarantined(kShared));
  restarted.quarantine.Merge(other.quarantine.OwnEvidence(), restarted.now);
  CHECK_FALSE(restarted.IsQuarantined(kShared));
}

// Guards against forgetting an answer before other VMs, which suspect the part, have heard of it.
TEST_CASE("an answer that cleared a part is still reported to other VMs", "[quarantine]") {
  quarantine_fixture suspecting;
  quarantine_fixture answering;
  suspecting.Crash(0, {{kShared}});
  answering.now = suspecting.now;
  answering.quarantine.Merge(suspecting.quarantine.OwnEvidence(), answering.now);
  answering.now += milliseconds(50);
  answering.Answer(kShared);
  answering.now += milliseconds(50);
  answering.quarantine.Merge(suspecting.quarantine.OwnEvidence(), answering.now);
  const auto reported = answering.quarantine.OwnEvidence();
  REQUIRE(reported.size() == 1);
  CHECK(reported.front().answered_at.has_value());
}

TEST_CASE("servers that crash at the same time for another cause implicate no part",
          "[quarantine]") {
  quarantine_fixture fixture;
  for (std::size_t server = 0; server < 20; ++server) {
    fixture.quarantine.RecordCrash(Server(server), {{kShared}}, fixture.now);
  }
  CHECK_FALSE(fixture.IsQuarantined(kShared));
}

TEST_CASE("a quarantine ends, and one more crash renews it", "[quarantine]") {
  quarantine_fixture fixture;
  for (std::size_t server = 0; server < 3; ++server) fixture.Crash(server, {{kDeadly}});
  fixture.now += seconds(61);
  CHECK_FALSE(fixture.IsQuarantined(kDeadly));
  fixture.Crash(4, {{kDeadly}});
  CHECK(fixture.IsQuarantined(kDeadly));
}

TEST_CASE("evidence of several VMs is merged", "[quarantine]") {
  std::vector<quarantine_fixture> vms(3);
  for (std::size_t vm = 0; vm < vms.size(); ++vm) {
    vms[vm].now += seconds(vm);
    vms[vm].Crash(vm, {{kShared, kDeadly}});
  }
  // The controller's VM is the first one; another one knows that the shared part is sound.
  vms[1].Answer(kShared);
  for (std::size_t vm = 1; vm < vms.size(); ++vm) {
    vms[0].now = vms[vm].now;
    vms[0].quarantine.Merge(vms[vm].quarantine.OwnEvidence(), vms[0].now);
  }
  CHECK(vms[0].IsQuarantined(kDeadly));
  CHECK_FALSE(vms[0].IsQuarantined(kShared));
  vms[1].now = vms[0].now;
  const auto learned = vms[1].quarantine.Merge(vms[0].quarantine.AllEvidence(), vms[1].now);
  CHECK(learned == std::vector<prompt_part_id>{kDeadly});
  CHECK(vms[1].IsQuarantined(kDeadly));
  CHECK_FALSE(vms[1].IsQuarantined(kShared));
  // A quarantine that is reported again does not begin anew.
  const auto until = vms[1].quarantine.QuarantinedUntil({kDeadly}, vms[1].now);
  vms[1].quarantine.Merge(vms[0].quarantine.AllEvidence(), vms[1].now + milliseconds(400));
  CHECK(vms[1].quarantine.QuarantinedUntil({kDeadly}, vms[1].now) == until);
}

// Requests of many callers at random servers, one in twenty with a deadly part; each VM sees its
// own requests only, and evidence is exchanged every 250 ms.
TEST_CASE("under load few requests with a deadly part reach servers, and no sound part is blamed",
          "[quarantine][property]") {
  constexpr std::size_t vm_count = 8;
  constexpr std::size_t server_count = 12;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    random_source random(seed);
    std::vector<prompt_quarantine> vms(vm_count, prompt_quarantine({}));
    time_point now{std::chrono::hours(1)};
    std::size_t crashes = 0;
    std::optional<time_point> fifth_crash;
    std::size_t late_sends = 0;
    for (int step = 0; step < 30000; ++step) {
      now += milliseconds(1);
      if (step % 250 == 0) {
        for (std::size_t vm = 1; vm < vm_count; ++vm) vms[0].Merge(vms[vm].OwnEvidence(), now);
        for (std::size_t vm = 1; vm < vm_count; ++vm) vms[vm].Merge(vms[0].AllEvidence(), now);
      }
      if (random.Below(12) != 0) continue;
      prompt_quarantine& vm = vms[random.Below(vm_count)];
      const prompt_part_id shared("shared-" + std::to_string(random.Below(60)));
      const prompt_part_id session("session-" + std::to_string(random.Below(60)));
      const bool deadly = step > 4000 && random.Below(20) == 0;
      std::vector<prompt_part_id> prompt = {shared, deadly ? kDeadly : session};
      const auto refused = vm.QuarantinedUntil(prompt, now);
      CAPTURE(seed, step);
      if (!deadly) REQUIRE(!refused);
      if (refused) continue;
      if (!deadly) {
        vm.RecordAnswer(prompt, now);
        continue;
      }
      if (fifth_crash && now - *fifth_crash > seconds(3)) ++late_sends;
      if (++crashes == 5) fifth_crash = now;
      // Others of the same caller wait at the server that crashes.
      vm.RecordCrash(Server(random.Below(server_count)), {prompt, {shared, session}}, now);
    }
    CHECK(late_sends <= 3);
  }
}

}  // namespace
}  // namespace waxwingwing
