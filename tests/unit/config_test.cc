#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "waxwingwing/config/configuration_json.h"
#include "waxwingwing/config/configuration_state.h"
#include "waxwingwing/config/release_note_parser.h"
#include "waxwingwing/core/json_text.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr const char* kBaseNote = R"({"note_id":"n1","base_revision":0,"add":{
  "failure_domains":[{"id":"ifo","region":"ogun-west","entry_vms":3,"when_cut_off":"stop"},
                     {"id":"sagamu","region":"ogun-west","state":"out"}],
  "organisations":[{"id":"bank","priority":0,"share":4}],
  "model_groups":[{"id":"chat","model":"m-70b","failure_domains":["ifo"],"max_requests":8,
                   "cold_requests":2,"warm_up_ms":500}],
  "services":[{"id":"desk","failure_domains":["ifo","sagamu"],"repeatable":false}]}})";

release_note MustParse(const std::string& text) {
  parsed_release_note parsed = ParseReleaseNote(text);
  INFO(parsed.findings.ToText());
  REQUIRE(parsed.note.has_value());
  return std::move(*parsed.note);
}

release_note_verdict Publish(configuration_state& state, std::uint64_t offset,
                             const std::string& text) {
  return ApplyReleaseNote(MustParse(text), log_offset(offset), state);
}

configuration_state BaseState() {
  configuration_state state;
  REQUIRE(Publish(state, 5, kBaseNote).accepted);
  return state;
}

bool HasFinding(const finding_list& findings, const std::string& place) {
  const auto& all = findings.all();
  return std::any_of(all.begin(), all.end(),
                     [&](const finding& item) { return item.place == place; });
}

TEST_CASE("a release note is parsed to typed objects with defaults", "[config]") {
  const release_note note = MustParse(kBaseNote);
  REQUIRE(note.id == note_id("n1"));
  REQUIRE(note.failure_domains.add.size() == 2);
  REQUIRE(note.failure_domains.add[0].when_cut_off == cut_off_policy::kStop);
  REQUIRE(note.failure_domains.add[1].state == domain_state::kOut);
  REQUIRE(note.failure_domains.add[1].entry_vms == 1);
  REQUIRE(note.model_groups.add[0].warm_up == milliseconds(500));
  REQUIRE_FALSE(note.services.add[0].repeatable);
}

TEST_CASE("all faults of a release note are reported together with their paths", "[config]") {
  const parsed_release_note parsed = ParseReleaseNote(R"({"note_id":"n 1","colour":1,
    "add":{"planets":[],"failure_domains":{},
      "organisations":[{"id":"a","priority":10,"share":-1,"max_queue":1.5},{"priority":1},7,
                       {"id":"a"}],
      "model_groups":[{"id":"g","model":3,"failure_domains":["x","x",2],"max_requests":1,
                       "cold_requests":2,"size":1}],
      "services":[{"id":"s"}]},
    "change":{"failure_domains":[{"id":"d","state":"gone"},{"id":"e"}]},
    "withdraw":{"organisations":["a",null]}})");
  REQUIRE_FALSE(parsed.note);
  for (const char* place : {"$.note_id",
                            "$.base_revision",
                            "$.colour",
                            "$.add.planets",
                            "$.add.failure_domains",
                            "$.add.organisations[0].priority",
                            "$.add.organisations[0].share",
                            "$.add.organisations[0].max_queue",
                            "$.add.organisations[1].id",
                            "$.add.organisations[2]",
                            "$.add.organisations[3].id",
                            "$.add.model_groups[0].model",
                            "$.add.model_groups[0].failure_domains[1]",
                            "$.add.model_groups[0].failure_domains[2]",
                            "$.add.model_groups[0].cold_requests",
                            "$.add.model_groups[0].size",
                            "$.add.services[0].failure_domains",
                            "$.add.services[0].repeatable",
                            "$.change.failure_domains[0].state",
                            "$.change.failure_domains[1]",
                            "$.withdraw.organisations[0]",
                            "$.withdraw.organisations[1]"}) {
    INFO(place << "\n" << parsed.findings.ToText());
    CHECK(HasFinding(parsed.findings, place));
  }
  REQUIRE(parsed.findings.all().size() == 22);
}

TEST_CASE("oversized, deeply nested and ambiguous notes are refused", "[config]") {
  // Deep nesting would overflow the stack when the value is serialised. When a member is given
  // twice, different parsers could use different values.
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  REQUIRE(HasFinding(ParseReleaseNote(deep).findings, "$"));
  REQUIRE(HasFinding(ParseReleaseNote(std::string(kMaxReleaseNoteBytes + 1, ' ')).findings, "$"));
  REQUIRE(HasFinding(ParseReleaseNote(R"({"note_id":"a","note_id":"b"})").findings, "$"));
  REQUIRE(HasFinding(ParseReleaseNote("").findings, "$"));
  REQUIRE(HasFinding(ParseReleaseNote("[]").findings, "$"));
}

TEST_CASE("a change touches only the members that it names", "[config]") {
  configuration_state state = BaseState();
  const auto verdict = Publish(state, 9, R"({"note_id":"n2","base_revision":5,"change":{
    "failure_domains":[{"id":"ifo","state":"out"}]}})");
  REQUIRE(verdict.accepted);
  REQUIRE(verdict.revision == log_offset(9));
  const auto& entry = state.objects.failure_domains.at(failure_domain_id("ifo"));
  REQUIRE(entry.value.state == domain_state::kOut);
  REQUIRE(entry.value.entry_vms == 3);
  REQUIRE(entry.revision == log_offset(9));
  REQUIRE(state.objects.organisations.at(organisation_id("bank")).revision == log_offset(5));
}

TEST_CASE("a change after the base revision is a conflict that names the revision", "[config]") {
  configuration_state state = BaseState();
  REQUIRE(Publish(state, 9, R"({"note_id":"n2","base_revision":5,"change":{
    "organisations":[{"id":"bank","share":5}]}})")
              .accepted);
  const configuration_state before = state;
  const auto verdict = Publish(state, 10, R"({"note_id":"n3","base_revision":5,
    "add":{"organisations":[{"id":"shop"}]},
    "change":{"organisations":[{"id":"bank","share":6}]}})");
  REQUIRE_FALSE(verdict.accepted);
  REQUIRE(verdict.conflicts ==
          std::vector<release_note_conflict>{
              {"$.change.organisations[0]", object_kind::kOrganisation, "bank", log_offset(9)}});
  // A refused note must not take effect partially.
  REQUIRE(state == before);
}

TEST_CASE("a withdrawn object conflicts with a concurrent change and with its reappearance",
          "[config]") {
  configuration_state state = BaseState();
  REQUIRE(Publish(state, 9, R"({"note_id":"n2","base_revision":5,
    "withdraw":{"organisations":["bank"]}})")
              .accepted);
  const auto change = Publish(state, 10, R"({"note_id":"n3","base_revision":5,"change":{
    "organisations":[{"id":"bank","share":6}]}})");
  REQUIRE(change.conflicts.size() == 1);
  REQUIRE(change.conflicts[0].revision == log_offset(9));
  const char* const add = R"({"note_id":"n4","base_revision":5,"add":{
    "organisations":[{"id":"bank"}]}})";
  REQUIRE(Publish(state, 11, add).conflicts.size() == 1);
  REQUIRE(Publish(state, 12, R"({"note_id":"n5","base_revision":9,"add":{
    "organisations":[{"id":"bank"}]}})")
              .accepted);
  REQUIRE(state.withdrawn.empty());
}

TEST_CASE("adding an existing object and changing a missing one are findings", "[config]") {
  configuration_state state = BaseState();
  const auto verdict = Publish(state, 9, R"({"note_id":"n2","base_revision":5,
    "add":{"organisations":[{"id":"bank"}]},
    "change":{"organisations":[{"id":"shop","share":2}]},
    "withdraw":{"services":["till"]}})");
  REQUIRE(verdict.findings.size() == 3);
  REQUIRE(verdict.conflicts.empty());
}

TEST_CASE("references are checked against the configuration after the note", "[config]") {
  configuration_state state = BaseState();
  const auto missing = Publish(state, 9, R"({"note_id":"n2","base_revision":5,
    "add":{"services":[{"id":"till","failure_domains":["ifo","mars"],"repeatable":true}]}})");
  REQUIRE(missing.findings.size() == 1);
  REQUIRE(missing.findings[0].place == "$.add.services[0].failure_domains[1]");
  REQUIRE(Publish(state, 10, R"({"note_id":"n3","base_revision":5,
    "add":{"failure_domains":[{"id":"mars","region":"r"}],
           "services":[{"id":"till","failure_domains":["mars"],"repeatable":true}]}})")
              .accepted);
}

TEST_CASE("a failure domain that is still named cannot be withdrawn", "[config]") {
  configuration_state state = BaseState();
  const auto named = Publish(state, 9, R"({"note_id":"n2","base_revision":5,
    "withdraw":{"failure_domains":["ifo"]}})");
  REQUIRE(named.findings.size() == 2);
  REQUIRE(named.findings[0].place == "$.withdraw.failure_domains[0]");
  REQUIRE(Publish(state, 10, R"({"note_id":"n3","base_revision":5,
    "change":{"services":[{"id":"desk","failure_domains":["sagamu"]}]},
    "withdraw":{"failure_domains":["ifo"],"model_groups":["chat"]}})")
              .accepted);
  // The group that names the domain was added after the author's base revision, which is a conflict
  // and not a finding.
  const auto late = Publish(state, 11, R"({"note_id":"n4","base_revision":5,
    "withdraw":{"failure_domains":["sagamu"]}})");
  REQUIRE(late.conflicts.size() == 1);
  REQUIRE(late.conflicts[0].id == "desk");
}

TEST_CASE("rules between members hold after a change", "[config]") {
  configuration_state state = BaseState();
  const auto verdict = Publish(state, 9, R"({"note_id":"n2","base_revision":5,
    "change":{"model_groups":[{"id":"chat","max_requests":1}]}})");
  REQUIRE(verdict.findings.size() == 1);
}

TEST_CASE("a base revision from the note's own offset or later is refused", "[config]") {
  // A base revision that does not exist yet would hide every conflict.
  configuration_state state = BaseState();
  REQUIRE_FALSE(Publish(state, 9, R"({"note_id":"n2","base_revision":9,
    "change":{"organisations":[{"id":"bank","share":2}]}})")
                    .accepted);
}

TEST_CASE("configuration and verdicts round-trip through JSON", "[config]") {
  configuration_state state = BaseState();
  Publish(state, 9, R"({"note_id":"n2","base_revision":5,"withdraw":{"organisations":["bank"]}})");
  const auto restored = ConfigurationStateFromJson(ConfigurationStateToJson(state));
  REQUIRE(restored);
  REQUIRE(*restored == state);
  const auto verdict = Publish(state, 10, R"({"note_id":"n3","base_revision":5,
    "add":{"organisations":[{"id":"bank"}]},"withdraw":{"services":["till"]}})");
  const auto read = VerdictFromJson(VerdictToJson(verdict));
  REQUIRE(read);
  REQUIRE(*read == verdict);
  REQUIRE_FALSE(ConfigurationFromJson(json::array()));
  REQUIRE_FALSE(VerdictFromJson(json::parse(R"({"note_id":1})")));
}

std::string Mutate(std::string text, random_source& random) {
  const std::string pieces[] = {"\"", "{", "}",     "[",       "]",    ",",     ":",
                                "-1", "9", "1e999", "\"ifo\"", "null", "\\ud8", "\xff"};
  const std::uint64_t edits = 1 + random.Below(4);
  for (std::uint64_t edit = 0; edit < edits; ++edit) {
    const std::size_t at = random.Below(text.size());
    const std::size_t length = random.Below(12);
    switch (random.Below(4)) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, pieces[random.Below(std::size(pieces))]);
        break;
      case 2:
        text.insert(at, text.substr(random.Below(text.size()), length));
        break;
      default:
        text[at] = static_cast<char>(random.Below(256));
    }
    if (text.empty()) text = " ";
  }
  return text;
}

TEST_CASE("a mutated release note gives a note or findings", "[config][property]") {
  random_source random(20240611);
  configuration_state state = BaseState();
  std::uint64_t valid = 0;
  for (std::uint64_t run = 0; run < 20000; ++run) {
    const parsed_release_note parsed = ParseReleaseNote(Mutate(kBaseNote, random));
    REQUIRE(parsed.note.has_value() == parsed.findings.empty());
    if (!parsed.note) continue;
    ++valid;
    const auto verdict = ApplyReleaseNote(*parsed.note, log_offset(10 + run), state);
    // A verdict with arbitrary bytes in its text must be serialisable.
    REQUIRE_FALSE(ToJsonText(VerdictToJson(verdict)).empty());
  }
  REQUIRE(valid > 100);
  REQUIRE(ConfigurationStateFromJson(ConfigurationStateToJson(state)));
}

}  // namespace
}  // namespace waxwingwing
