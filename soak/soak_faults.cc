#include "soak/soak_faults.h"

#include <array>
#include <stdexcept>
#include <thread>

#include "tests/integration/platform_processes.h"

namespace waxwingwing::soak {
namespace {

using integration::child_process;
using nlohmann::json;

/// Time within which an entry VM exits by itself after SIGTERM.
constexpr milliseconds kStopLimit{8500};
/// Calls to the store that take effect without an answer: about two of the loops of each entry VM.
constexpr std::uint64_t kLostAnswers = 5;
/// Time for which a server answers without a length before it is killed; a stream takes 400 ms.
constexpr milliseconds kUnframedTime{300};

struct path_fault {
  const char* name;
  json value;
  /// Value that ends the fault; null when the fault ends by itself.
  json end;
};

const std::vector<path_fault>& PathFaults() {
  static const std::vector<path_fault> kFaults = {
      {"cut", true, false},
      {"delay_ms", 150, 0},
      {"freeze_to_target", true, false},
      {"freeze_from_target", true, false},
      {"silence_open", true, nullptr},
      {"drop_answers", 8, nullptr},
  };
  return kFaults;
}

}  // namespace

running_fault soak_faults::InjectRandom() {
  using injector = running_fault (soak_faults::*)();
  // Network paths have more kinds of faults than the other targets, so they are drawn more often.
  static constexpr std::array<injector, 11> kKinds = {
      &soak_faults::InjectPathFault,  &soak_faults::InjectPathFault,
      &soak_faults::InjectPathFault,  &soak_faults::PauseProcess,
      &soak_faults::KillRunner,       &soak_faults::KillEntry,
      &soak_faults::StopEntry,        &soak_faults::InjectAnswerFault,
      &soak_faults::InjectStoreFault, &soak_faults::RestoreStore,
      &soak_faults::CopyRefusals};
  // A proxy in front of a server hides whether the server's process runs.
  static constexpr std::array<injector, 8> kUnframedKinds = {
      &soak_faults::KillUnframedServer, &soak_faults::KillUnframedServer,
      &soak_faults::KillUnframedServer, &soak_faults::PauseProcess,
      &soak_faults::KillEntry,          &soak_faults::StopEntry,
      &soak_faults::InjectAnswerFault,  &soak_faults::RestoreStore};
  if (unframed_) return (this->*kUnframedKinds.at(random_.Below(kUnframedKinds.size())))();
  return (this->*kKinds.at(random_.Below(kKinds.size())))();
}

child_process& soak_faults::Process(const std::string& kind, std::size_t index) {
  if (kind == "entry") return deployment_.Entry(index);
  if (kind == "runner") return *deployment_.runners().at(index);
  if (kind == "service") return *deployment_.services().at(index);
  return deployment_.store();
}

bool soak_faults::Set(child_process& stand_in, const std::string& fault, const json& value) {
  if (paused_.contains(stand_in.name()) || !stand_in.Running()) return false;
  try {
    integration::SetFaults(stand_in, {{fault, value}});
  } catch (const std::exception& error) {
    throw std::runtime_error(stand_in.name() + ": " + fault + ": " + error.what());
  }
  return true;
}

running_fault soak_faults::InjectPathFault() {
  std::vector<std::string> names{"store", "desk-1", "desk-2"};
  for (std::size_t runner = 0; runner < deployment_.runners().size(); ++runner) {
    names.push_back("runner-" + std::to_string(runner));
  }
  const std::string name = names.at(random_.Below(names.size()));
  const path_fault& fault = PathFaults().at(random_.Below(PathFaults().size()));
  Set(deployment_.ProxyOf(name), fault.name, fault.value);
  const auto end = [this, name, &fault] {
    if (!fault.end.is_null()) Set(deployment_.ProxyOf(name), fault.name, fault.end);
  };
  return {std::string(fault.name) + " " + name, end};
}

running_fault soak_faults::PauseProcess() {
  static constexpr std::array kKinds = {"entry", "runner", "store", "service"};
  const std::string kind = kKinds.at(random_.Below(kKinds.size()));
  std::size_t index = 0;
  if (kind == "entry") index = random_.Below(soak_callers::kEntries);
  if (kind == "runner") index = AnyRunner();
  if (kind == "service") index = AnyService();
  child_process& process = Process(kind, index);
  process.Pause();
  paused_.insert(process.name());
  const auto end = [this, kind, index] {
    child_process& paused = Process(kind, index);
    paused.Continue();
    paused_.erase(paused.name());
  };
  return {"pause " + process.name(), end};
}

running_fault soak_faults::KillRunner() {
  const std::size_t index = AnyRunner();
  deployment_.runners().at(index)->Kill();
  const auto end = [this, index] {
    if (!deployment_.runners().at(index)->Running()) deployment_.RestartRunner(index);
  };
  return {"kill " + deployment_.runners().at(index)->name(), end};
}

running_fault soak_faults::KillEntry() {
  const std::size_t index = random_.Below(soak_callers::kEntries);
  callers_.EntryReplaced(index);
  deployment_.Entry(index).Kill();
  const auto end = [this, index] {
    if (!deployment_.Entry(index).Running()) deployment_.RestartEntry(index);
  };
  return {"kill " + deployment_.Entry(index).name(), end};
}

running_fault soak_faults::StopEntry() {
  const std::size_t index = random_.Below(soak_callers::kEntries);
  callers_.EntryReplaced(index);
  deployment_.Entry(index).Terminate();
  const auto end = [this, index] {
    child_process& entry = deployment_.Entry(index);
    if (!entry.WaitForExit(kStopLimit)) entry.Kill();
    callers_.EntryReplaced(index);
    deployment_.RestartEntry(index);
  };
  return {"terminate " + deployment_.Entry(index).name(), end};
}

running_fault soak_faults::InjectAnswerFault() {
  static constexpr std::array kService = {"drop_answers", "extra", "reject"};
  static constexpr std::array kRunner = {"break_after", "drop_answers", "extra", "reject"};
  const bool service = random_.Below(2) == 0;
  const std::string fault = service ? kService.at(random_.Below(kService.size()))
                                    : kRunner.at(random_.Below(kRunner.size()));
  child_process& target =
      service ? *deployment_.services()[AnyService()] : *deployment_.runners()[AnyRunner()];
  Set(target, fault, 4 + random_.Below(8));
  return {fault + " " + target.name(), [] {}};
}

running_fault soak_faults::InjectStoreFault() {
  child_process& store = deployment_.store();
  switch (random_.Below(3)) {
    case 0:
      Set(store, "lose_answers", kLostAnswers);
      return {"lose_answers store", [] {}};
    case 1:
      Set(store, "drop_history", true);
      return {"drop_history store", [] {}};
    default:
      Set(store, "miss_wakes", true);
      return {"miss_wakes store", [this] { Set(deployment_.store(), "miss_wakes", false); }};
  }
}

running_fault soak_faults::RestoreStore() {
  // Without a recent copy, the store would go back to one that is too old.
  if (!Set(deployment_.store(), "save_copy", true)) return {"no copy of the paused store", [] {}};
  const auto end = [this] {
    if (Set(deployment_.store(), "restore", true)) write_again_();
  };
  return {"restore store", end};
}

running_fault soak_faults::CopyRefusals() {
  const std::size_t index = AnyService();
  child_process& service = *deployment_.services()[index];
  Set(service, "copy_refusals", true);
  Set(service, "reject", 4 + random_.Below(8));
  const auto end = [this, index] { Set(*deployment_.services()[index], "copy_refusals", false); };
  return {"copy_refusals " + service.name(), end};
}

running_fault soak_faults::KillUnframedServer() {
  const std::size_t index = AnyRunner();
  child_process& runner = *deployment_.runners()[index];
  Set(runner, "unframed", true);
  std::this_thread::sleep_for(kUnframedTime);
  runner.Kill();
  const auto end = [this, index] {
    if (!deployment_.runners()[index]->Running()) deployment_.RestartRunner(index);
  };
  return {"unframed, kill " + runner.name(), end};
}

}  // namespace waxwingwing::soak
