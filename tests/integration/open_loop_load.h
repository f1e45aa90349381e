#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/serving_deployment.h"

namespace waxwingwing::integration {

/// Streamed chat completions at random times, which do not wait for earlier ones to end.
///
/// Requests go to the entry VMs in turn. Use: construct, do something to the deployment, `Finish`.
class open_loop_load {
 public:
  struct settings {
    std::uint64_t seed = 1;
    double requests_per_second = 20;
    std::uint64_t max_tokens = 20;
    milliseconds deadline{10000};
    /// Requests beyond this many at a time start late; their times count from when they were due.
    std::size_t connections = 32;
  };

  enum class outcome { kWhole, kRefusedNotRun, kFailed };

  struct request {
    std::string entry_vm;
    std::int64_t due_us = 0;
    std::int64_t first_token_us = 0;
    std::int64_t ended_us = 0;
    outcome result = outcome::kFailed;
    /// Code of a refusal or what went wrong; empty for a whole answer.
    std::string reason;
  };

  /// Starts at once.
  open_loop_load(deployment& running, const settings& options);
  open_loop_load(const open_loop_load&) = delete;
  open_loop_load& operator=(const open_loop_load&) = delete;
  ~open_loop_load();

  /// Starts no further requests, waits for the running ones and returns all.
  std::vector<request> Finish();

 private:
  struct target {
    std::string entry_vm;
    std::string address;
  };
  struct arrival {
    std::uint64_t number = 0;
    std::int64_t due_us = 0;
  };

  void Work();
  arrival NextArrival();
  request Send(const arrival& next) const;

  const settings settings_;
  std::vector<target> targets_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::uint64_t random_state_;
  arrival next_;
  std::vector<request> requests_;
  std::vector<std::thread> threads_;
};

/// Requests that failed otherwise than by a refusal that says `not_run`, one per line.
std::string FailuresText(const std::vector<open_loop_load::request>& requests);

}  // namespace waxwingwing::integration
