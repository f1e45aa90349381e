#include "waxwingwing/election/controller_lease.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "simulation/lease_fleet.h"

namespace waxwingwing {
namespace {

using std::chrono::seconds;

const time_point kStart = lease_fleet::Start();
constexpr milliseconds kDelay{100};

/// A lease whose record this VM has read.
controller_lease LeaseThatSaw(const lease_record& record) {
  controller_lease lease("a", kDelay, kStart);
  lease.Observe(record, kStart);
  return lease;
}

TEST_CASE("a lease that nobody has held is claimed after the delay, and its holder acts at once",
          "[election]") {
  controller_lease lease("a", kDelay, kStart);
  CHECK(lease.Next(kStart) == lease_step::kWait);
  const time_point later = kStart + kDelay;
  CHECK(lease.Next(later) == lease_step::kRead);
  lease.Observe({"", 0}, later);
  CHECK(lease.Next(later) == lease_step::kAppend);
  lease.RecordAppended(1, store_era(), later, later);
  CHECK(lease.MayAct(later));
  CHECK(lease.term() == 1);
  CHECK(lease.Next(later) == lease_step::kWait);
  CHECK(lease.Next(later + milliseconds(400)) == lease_step::kAppend);
}

TEST_CASE("a holder acts only for a time after it has sent its last successful renewal",
          "[election]") {
  controller_lease lease = LeaseThatSaw({"", 0});
  lease.RecordAppended(1, store_era(), kStart, kStart + milliseconds(300));
  CHECK(lease.MayAct(kStart + milliseconds(900)));
  CHECK(!lease.MayAct(kStart + milliseconds(901)));
  SECTION("a late renewal continues the term, since no other VM has held the lease") {
    lease.RecordAppended(2, store_era(), kStart + seconds(2), kStart + seconds(2));
    CHECK(lease.term() == 1);
    CHECK(lease.MayAct(kStart + seconds(2)));
  }
  SECTION("a claim after another holder begins a new term, after a wait") {
    lease.Observe({"b", 5}, kStart + seconds(2));
    lease.RecordAppended(6, store_era(), kStart + seconds(4), kStart + seconds(4));
    CHECK(lease.term() == 6);
    CHECK(!lease.MayAct(kStart + milliseconds(4499)));
    CHECK(lease.MayAct(kStart + milliseconds(4500)));
  }
  SECTION("a renewal in time continues the term") {
    lease.RecordAppended(2, store_era(), kStart + milliseconds(500), kStart + milliseconds(510));
    CHECK(lease.term() == 1);
    CHECK(lease.MayAct(kStart + milliseconds(1400)));
  }
  SECTION("a renewal whose outcome is not known does not prolong it") {
    lease.RecordFailure(kStart + milliseconds(600));
    CHECK(lease.Next(kStart + milliseconds(650)) == lease_step::kRead);
    lease.Observe({"a", 2}, kStart + milliseconds(730));
    CHECK(!lease.MayAct(kStart + milliseconds(901)));
    CHECK(lease.IsHolder());
  }
  SECTION("the record of another VM ends the term") {
    lease.Observe({"b", 2}, kStart + milliseconds(400));
    CHECK(!lease.IsHolder());
    CHECK(!lease.MayAct(kStart + milliseconds(400)));
  }
}

TEST_CASE("a lease without renewals is taken over once, and one that was released at once",
          "[election]") {
  controller_lease lease = LeaseThatSaw({"b", 7});
  CHECK(lease.Next(kStart + milliseconds(1299)) == lease_step::kWait);
  SECTION("the record is read again before the claim") {
    CHECK(lease.Next(kStart + milliseconds(1300)) == lease_step::kRead);
    lease.Observe({"b", 7}, kStart + milliseconds(1304));
    CHECK(lease.Next(kStart + milliseconds(1304)) == lease_step::kAppend);
  }
  SECTION("a renewal starts the wait anew") {
    lease.Observe({"b", 8}, kStart + milliseconds(1200));
    CHECK(lease.Next(kStart + milliseconds(2499)) == lease_step::kWait);
    CHECK(lease.Next(kStart + milliseconds(2500)) == lease_step::kRead);
  }
  SECTION("older news changes nothing") {
    lease.Observe({"c", 6}, kStart + milliseconds(1200));
    CHECK(lease.record() == lease_record{"b", 7});
    CHECK(lease.Next(kStart + milliseconds(1300)) == lease_step::kRead);
  }
  SECTION("a release") {
    lease.Observe({"", 8}, kStart + milliseconds(400));
    CHECK(lease.Next(kStart + milliseconds(499)) == lease_step::kWait);
    CHECK(lease.Next(kStart + milliseconds(500)) == lease_step::kRead);
    lease.Observe({"", 8}, kStart + milliseconds(504));
    CHECK(lease.Next(kStart + milliseconds(504)) == lease_step::kAppend);
  }
}

// Guards against a deployment without a controller while a claim lapses whose answer was lost.
TEST_CASE("a claim that took effect without an answer is continued before it lapses",
          "[election]") {
  controller_lease lease = LeaseThatSaw({"", 0});
  lease.RecordFailure(kStart + milliseconds(300));
  lease.Observe({"a", 1}, kStart + milliseconds(400));
  CHECK(!lease.IsHolder());
  CHECK(lease.NextAt(kStart + milliseconds(400)) <= kStart + milliseconds(400 + 600 + 100));
}

// Guards against a controller that changes with each outage of the store.
TEST_CASE("after an outage the holder renews the lease before others claim it", "[election]") {
  controller_lease lease = LeaseThatSaw({"b", 7});
  lease.RecordFailure(kStart + seconds(5));
  const time_point back = kStart + seconds(6);
  lease.Observe({"b", 7}, back);
  CHECK(lease.Next(back + milliseconds(699)) == lease_step::kWait);
  CHECK(lease.Next(back + milliseconds(700)) == lease_step::kRead);
}

TEST_CASE("calls to a store that does not answer become rare", "[election]") {
  controller_lease lease("a", kDelay, kStart);
  time_point now = kStart;
  std::size_t calls = 0;
  while (now < kStart + seconds(10)) {
    now = lease.NextAt(now);
    ++calls;
    lease.RecordFailure(now);
  }
  CHECK(calls <= 20);
  CHECK(lease.NextAt(now) - now <= milliseconds(700));
}

// The failure this guards against: with 295 members of a group in the store, each member that
// joined or lapsed moved the controller, so that no group of servers was ever formed.
TEST_CASE("load pattern: many VMs that start at once have one controller, which stays",
          "[election][load]") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const std::size_t vms : {8U, 295U}) {
      lease_fleet::options options;
      options.vms = vms;
      options.seed = seed;
      options.strong = vms == 8 ? 0 : 0.05;
      lease_fleet fleet(options);
      fleet.RunUntil(kStart + seconds(3));
      const std::size_t first = fleet.Acting();
      INFO(vms << " VMs, seed " << seed);
      REQUIRE(first < fleet.vms());
      for (int joining = 0; joining < 20; ++joining) {
        fleet.Join();
        fleet.RunUntil(fleet.now() + milliseconds(250));
      }
      CHECK(fleet.Acting() == first);
      CHECK(fleet.controllers() == 1);
      // A read for each VM, some claims at once, and 2.5 renewals a second.
      CHECK(fleet.calls() <= 3 * (vms + 20) + 30);
    }
  }
}

TEST_CASE(
    "load pattern: the lease moves from a dead controller once, and all VMs together need "
    "few calls for it",
    "[election][load]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    lease_fleet::options options;
    options.seed = seed;
    lease_fleet fleet(options);
    fleet.RunUntil(kStart + seconds(5));
    const std::size_t calls = fleet.calls();
    fleet.Kill(fleet.Acting());
    // The lifetime of the lease, the delay of a strong VM, and the wait of a new holder.
    fleet.RunUntil(kStart + seconds(5) + milliseconds(1200 + 300 + 500 + 100));
    INFO("seed " << seed);
    CHECK(fleet.Acting() < fleet.vms());
    fleet.RunUntil(kStart + seconds(10));
    CHECK(fleet.controllers() == 2);
    CHECK(fleet.calls() - calls <= 2 * options.vms + 40);
  }
}

TEST_CASE("two VMs never act as the controller at the same time, and terms increase",
          "[election][property]") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    lease_fleet::options options;
    options.vms = 12;
    options.strong = 0.3;
    options.lost_answers = 0.1;
    options.applied_late = 0.1;
    options.seed = seed;
    lease_fleet fleet(options);
    random_source random(seed + 1000);
    for (int fault = 0; fault < 60; ++fault) {
      fleet.RunUntil(fleet.now() + milliseconds(static_cast<int>(random.Below(1500))));
      const std::size_t acting = fleet.Acting();
      const std::size_t any = static_cast<std::size_t>(random.Below(fleet.vms()));
      const std::size_t victim = acting < fleet.vms() && random.Below(4) > 0 ? acting : any;
      const auto time = milliseconds(static_cast<int>(300 + random.Below(4000)));
      if (random.Below(2) == 0) {
        fleet.Freeze(victim, time);
      } else {
        fleet.CutFromStore(victim, time);
      }
    }
    INFO("seed " << seed);
    CHECK(fleet.most_acting() <= 1);
    CHECK(fleet.controllers() >= 2);
    CHECK(std::is_sorted(fleet.terms().begin(), fleet.terms().end()));
    const time_point recovered_by = fleet.now() + seconds(12);
    while (fleet.Acting() == fleet.vms() && fleet.now() < recovered_by) {
      fleet.RunUntil(fleet.now() + milliseconds(50));
    }
    CHECK(fleet.Acting() < fleet.vms());
  }
}

// Guards against VMs that read the lease again and again without a pause, because a restored store
// gives out lower offsets than they know.
TEST_CASE("load pattern: after a restore of the store few calls are made for the lease",
          "[election][load]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    lease_fleet::options options;
    options.seed = seed;
    lease_fleet fleet(options);
    fleet.RunUntil(kStart + seconds(5));
    fleet.SaveCopy();
    fleet.RunUntil(kStart + seconds(14));
    const std::size_t calls = fleet.calls();
    fleet.Restore();
    fleet.RunUntil(kStart + seconds(17));
    INFO("seed " << seed);
    CHECK(fleet.Acting() < fleet.vms());
    CHECK(fleet.calls() - calls <= 4 * options.vms + 40);
  }
}

// Guards against a claim on the condition of an offset that the store has given out a second time:
// the records before it were written by another VM, which may still act.
TEST_CASE("an append that is conditional on an offset of an earlier era does not take the lease",
          "[election]") {
  controller_lease lease = LeaseThatSaw({"b", 7, store_era(1)});
  const time_point later = kStart + seconds(2);
  lease.RecordAppended(8, store_era(2), later, later);
  CHECK(!lease.IsHolder());
  CHECK(lease.Next(later) == lease_step::kRead);
  lease.Observe({"a", 8, store_era(2)}, later);
  CHECK(lease.Next(later + milliseconds(900)) == lease_step::kWait);
  CHECK(lease.Next(later + milliseconds(1000)) != lease_step::kWait);
}

// Guards against epochs of a later controller that are lower than those of an earlier one, which
// servers reject.
TEST_CASE("a term after a restore of the store is higher than those before it", "[election]") {
  controller_lease lease = LeaseThatSaw({"", 90, store_era(1)});
  lease.RecordAppended(91, store_era(1), kStart, kStart);
  const std::uint64_t before = lease.term();
  lease.Observe({"a", 40, store_era(2)}, kStart + seconds(2));
  CHECK(!lease.IsHolder());
  lease.RecordAppended(41, store_era(2), kStart + seconds(3), kStart + seconds(3));
  CHECK(lease.term() > before);
}

// Guards against news of before the restore, which an earlier controller or a slow answer brings.
TEST_CASE("records of an earlier era do not replace those of a later one", "[election]") {
  controller_lease lease = LeaseThatSaw({"b", 7, store_era(2)});
  lease.Observe({"c", 90, store_era(1)}, kStart + milliseconds(10));
  CHECK(lease.record() == lease_record{"b", 7, store_era(2)});
  lease.RecordFailure(kStart + milliseconds(20));
  lease.Observe({"c", 90, store_era(1)}, kStart + milliseconds(30));
  CHECK(lease.record() == lease_record{"b", 7, store_era(2)});
}

// Guards against two controllers after a restore of the store, whose records may name an earlier
// holder or none.
TEST_CASE("two VMs never act at the same time when the store is restored, and terms increase",
          "[election][property]") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    lease_fleet::options options;
    options.vms = 12;
    options.strong = 0.3;
    options.lost_answers = 0.1;
    options.applied_late = 0.1;
    options.seed = seed;
    lease_fleet fleet(options);
    random_source random(seed + 2000);
    for (int fault = 0; fault < 60; ++fault) {
      fleet.RunUntil(fleet.now() + milliseconds(static_cast<int>(random.Below(1500))));
      const std::size_t acting = fleet.Acting();
      const std::size_t any = static_cast<std::size_t>(random.Below(fleet.vms()));
      const std::size_t victim = acting < fleet.vms() && random.Below(4) > 0 ? acting : any;
      const auto time = milliseconds(static_cast<int>(300 + random.Below(4000)));
      const std::uint64_t kind = random.Below(4);
      if (kind == 0) fleet.Freeze(victim, time);
      if (kind == 1) fleet.CutFromStore(victim, time);
      if (kind == 2) fleet.SaveCopy();
      if (kind == 3) fleet.Restore();
    }
    INFO("seed " << seed);
    CHECK(fleet.most_acting() <= 1);
    CHECK(std::is_sorted(fleet.terms().begin(), fleet.terms().end()));
    const time_point recovered_by = fleet.now() + seconds(12);
    while (fleet.Acting() == fleet.vms() && fleet.now() < recovered_by) {
      fleet.RunUntil(fleet.now() + milliseconds(50));
    }
    CHECK(fleet.Acting() < fleet.vms());
  }
}

}  // namespace
}  // namespace waxwingwing
