#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <numeric>
#include <vector>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/directory/registration_poll_interval.h"
#include "waxwingwing/dispatch/shared_rate_limits.h"
#include "waxwingwing/routing/service_retry_budgets.h"

namespace waxwingwing {
namespace {

const time_point kStart{std::chrono::hours(1)};
const backend_server_id kServer("cold-server");
constexpr std::size_t kPartitionCount = 408;
constexpr double kColdRate = 26;

work_partitions PartitionsOf(std::size_t vm, std::size_t vms) {
  work_partitions partitions;
  partitions.all = kPartitionCount;
  for (std::size_t partition = vm; partition < partitions.all; partition += vms)
    partitions.held.insert(partition);
  return partitions;
}

/// Returns the largest number of requests that `vms` VMs send to a cold server within one second.
/// All VMs send as much as they may during the first `busy` of every two seconds and are idle for
/// the rest, in which tokens accumulate.
std::size_t MaxRequestsPerSecond(std::size_t vms, duration busy) {
  std::vector<shared_rate_limits> limits(vms);
  for (std::size_t vm = 0; vm < vms; ++vm) limits[vm].SetPartitions(PartitionsOf(vm, vms));
  std::vector<time_point> sent;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(6); now += milliseconds(10)) {
    const bool wanted = (now - kStart) % std::chrono::seconds(2) < busy;
    for (shared_rate_limits& limit : limits) {
      if (!limit.MaySend(kServer, kColdRate, now) || !wanted) continue;
      limit.ConsumeToken(kServer);
      sent.push_back(now);
    }
  }
  std::size_t most = 0;
  for (const time_point first : sent) {
    const auto within = std::count_if(sent.begin(), sent.end(), [&](time_point at) {
      return at >= first && at < first + std::chrono::seconds(1);
    });
    most = std::max(most, static_cast<std::size_t>(within));
  }
  return most;
}

TEST_CASE("load pattern: many VMs that use a cold server at the same time stay within its capacity",
          "[dispatch][load]") {
  // Deployments allow 1.5 times the rate plus five requests.
  const double bound = kColdRate * 1.5 + 5;
  for (const std::size_t vms : {1U, 9U, 63U, 390U}) {
    for (const int busy_ms : {200, 1000, 2000}) {
      INFO(vms << " VMs, busy for " << busy_ms << " ms");
      const std::size_t most = MaxRequestsPerSecond(vms, milliseconds(busy_ms));
      CHECK(static_cast<double>(most) <= bound);
      CHECK(most > 0);
    }
  }
}

/// Returns the largest number of requests in four seconds that VMs send to a server whose limit
/// they know, while the store deals its partitions anew and cannot be reached by some VMs for a
/// time.
std::size_t MaxRequestsToLimitedServer(std::size_t vms, double rate, std::uint64_t seed) {
  random_source random(seed);
  std::vector<shared_rate_limits> limits(vms, shared_rate_limits(kStatedRates));
  std::vector<time_point> cut_until(vms, kStart);
  std::vector<time_point> sent;
  for (time_point now = kStart; now < kStart + std::chrono::seconds(30); now += milliseconds(20)) {
    if ((now - kStart) % milliseconds(400) == duration::zero()) {
      const auto cut = std::count_if(cut_until.begin(), cut_until.end(),
                                     [&](time_point until) { return now < until; });
      if (static_cast<std::size_t>(4 * (cut + 1)) <= vms) {
        cut_until[random.Below(vms)] = now + std::chrono::seconds(3);
      }
      // The partitions of VMs that are cut off are dealt to the others.
      std::vector<work_partitions> dealt(vms);
      for (std::size_t partition = 0; partition < kPartitionCount; ++partition) {
        const std::size_t vm = (partition + random.Below(2)) % vms;
        const std::size_t holder = now < cut_until[vm] ? (vm + 1) % vms : vm;
        if (now >= cut_until[holder]) dealt[holder].held.insert(partition);
      }
      for (std::size_t vm = 0; vm < vms; ++vm) {
        dealt[vm].all = kPartitionCount;
        limits[vm].SetPartitions(dealt[vm]);
      }
    }
    for (shared_rate_limits& limit : limits) {
      if (!limit.MaySend(kServer, rate, now)) continue;
      limit.ConsumeToken(kServer);
      sent.push_back(now);
    }
  }
  std::size_t most = 0;
  for (const time_point first : sent) {
    const auto within = std::count_if(sent.begin(), sent.end(), [&](time_point at) {
      return at >= first && at < first + std::chrono::seconds(4);
    });
    most = std::max(most, static_cast<std::size_t>(within));
  }
  return most;
}

// Guards against more requests, from all VMs together, than a server has said that it takes.
TEST_CASE("load pattern: all VMs together keep to the rate that a server states",
          "[dispatch][load]") {
  for (const std::size_t vms : {1U, 8U, 72U}) {
    for (const double rate : {0.5, 4.8, 7.8, 40.0}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO(vms << " VMs, " << rate << " a second, seed " << seed);
        const auto most = static_cast<double>(MaxRequestsToLimitedServer(vms, rate, seed));
        CHECK(most <= 1.5 * 4 * rate + 5);
        CHECK(most >= 2 * rate);
      }
    }
  }
}

// Guards against sending twice what a part of a rate allows at once: the VM that held the part in
// between may just have used it.
TEST_CASE("a VM that gets back its parts of the work does not keep their earlier tokens",
          "[dispatch]") {
  shared_rate_limits limits;
  limits.SetPartitions(PartitionsOf(0, 1));
  CHECK_FALSE(limits.MaySend(kServer, kColdRate, kStart));
  const time_point later = kStart + std::chrono::seconds(1);
  REQUIRE(limits.MaySend(kServer, kColdRate, later));
  limits.SetPartitions({{}, kPartitionCount});
  limits.SetPartitions(PartitionsOf(0, 1));
  CHECK_FALSE(limits.MaySend(kServer, kColdRate, later));
}

// Guards against a VM that is busy for long, or fails, because of a faulty server's limit.
TEST_CASE("a very high rate is divided among the partitions that there are", "[dispatch]") {
  for (const double rate : {1e6, 1e18, 1e300}) {
    shared_rate_limits limits(kStatedRates);
    limits.SetPartitions(PartitionsOf(0, 8));
    CHECK_FALSE(limits.MaySend(kServer, rate, kStart));
    CHECK(limits.MaySend(kServer, rate, kStart + std::chrono::seconds(1)));
  }
}

TEST_CASE("a VM whose parts of the work are not confirmed sends no requests to a cold server",
          "[dispatch]") {
  shared_rate_limits limits;
  limits.SetPartitions(PartitionsOf(0, 1));
  CHECK(!limits.MaySend(kServer, kColdRate, kStart));
  CHECK(limits.MaySend(kServer, kColdRate, kStart + std::chrono::seconds(1)));
  limits.SetPartitions({{}, kPartitionCount});
  CHECK(!limits.MaySend(kServer, kColdRate, kStart + std::chrono::seconds(5)));
}

TEST_CASE("load pattern: a service that fails all its requests exhausts only its own retries",
          "[routing][load]") {
  constexpr double slack = 136;
  constexpr std::size_t vm_count = 9;
  const service_id failing("failing");
  const service_id healthy("sound");
  std::size_t retries = 0;
  std::size_t requests = 0;
  for (std::size_t vm = 0; vm < vm_count; ++vm) {
    service_retry_budgets budget(0.2, slack);
    budget.SetShare(PartitionsOf(vm, vm_count).Share());
    for (int i = 0; i < 200; ++i) {
      budget.RecordRequest(healthy);
      if (i % 10 != 0) continue;
      budget.RecordRequest(failing);
      ++requests;
      for (int attempt = 0; attempt < 3; ++attempt) retries += budget.TryTake(failing) ? 1 : 0;
    }
    CHECK(budget.TryTake(healthy));
  }
  CHECK(static_cast<double>(retries) <= 0.2 * static_cast<double>(requests) + slack);
}

TEST_CASE("a VM that holds no part of the work may still retry one request", "[routing]") {
  service_retry_budgets budget(0.2, 136);
  CHECK(budget.TryTake(service_id("desk")));
  CHECK(!budget.TryTake(service_id("desk")));
}

/// Retries that `kBusyVms` VMs take, all of which retry as often as they may while their processes
/// start again and the store deals its partitions anew among changing members.
class retrying_fleet {
 public:
  static constexpr std::size_t kBusyVms = 63;
  static constexpr double kRatio = 0.2;
  static constexpr double kSlack = 310;
  static constexpr int kWindowSteps = 100;

  explicit retrying_fleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t vm = 0; vm < kBusyVms; ++vm) budgets_.push_back(NewProcess());
  }

  /// Plays one tenth of a second.
  void Step(int step) {
    if (step % 4 == 0) Deal();
    if (step % 10 == 0) budgets_[random_.Below(kBusyVms)] = NewProcess();
    std::size_t retries = 0;
    for (std::size_t vm = 0; vm < kBusyVms; ++vm) {
      for (int request = 0; request < kRequestsPerStep; ++request) {
        budgets_[vm]->RecordRequest(service_);
        while (budgets_[vm]->TryTake(service_)) ++retries;
      }
    }
    retries_.push_back(retries);
  }

  /// Retries of the last window.
  std::size_t WindowRetries() const {
    const auto first =
        retries_.size() > kWindowSteps ? retries_.end() - kWindowSteps : retries_.begin();
    return std::accumulate(first, retries_.end(), std::size_t{0});
  }
  static double Allowed() { return kRatio * kRequestsPerStep * kBusyVms * kWindowSteps + kSlack; }

 private:
  static constexpr int kRequestsPerStep = 1;
  /// Part of the joint budget that the VMs use.
  static constexpr double kUsedPart = 0.7;

  static std::unique_ptr<service_retry_budgets> NewProcess() {
    return std::make_unique<service_retry_budgets>(kRatio * kUsedPart, kSlack * kUsedPart);
  }

  /// Deals all partitions among some of the VMs; the others hold none.
  void Deal() {
    std::vector<std::size_t> held(kBusyVms, 0);
    const std::size_t members = 20 + random_.Below(kBusyVms - 20);
    for (std::size_t i = 0; i < kPartitionCount; ++i) ++held[random_.Below(members)];
    for (std::size_t vm = kBusyVms - 1; vm > 0; --vm) {
      std::swap(held[vm], held[random_.Below(vm + 1)]);
    }
    for (std::size_t vm = 0; vm < kBusyVms; ++vm) {
      budgets_[vm]->SetShare(static_cast<double>(held[vm]) / kPartitionCount);
    }
  }

  const service_id service_{"pool"};
  random_source random_;
  std::vector<std::unique_ptr<service_retry_budgets>> budgets_;
  std::vector<std::size_t> retries_;
};

// Guards against repeats beyond what all VMs together may make, because budgets were refilled when
// processes started again and when shares of the slack moved from VM to VM.
TEST_CASE("load pattern: restarts and changing shares do not add to the joint retry budget",
          "[routing][load]") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    retrying_fleet fleet(seed);
    std::size_t most = 0;
    for (int step = 0; step < 3 * retrying_fleet::kWindowSteps; ++step) {
      fleet.Step(step);
      most = std::max(most, fleet.WindowRetries());
    }
    INFO("seed " << seed);
    CHECK(static_cast<double>(most) <= retrying_fleet::Allowed());
    // The budgets are used, not merely kept small.
    CHECK(static_cast<double>(most) > retrying_fleet::Allowed() / 3);
  }
}

TEST_CASE("registrations are polled frequently only by the controller and after a mismatch",
          "[directory]") {
  registration_poll_interval pace(milliseconds(2000));
  const milliseconds usual = pace.Interval(false, kStart);
  // Two reads of up to 0.8 s each leave time to stop sending to a leaving server.
  CHECK(usual + milliseconds(2 * 500 + 300) < milliseconds(2500));
  CHECK(usual >= milliseconds(700));
  CHECK(pace.Interval(true, kStart) <= milliseconds(150));
  pace.RecordMismatch(kStart);
  CHECK(pace.Interval(false, kStart + milliseconds(500)) <= milliseconds(300));
  CHECK(pace.Interval(false, kStart + std::chrono::seconds(3)) == usual);
}

TEST_CASE("a poll of the operators' records ends before a change must be in force", "[directory]") {
  CHECK(LongestConfigurationWait(milliseconds(2000), milliseconds(5000)) <= milliseconds(1600));
  CHECK(LongestConfigurationWait(milliseconds(3000), milliseconds(5000)) <= milliseconds(2600));
  // Two reads without an answer must not exceed the time for which keys are trusted.
  CHECK(LongestConfigurationWait(milliseconds(60000), milliseconds(5000)) <= milliseconds(2500));
  CHECK(LongestConfigurationWait(milliseconds(100), milliseconds(5000)) > milliseconds(0));
}

}  // namespace
}  // namespace waxwingwing
