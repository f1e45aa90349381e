#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/election/controller_lease.h"

namespace waxwingwing {

/// Simulation of many VMs that compete for the controller's lease in one store.
///
/// The holder tells the others of each renewal, as its feed does. Events are drawn from a seed.
class lease_fleet {
 public:
  struct options {
    std::size_t vms = 295;
    /// Part of the VMs that have a short claim delay.
    double strong = 0.05;
    milliseconds strong_delay{200};
    milliseconds weak_delay{830};
    /// Within this time, the VMs start one after the other.
    milliseconds start_spread{300};
    milliseconds store_latency{4};
    /// Parts of the appends of which the answer is lost, and that take effect up to 3 s later.
    double lost_answers = 0;
    double applied_late = 0;
    milliseconds feed_interval{250};
    std::uint64_t seed = 1;
  };

  explicit lease_fleet(const options& chosen);

  void RunUntil(time_point end);
  /// Ends a VM at once, or stops it for a time after which it goes on with what it knew.
  void Kill(std::size_t vm) { vms_[vm].alive = false; }
  void Freeze(std::size_t vm, duration time) { vms_[vm].frozen_until = now_ + time; }
  /// The store answers no call of the VM until then.
  void CutFromStore(std::size_t vm, duration time) { vms_[vm].cut_until = now_ + time; }
  /// Copies the store, and sets it back to the last copy, which begins a new era.
  void SaveCopy() { copy_ = stored_; }
  void Restore();
  /// Adds a VM that starts now.
  void Join();

  time_point now() const { return now_; }
  /// The VM that may act now; `vms()` when there is none.
  std::size_t Acting() const;
  std::size_t vms() const { return vms_.size(); }
  /// Largest number of VMs that were allowed to act at the same time.
  std::size_t most_acting() const { return most_acting_; }
  /// Number of times that another VM than before was allowed to act.
  std::size_t controllers() const { return controllers_; }
  std::size_t calls() const { return calls_; }
  /// Terms in the order of the first action in each.
  const std::vector<std::uint64_t>& terms() const { return terms_; }

  static time_point Start() { return time_point{std::chrono::hours(1)}; }

 private:
  struct vm {
    std::unique_ptr<controller_lease> lease;
    bool alive = true;
    bool calling = false;
    time_point frozen_until{};
    time_point cut_until{};
  };
  struct event {
    time_point at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void At(time_point at, std::function<void()> action);
  void Step(std::size_t index);
  void Call(std::size_t index, lease_step step);
  /// Runs the effect of a call on a VM: later when it is frozen, and never when it is dead.
  void Deliver(std::size_t index, const std::function<void(controller_lease&)>& action);
  void Append(std::size_t index, std::uint64_t at, time_point sent_at);
  void Feed();
  void Observe();

  const options options_;
  random_source random_;
  time_point now_ = Start();
  std::priority_queue<event> events_;
  std::uint64_t events_added_ = 0;
  std::vector<vm> vms_;
  lease_record stored_;
  lease_record copy_;
  std::size_t most_acting_ = 0;
  std::size_t controllers_ = 0;
  std::size_t last_acting_ = SIZE_MAX;
  std::size_t calls_ = 0;
  std::vector<std::uint64_t> terms_;
};

}  // namespace waxwingwing
