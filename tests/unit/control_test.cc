#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "waxwingwing/control/control_record.h"
#include "waxwingwing/control/control_state.h"
#include "waxwingwing/core/json_text.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing {
namespace {

const failure_domain_id kIfo("ifo");

lease_record Lease(const char* vm, std::uint64_t run, std::optional<std::uint64_t> based_on) {
  lease_record record;
  record.failure_domain = kIfo;
  record.vm = vm_id(vm);
  record.incarnation = incarnation(run);
  if (based_on) record.based_on = log_offset(*based_on);
  return record;
}

roster_record Slot(const char* vm, std::uint64_t run, std::uint32_t slot) {
  roster_record record;
  record.failure_domain = kIfo;
  record.slot = slot;
  record.vm = vm_id(vm);
  record.incarnation = incarnation(run);
  record.peer_address = "127.0.0.1:9";
  return record;
}

control_record Note(const std::string& text) { return release_note_record{text}; }

/// Applies records in order, each with a unique append id.
class control_log {
 public:
  apply_result Append(const control_record& record) {
    return Append("append-" + std::to_string(state.next_offset().get()),
                  EncodeControlRecord(record));
  }
  apply_result Append(const std::string& id, const std::string& payload) {
    return state.Apply(state.next_offset(), append_id(id), payload);
  }

  control_state state;
};

TEST_CASE("control records round-trip through JSON", "[control]") {
  lease_record lease = Lease("a", UINT64_MAX, 7);
  lease.released = true;
  roster_record slot = Slot("b", 3, 2);
  slot.action = roster_action::kRelease;
  slot.based_on = log_offset(4);
  for (const control_record& record :
       {control_record(lease), control_record(Lease("a", 1, std::nullopt)), control_record(slot),
        Note(R"({"note_id":"n"})")}) {
    const auto read = DecodeControlRecord(EncodeControlRecord(record));
    REQUIRE(read);
    REQUIRE(*read == record);
  }
}

TEST_CASE("malformed records are skipped and counted", "[control]") {
  const std::string unknown_slot =
      R"({"kind":"roster","failure_domain":"d","slot":5000,"action":"claim","vm":"v",)"
      R"("incarnation":1,"peer_address":"p"})";
  const std::string negative_incarnation =
      R"({"kind":"lease","failure_domain":"d","vm":"v","incarnation":-1,"released":false,)"
      R"("duration_ms":6000})";
  control_log log;
  for (const std::string& payload :
       {std::string(), std::string("[]"), std::string("{}"), std::string(R"({"kind":7})"),
        std::string(R"({"kind":"other"})"), std::string(R"({"kind":"lease"})"),
        std::string(R"({"kind":"release_note"})"), std::string("\xff"), negative_incarnation,
        unknown_slot}) {
    CHECK(log.Append(std::to_string(log.state.next_offset().get()), payload) ==
          apply_result::kMalformed);
  }
  REQUIRE(log.state.counters().malformed == 10);
  REQUIRE(log.state.next_offset() == log_offset(10));
}

TEST_CASE("only the next offset is applied", "[control]") {
  control_log log;
  const std::string payload = EncodeControlRecord(Lease("a", 1, std::nullopt));
  REQUIRE(log.state.Apply(log_offset(1), append_id("x"), payload) == apply_result::kWrongOffset);
  REQUIRE(log.Append("x", payload) == apply_result::kApplied);
  REQUIRE(log.state.Apply(log_offset(0), append_id("y"), payload) == apply_result::kWrongOffset);
  REQUIRE(log.state.counters().applied == 1);
}

TEST_CASE("a lease record is valid only when it is based on the latest one", "[control]") {
  control_log log;
  REQUIRE(log.Append(Lease("a", 1, 0)) == apply_result::kRefused);
  REQUIRE(log.Append(Lease("a", 1, std::nullopt)) == apply_result::kApplied);
  REQUIRE(log.Append(Lease("b", 2, std::nullopt)) == apply_result::kRefused);
  REQUIRE(log.Append(Lease("a", 1, 1)) == apply_result::kApplied);
  // The renewal keeps the fencing number; a claim on the superseded record is void.
  REQUIRE(log.state.FindLease(kIfo)->fencing == fencing_number(1));
  REQUIRE(log.Append(Lease("b", 2, 1)) == apply_result::kRefused);
  REQUIRE(log.Append(Lease("b", 2, 3)) == apply_result::kApplied);
  REQUIRE(log.state.FindLease(kIfo)->fencing == fencing_number(5));
  REQUIRE(log.state.FindLease(kIfo)->record == append_id("append-5"));
  // A claim by another incarnation of the same VM begins a new term.
  REQUIRE(log.Append(Lease("b", 3, 5)) == apply_result::kApplied);
  REQUIRE(log.state.FindLease(kIfo)->fencing == fencing_number(6));
}

TEST_CASE("only the holder releases a lease, and the next claim begins a term", "[control]") {
  control_log log;
  log.Append(Lease("a", 1, std::nullopt));
  lease_record foreign = Lease("b", 2, 0);
  foreign.released = true;
  REQUIRE(log.Append(foreign) == apply_result::kRefused);
  lease_record own = Lease("a", 1, 0);
  own.released = true;
  REQUIRE(log.Append(own) == apply_result::kApplied);
  REQUIRE(log.state.FindLease(kIfo)->released);
  REQUIRE(log.Append(Lease("a", 1, 2)) == apply_result::kApplied);
  REQUIRE(log.state.FindLease(kIfo)->fencing == fencing_number(3));
}

TEST_CASE("a roster slot has one owner", "[control]") {
  control_log log;
  REQUIRE(log.Append(Slot("a", 1, 0)) == apply_result::kApplied);
  REQUIRE(log.Append(Slot("b", 2, 0)) == apply_result::kRefused);
  // After a restart the same VM claims its slot again.
  REQUIRE(log.Append(Slot("a", 3, 0)) == apply_result::kApplied);
  roster_record stale = Slot("b", 2, 0);
  stale.based_on = log_offset(0);
  REQUIRE(log.Append(stale) == apply_result::kRefused);
  stale.based_on = log_offset(2);
  REQUIRE(log.Append(stale) == apply_result::kApplied);
  REQUIRE(log.state.rosters().at(kIfo).at(0).vm == vm_id("b"));

  roster_record release = Slot("a", 3, 0);
  release.action = roster_action::kRelease;
  REQUIRE(log.Append(release) == apply_result::kRefused);
  release.based_on = log_offset(4);
  REQUIRE(log.Append(release) == apply_result::kApplied);
  REQUIRE(log.state.rosters().empty());
  REQUIRE(log.Append(release) == apply_result::kRefused);
}

TEST_CASE("a record that was appended twice takes effect once", "[control]") {
  control_log log;
  const std::string claim = EncodeControlRecord(Slot("a", 1, 0));
  REQUIRE(log.Append("same", claim) == apply_result::kApplied);
  roster_record release = Slot("a", 1, 0);
  release.action = roster_action::kRelease;
  REQUIRE(log.Append(release) == apply_result::kApplied);
  // Without deduplication the late copy would claim the slot again.
  REQUIRE(log.Append("same", claim) == apply_result::kDuplicate);
  REQUIRE(log.state.rosters().empty());
  REQUIRE(log.state.next_offset() == log_offset(3));
}

TEST_CASE("a note that is published twice keeps its first verdict", "[control]") {
  control_log log;
  REQUIRE(log.Append(Note(R"({"note_id":"n","base_revision":0,"add":{
    "organisations":[{"id":"bank"}]}})")) == apply_result::kApplied);
  REQUIRE(log.Append(Note(R"({"note_id":"n","base_revision":0,"add":{
    "organisations":[{"id":"shop"}]}})")) == apply_result::kRefused);
  REQUIRE(log.state.FindVerdict(note_id("n"))->accepted);
  REQUIRE(log.state.FindVerdict(note_id("n"))->revision == log_offset(0));
  REQUIRE(log.state.objects().organisations.size() == 1);
}

TEST_CASE("an invalid note on the log gets a verdict with its findings", "[control]") {
  control_log log;
  REQUIRE(log.Append(Note(R"({"note_id":"n","add":7})")) == apply_result::kRefused);
  REQUIRE(log.state.FindVerdict(note_id("n"))->findings.size() == 2);
  REQUIRE(log.Append(Note("not JSON")) == apply_result::kRefused);
}

TEST_CASE("the number of verdicts is limited and the newest are kept", "[control]") {
  control_log log;
  for (std::size_t i = 0; i <= control_state::kMaxVerdicts; ++i) {
    log.Append(Note(R"({"note_id":"n)" + std::to_string(i) + R"(","base_revision":0})"));
  }
  REQUIRE(log.state.FindVerdict(note_id("n0")) == nullptr);
  REQUIRE(log.state.FindVerdict(note_id("n1")) != nullptr);
  REQUIRE(log.state.FindVerdict(note_id("n4096")) != nullptr);
}

TEST_CASE("an older snapshot does not replace the state", "[control]") {
  control_log log;
  log.Append(Lease("a", 1, std::nullopt));
  const std::string older = log.state.ToSnapshot();
  log.Append(Lease("a", 1, 0));
  const std::string before = log.state.ToSnapshot();
  REQUIRE(log.state.LoadSnapshot(older) == snapshot_result::kOlderThanState);
  REQUIRE(log.state.LoadSnapshot("{}") == snapshot_result::kMalformed);
  REQUIRE(log.state.ToSnapshot() == before);
  control_state fresh;
  REQUIRE(fresh.LoadSnapshot(before) == snapshot_result::kLoaded);
  REQUIRE(fresh.ToSnapshot() == before);
}

struct stored_record {
  append_id id;
  std::string payload;
};

/// A random record, as appended by a writer that knows some earlier state of the log.
control_record RandomRecord(random_source& random, std::uint64_t length) {
  const std::string base =
      std::to_string(length - random.Below(std::min<std::uint64_t>(length, 6)));
  const std::string id = std::to_string(random.Below(4));
  const std::string note =
      R"({"note_id":"n)" + std::to_string(random.Below(400)) + R"(","base_revision":)" + base + ",";
  const std::string domains[] = {R"(["d0"])", R"(["d1","d2"])", R"(["d3"])"};
  const std::string& named = domains[random.Below(3)];
  switch (random.Below(9)) {
    case 0:
      return Note(note + R"("add":{"failure_domains":[{"id":"d)" + id + R"(","region":"r"}]}})");
    case 1:
      return Note(note + R"("withdraw":{"failure_domains":["d)" + id + R"("]}})");
    case 2:
      return Note(note + R"("change":{"failure_domains":[{"id":"d)" + id +
                  R"(","state":"out"}]}})");
    case 3:
      return Note(note + R"("add":{"services":[{"id":"s)" + id + R"(","failure_domains":)" + named +
                  R"(,"repeatable":false}]}})");
    case 4:
      return Note(note + R"("withdraw":{"services":["s)" + id + R"("]}})");
    case 5:
      return Note(note + R"("change":{"services":[{"id":"s)" + id + R"(","failure_domains":)" +
                  named + "}]}}");
    case 6:
      return Note(note + R"("add":{"services":[{"id":5}]}})");
    case 7:
      return Lease(random.Below(2) == 0 ? "a" : "b", 1, length - 1 - random.Below(length));
    default: {
      roster_record slot = Slot(random.Below(2) == 0 ? "a" : "b", random.Below(2), 0);
      if (random.Below(2) == 0) slot.action = roster_action::kRelease;
      if (random.Below(2) == 0) slot.based_on = log_offset(random.Below(length));
      return slot;
    }
  }
}

std::vector<stored_record> RandomLog(random_source& random, std::size_t length) {
  std::vector<stored_record> log{
      {append_id("first"), EncodeControlRecord(Lease("a", 1, std::nullopt))}};
  while (log.size() < length) {
    if (random.Below(10) == 0) {
      log.push_back(log[random.Below(log.size())]);
    } else if (random.Below(30) == 0) {
      log.push_back({append_id(random.HexId()), "{\"kind\":"});
    } else {
      log.push_back(
          {append_id(random.HexId()), EncodeControlRecord(RandomRecord(random, log.size()))});
    }
  }
  return log;
}

TEST_CASE("every node has the same state after the same prefix", "[control][property]") {
  // One node applies every record in order. The other receives records late, twice and in snapshots
  // of the first node.
  random_source random(20240612);
  std::uint64_t accepted = 0;
  for (int run = 0; run < 60; ++run) {
    const std::vector<stored_record> log = RandomLog(random, 150);
    control_state reference;
    control_state other;
    std::string snapshot = reference.ToSnapshot();
    for (std::size_t i = 0; i < log.size(); ++i) {
      reference.Apply(log_offset(i), log[i].id, log[i].payload);
      if (random.Below(20) == 0) snapshot = reference.ToSnapshot();
      if (random.Below(15) == 0) other.LoadSnapshot(snapshot);
      if (random.Below(4) != 0) continue;
      const std::size_t from = random.Below(i + 1);
      for (std::size_t j = from; j <= i; ++j) {
        other.Apply(log_offset(j), log[j].id, log[j].payload);
      }
      if (other.next_offset() != reference.next_offset()) continue;
      REQUIRE(other.ToSnapshot() == reference.ToSnapshot());
    }
    REQUIRE(reference.counters().duplicates > 0);
    accepted += reference.counters().applied;
  }
  REQUIRE(accepted > 600);
}

TEST_CASE("a mutated snapshot or record never crashes a node", "[control][property]") {
  random_source random(20240613);
  control_state state;
  const std::vector<stored_record> log = RandomLog(random, 60);
  for (std::size_t i = 0; i < log.size(); ++i) {
    state.Apply(log_offset(i), log[i].id, log[i].payload);
  }
  const std::string snapshot = state.ToSnapshot();
  for (int run = 0; run < 1000; ++run) {
    std::string text = snapshot;
    text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    text.erase(random.Below(text.size()), random.Below(3));
    control_state loaded;
    if (loaded.LoadSnapshot(text) == snapshot_result::kLoaded) loaded.ToSnapshot();
    std::string payload = log[random.Below(log.size())].payload;
    payload[random.Below(payload.size())] = static_cast<char>(random.Below(256));
    state.Apply(state.next_offset(), append_id(random.HexId()), payload);
  }
  REQUIRE(state.next_offset() == log_offset(1060));
}

}  // namespace
}  // namespace waxwingwing
