#include "soak/entry_soak.h"

#include <algorithm>
#include <stdexcept>

#include "tests/integration/wait_for.h"

namespace waxwingwing::soak {
namespace {

/// Longest time between the starts of two faults, and the range of the duration of a fault; several
/// faults overlap.
constexpr std::uint64_t kMaxGapMs = 900;
constexpr std::uint64_t kMinFaultMs = 200;
constexpr std::uint64_t kMaxFaultMs = 3000;
constexpr milliseconds kStepInterval{50};
/// The users' limit for the time from the return of all machines until service resumes, which
/// applies as long as their store is unavailable.
constexpr milliseconds kRecoveryLimit{12000};
constexpr std::uint64_t kVersionEverySteps = 20;

time_point Now() { return std::chrono::steady_clock::now(); }

}  // namespace

entry_soak::entry_soak(const soak_options& options)
    : options_(options),
      random_(options.seed),
      deployment_({.runners = 6,
                   .services = 2,
                   .group_size = 2,
                   .events = 20,
                   .proxies = !options.unframed}) {}

soak_result entry_soak::Run() {
  deployment_.AddEntry("second");
  deployment_.WaitUntilServing();
  soak_callers callers(deployment_, options_.seed);
  soak_faults faults(
      deployment_, callers, random_, [this] { WriteNewestVersion(); }, options_.unframed);
  for (const auto& service : deployment_.services()) {
    if (options_.unframed) deployment_.SetFault(*service, "unframed", true);
  }
  const time_point start = Now();
  time_point next = start;
  for (std::uint64_t step = 0; Now() - start < options_.length; ++step) {
    const time_point now = Now();
    if (step % kVersionEverySteps == 0) {
      ++version_;
      WriteNewestVersion();
      callers.SetVersion(acknowledged_);
    }
    EndFaults(now);
    if (now >= next) {
      running_fault fault = faults.InjectRandom();
      const auto at = std::chrono::duration_cast<milliseconds>(now - start).count();
      result_.faults.push_back(std::to_string(at) + " " + fault.name);
      const milliseconds fault_duration(kMinFaultMs + random_.Below(kMaxFaultMs - kMinFaultMs));
      running_.push_back({std::move(fault), now + fault_duration});
      next = now + milliseconds(random_.Below(kMaxGapMs));
    }
    std::this_thread::sleep_for(kStepInterval);
  }
  EndFaults(time_point::max());
  CheckRecovery();
  callers.Stop();
  const finding_list findings = callers.Findings();
  for (const finding& item : findings.all()) result_.findings.Add(item.place, item.message);
  CheckRunners();
  result_.sent = callers.sent();
  result_.answered = callers.answered();
  return std::move(result_);
}

void entry_soak::EndFaults(time_point now) {
  std::erase_if(running_, [now](const scheduled_fault& item) {
    if (item.ends_at > now) return false;
    item.fault.end();
    return true;
  });
}

void entry_soak::WriteNewestVersion() {
  auto configuration = deployment_.Configuration(version_);
  // Routes are only ever added, so that a missing route shows that an older version is in force.
  for (std::uint64_t version = 2; version <= version_; ++version) {
    auto route = configuration["routes"][2];
    route["name"] = "since-" + std::to_string(version);
    route["path_prefix"] = "/since/" + std::to_string(version) + "/";
    configuration["routes"].push_back(route);
  }
  try {
    deployment_.WriteConfiguration(configuration);
    acknowledged_ = version_;
  } catch (const std::runtime_error& error) {
    // The store is paused; the write may still take effect.
    result_.faults.push_back("version " + std::to_string(version_) + ": " + error.what());
  }
}

void entry_soak::CheckRecovery() {
  const auto serves = [&](std::size_t entry) {
    const auto stream = deployment_.Stream(entry);
    const auto call = deployment_.CallAt(entry, "POST", "/once/a", {}, "confirm");
    const auto newest =
        deployment_.CallAt(entry, "GET", "/since/" + std::to_string(acknowledged_) + "/x");
    return stream && stream->status == 200 && call && call->status == 200 && newest &&
           newest->status == 200;
  };
  const time_point ended = Now();
  for (std::size_t entry = 0; entry < soak_callers::kEntries; ++entry) {
    const auto left = kRecoveryLimit - std::chrono::duration_cast<milliseconds>(Now() - ended);
    if (integration::WaitFor([&] { return serves(entry); }, left)) continue;
    result_.findings.Add("entry " + std::to_string(entry),
                         "does not serve after all faults have ended");
  }
}

void entry_soak::CheckRunners() {
  for (const auto& runner : deployment_.runners()) {
    for (const auto& violation : deployment_.Records(*runner, "violations")) {
      result_.findings.Add(runner->name(), violation.dump());
    }
    for (const auto& run : deployment_.Records(*runner, "runs")) {
      if (run["has_key"] == true)
        result_.findings.Add(runner->name(), "an API key was passed on to the server");
    }
  }
}

}  // namespace waxwingwing::soak
