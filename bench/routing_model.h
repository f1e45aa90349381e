#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/routing/replica_selector.h"

namespace waxwingwing {

struct routing_options {
  std::string strategy;
  std::uint64_t seed = 1;
  std::size_t requests = 20000;
  std::size_t entry_vms = 3;
  std::size_t replicas = 8;
  /// Requests that a replica runs at a time; further requests wait in its queue.
  std::uint32_t slots = 16;
  /// Number of prompt prefixes that the cache of a replica holds.
  std::size_t cache_entries = 40;
  /// Number of distinct prompt prefixes; their popularity falls with the rank (Zipf).
  std::size_t prefixes = 200;
  double requests_per_second = 40;
  /// Age of the load reports.
  milliseconds report_lag{0};
  /// Fraction of requests whose prompt prefix is unknown to the entry VM, as when cache information
  /// is late or missing.
  double unknown_prefixes = 0;
};

struct routing_result {
  double p50_ms = 0;
  double p95_ms = 0;
  double hit_rate = 0;
};

/// Discrete-event model of entry VMs that send requests to replicas with bounded prompt caches.
///
/// The first-token latency is the wait for a slot plus the prefill, which a cache hit shortens. The
/// time per token grows with the running requests, as in continuous batching. One replica is slower
/// than the others by half. Every entry VM has its own selector and in-flight counts.
class routing_model {
 public:
  explicit routing_model(const routing_options& options);

  routing_result Run();

 private:
  struct request {
    std::size_t entry_vm = 0;
    std::uint64_t prefix = 0;
    double arrived_ms = 0;
    double tokens = 0;
  };

  struct replica_state {
    double slow_factor = 1;
    std::uint32_t running = 0;
    std::deque<request> waiting;
    /// Most recently used first.
    std::list<std::uint64_t> recent;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached;
    /// Number of running and waiting requests over time, from which delayed reports are taken.
    std::deque<std::pair<double, std::uint32_t>> history;
  };

  struct completion {
    double at_ms = 0;
    std::size_t replica = 0;
    std::size_t entry_vm = 0;

    bool operator>(const completion& other) const { return at_ms > other.at_ms; }
  };

  void Arrive();
  void Complete(const completion& done);
  void Start(std::size_t replica, const request& item);
  bool LookUp(replica_state& replica, std::uint64_t prefix) const;
  void RecordLoad(replica_state& replica);
  std::uint32_t ReportedLoad(replica_state& replica) const;
  std::uint64_t DrawPrefix();
  time_point Now() const;

  const routing_options options_;
  random_source random_;
  std::vector<double> popularity_;
  std::vector<replica_state> replicas_;
  std::vector<std::unique_ptr<replica_selector>> selectors_;
  /// Candidate replicas as each entry VM sees them.
  std::vector<std::vector<backend_view>> views_;
  std::priority_queue<completion, std::vector<completion>, std::greater<>> completions_;
  double now_ms_ = 0;
  std::vector<double> first_token_ms_;
  std::size_t hits_ = 0;
};

}  // namespace waxwingwing
