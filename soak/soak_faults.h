#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/soak_callers.h"
#include "tests/integration/entry_deployment.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing::soak {

/// A fault in force and the function that ends it.
struct running_fault {
  std::string name;
  /// May be called even if the process has ended in the meantime.
  std::function<void()> end;
};

/// Injects random faults into the processes of a deployment: signals, connections that proxies
/// close, delay, silence or freeze in one direction, answers that are wrong, lost or repeated, and
/// restores of the store from a copy.
class soak_faults {
 public:
  /// `write_again` is called after a restore and writes what the operators have written last.
  /// `unframed`: kills servers that answer without a length or chunks; injects no faults of paths.
  soak_faults(integration::entry_deployment& deployment, soak_callers& callers,
              random_source& random, std::function<void()> write_again, bool unframed)
      : deployment_(deployment),
        callers_(callers),
        random_(random),
        write_again_(std::move(write_again)),
        unframed_(unframed) {}

  /// Starts a fault of a random kind on a random process.
  running_fault InjectRandom();

 private:
  running_fault InjectPathFault();
  running_fault PauseProcess();
  running_fault KillRunner();
  running_fault KillEntry();
  running_fault StopEntry();
  running_fault InjectAnswerFault();
  running_fault InjectStoreFault();
  /// Saves a copy of the store, to which it goes back when the fault ends.
  running_fault RestoreStore();
  /// Lets a plain service reject calls and repeat each refusal in front of the next answer.
  running_fault CopyRefusals();
  /// Lets a server answer without a length or chunks and kills it while it does.
  running_fault KillUnframedServer();
  std::size_t AnyService() { return random_.Below(deployment_.services().size()); }
  std::size_t AnyRunner() { return random_.Below(deployment_.runners().size()); }
  /// Returns a process by the kind and index of its name in fault lists: `entry 0`, `runner 2`,
  /// `store`.
  integration::child_process& Process(const std::string& kind, std::size_t index);
  /// Sets a fault of a stand-in. Returns false for one that is paused or has exited, since it
  /// cannot receive the request.
  bool Set(integration::child_process& stand_in, const std::string& fault,
           const nlohmann::json& value);

  integration::entry_deployment& deployment_;
  soak_callers& callers_;
  random_source& random_;
  const std::function<void()> write_again_;
  const bool unframed_;
  std::set<std::string> paused_;
};

}  // namespace waxwingwing::soak
