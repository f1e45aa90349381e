#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "soak/soak_callers.h"
#include "tests/integration/entry_deployment.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing::soak {

/// A fault that was begun and what ends it.
struct running_fault {
  std::string name;
  /// May be called although the process has ended meanwhile.
  std::function<void()> end;
};

/// Begins random faults on the processes of a deployment: signals, connections that are cut,
/// delayed, silenced or frozen in one direction by proxies, and answers that go wrong.
class soak_faults {
 public:
  soak_faults(integration::entry_deployment& deployment, soak_callers& callers,
              random_source& random)
      : deployment_(deployment), callers_(callers), random_(random) {}

  running_fault Begin();

 private:
  running_fault BreakPath();
  running_fault PauseProcess();
  running_fault KillRunner();
  running_fault KillEntry();
  running_fault StopEntry();
  running_fault SpoilAnswers();
  running_fault SpoilStore();
  std::size_t AnyService() { return random_.Below(deployment_.services().size()); }
  std::size_t AnyRunner() { return random_.Below(deployment_.runners().size()); }
  /// A process by the name under which faults refer to it: `entry 0`, `runner 2`, `store`.
  integration::child_process& Process(const std::string& kind, std::size_t index);
  /// Sets a fault of a stand-in; one that is paused or gone cannot be told and is left alone.
  void Set(integration::child_process& stand_in, const std::string& fault,
           const nlohmann::json& value);

  integration::entry_deployment& deployment_;
  soak_callers& callers_;
  random_source& random_;
  std::set<std::string> paused_;
};

}  // namespace waxwingwing::soak
