// P10 with real processes: an accepted note is in force on every entry VM and never reverts.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/integration/control_scenario.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

deployment_settings SmallDomains(std::size_t entry_vms) {
  deployment_settings settings = ThreeDomains(2, entry_vms);
  for (domain_settings& domain : settings.domains) domain.services = 0;
  settings.proxy_log = true;
  return settings;
}

std::string State(const http_answer& answer) {
  return answer.status == 200 ? answer.Json().at("state").get<std::string>() : answer.body;
}

std::string VerdictAt(deployment& running, const std::string& entry_vm, const std::string& note) {
  const http_client client(running.CallerAddress(entry_vm));
  return State(client.Get("/v1/admin/release_notes/" + note));
}

/// Seconds from the append of a note to when the watch saw it in force on the last entry VM.
double SecondsToForce(control_scenario& scenario, const std::string& note_id, std::uint64_t share) {
  const http_client log(scenario.running().log().Address());
  std::int64_t appended_us = 0;
  const json records = log.Get("/v1/test/records").Json();
  for (const json& append : records.at("appends")) {
    if (append.at("append_id") == "note-" + note_id) appended_us = append.at("at_us");
  }
  REQUIRE(appended_us > 0);
  std::int64_t last_us = 0;
  for (const std::string& entry : scenario.running().VmIds("entry")) {
    const auto seen = scenario.watch().SeenAt(entry, share);
    REQUIRE(seen.has_value());
    last_us = std::max(last_us, *seen);
  }
  return static_cast<double>(last_us - appended_us) / 1e6;
}

TEST_CASE("of two racing notes one wins on every entry VM", "[control][p10]") {
  // Guards against verdicts that depend on the entry VM that took the note.
  control_scenario scenario(SmallDomains(2), 3);
  deployment& running = scenario.running();
  const auto entries = running.VmIds("entry");
  std::uint64_t share = 1;
  for (int round = 0; round < 3; ++round) {
    const std::string one = "one-" + std::to_string(round);
    const std::string other = "other-" + std::to_string(round);
    const std::uint64_t base = scenario.revision();
    http_answer first;
    http_answer second;
    std::thread operator_one(
        [&] { first = scenario.PublishAt(entries.front(), share + 1, one, base); });
    std::thread operator_two(
        [&] { second = scenario.PublishAt(entries.back(), share + 2, other, base); });
    operator_one.join();
    operator_two.join();
    INFO(first.body << " " << second.body);
    REQUIRE((State(first) == "accepted") != (State(second) == "accepted"));
    const bool first_won = State(first) == "accepted";
    const http_answer& winner = first_won ? first : second;
    REQUIRE((first_won ? second : first).Json().at("conflicts").size() == 1);
    share += first_won ? 1 : 2;
    REQUIRE(scenario.WaitForShare(entries, share, kInForceBound));
    for (const std::string& entry : entries) {
      CHECK(VerdictAt(running, entry, one) == State(first));
      CHECK(VerdictAt(running, entry, other) == State(second));
    }
    scenario.set_revision(winner.Json().at("revision").get<std::uint64_t>());
    const bool all_seen = WaitFor(
        [&] {
          return std::all_of(entries.begin(), entries.end(), [&](const std::string& id) {
            return scenario.watch().SeenAt(id, share).has_value();
          });
        },
        kInForceBound);
    REQUIRE(all_seen);
    const double seconds = SecondsToForce(scenario, first_won ? one : other, share);
    WARN(fmt::format("note in force on {} entry VMs {:.3f} s after its append", entries.size(),
                     seconds));
    CHECK(seconds < 19);
  }
  scenario.Finish();
}

TEST_CASE("a note reaches an entry VM that is cut off from the log and survives an outage",
          "[control][p10]") {
  control_scenario scenario(SmallDomains(1), 3);
  deployment& running = scenario.running();
  const auto entries = running.VmIds("entry");
  SetFaults(running.LogProxy(entries.at(0)), {{"cut", true}});
  REQUIRE(State(scenario.PublishShare(entries.at(1), 2, "n2")) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 2, kInForceBound));
  // The answers of these appends are lost, but each note takes effect once.
  SetFaults(running.log(), {{"lose_answers", 2}});
  REQUIRE(State(scenario.PublishShare(entries.at(2), 3, "n3")) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 3, kInForceBound));
  SetFaults(running.log(), {{"outage", true}});
  http_answer during;
  std::thread publisher([&] { during = scenario.PublishShare(entries.at(1), 4, "n4"); });
  const std::int64_t end_us = MonotonicMicros() + 3'000'000;
  WaitFor([&] { return MonotonicMicros() > end_us; }, kFewSeconds);
  CHECK(scenario.WaitForShare(entries, 3, milliseconds(500)));
  SetFaults(running.log(), {{"outage", false}});
  publisher.join();
  INFO(during.body);
  REQUIRE(State(during) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 4, kInForceBound));
  SetFaults(running.LogProxy(entries.at(0)), {{"cut", false}});
  REQUIRE(State(scenario.PublishShare(entries.at(0), 5, "n5")) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 5, kInForceBound));
  scenario.Finish();
}

TEST_CASE("a configuration survives the restart of one and of all entry VMs of a domain",
          "[control][p10]") {
  control_scenario scenario(SmallDomains(2), 3);
  deployment& running = scenario.running();
  const auto entries = running.VmIds("entry");
  REQUIRE(State(scenario.PublishShare(entries.at(0), 2, "n2")) == "accepted");
  running.Kill("ifo-entry-0");
  REQUIRE(State(scenario.PublishShare(entries.at(0), 3, "n3")) == "accepted");
  scenario.RestartEntry("ifo-entry-0");
  REQUIRE(scenario.WaitForShare(entries, 3, kInForceBound));
  const auto domain = running.VmIds("entry", "sagamu");
  for (const std::string& entry : domain) running.Kill(entry);
  REQUIRE(State(scenario.PublishShare(entries.at(0), 4, "n4")) == "accepted");
  for (const std::string& entry : domain) scenario.RestartEntry(entry);
  REQUIRE(scenario.WaitForShare(entries, 4, kInForceBound));
  REQUIRE(State(scenario.PublishShare(domain.at(0), 5, "n5")) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 5, kInForceBound));
  scenario.Finish();
}

json NewestSnapshot(deployment& running) {
  const http_client log(running.log().Address());
  const json page = log.Get("/v1/streams/snapshots/records?from=0&limit=1000&wait_ms=0").Json();
  return page.at("records").empty() ? json() : page.at("records").back().at("payload");
}

TEST_CASE("an old snapshot on the log does not revert a node that fell behind the retention",
          "[control][p10]") {
  // A holder that was paused can append its snapshot after that of its successor.
  deployment_settings settings = OneDomain(2, 3);
  settings.log_flags = {"--retain_records=60"};
  control_scenario scenario(settings, 1);
  deployment& running = scenario.running();
  const auto entries = running.VmIds("entry");
  for (int batch = 0; batch < 18; ++batch) scenario.AppendFiller(30, entries);
  json old_snapshot;
  const auto written = [&] {
    old_snapshot = NewestSnapshot(running);
    return !old_snapshot.is_null();
  };
  REQUIRE(WaitFor(written, kFewSeconds));
  REQUIRE(State(scenario.PublishShare(entries.at(0), 2, "n2")) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 2, kInForceBound));
  const std::string behind = scenario.OtherEntry(scenario.Holder(entries.at(0)));
  running.Kill(behind);
  scenario.RestartEntry(behind);
  REQUIRE(scenario.WaitForShare(entries, 2, kInForceBound));

  // Catching up from the old snapshot would take several fetches from peers, which the watch sees.
  for (int batch = 0; batch < 8; ++batch) scenario.AppendFiller(30, entries);
  REQUIRE(State(scenario.PublishShare(entries.at(0), 3, "n3")) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 3, kInForceBound));
  std::vector<std::string> others = entries;
  std::erase(others, behind);
  running.vm(behind).Pause();
  for (int batch = 0; batch < 3; ++batch) scenario.AppendFiller(30, others);
  const json late = {{"append_id", "late-snapshot"}, {"payload", old_snapshot}};
  http_client(running.log().Address()).Post("/v1/streams/snapshots/records", late);
  running.vm(behind).Continue();
  REQUIRE(State(scenario.PublishShare(others.at(0), 4, "n4")) == "accepted");
  REQUIRE(scenario.WaitForShare(entries, 4, kInForceBound));
  // A fresh process finds only the old snapshot and needs its peers for the records after it.
  running.Kill(behind);
  scenario.RestartEntry(behind);
  REQUIRE(scenario.WaitForShare(entries, 4, kInForceBound));
  scenario.Finish();
}

}  // namespace
}  // namespace waxwingwing::integration
