// Compares the replica selection strategies on a discrete-event model, with delayed load reports
// and with prompt prefixes that are partly unknown.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "bench/routing_model.h"

DEFINE_uint64(seed, 1, "seed of the requests");
DEFINE_uint64(requests, 20000, "requests in each run");
DEFINE_double(requests_per_second, 40, "arrival rate over all entry VMs");
DEFINE_string(json, "", "file to which the results are written");

namespace waxwingwing {
namespace {

constexpr const char* kStrategies[] = {"least_loaded", "bounded_affinity", "round_robin",
                                       "entropy_weighted"};

routing_result RunStrategy(const char* name, int lag_ms, double unknown) {
  routing_options options;
  options.strategy = name;
  options.seed = FLAGS_seed;
  options.requests = FLAGS_requests;
  options.requests_per_second = FLAGS_requests_per_second;
  options.report_lag = milliseconds(lag_ms);
  options.unknown_prefixes = unknown;
  return routing_model(options).Run();
}

/// Runs every strategy with one report delay and one share of unknown prefixes; ratios are relative
/// to the first strategy, `least_loaded`.
void Compare(int lag_ms, double unknown, nlohmann::json& rows) {
  routing_result base;
  for (const char* name : kStrategies) {
    const routing_result found = RunStrategy(name, lag_ms, unknown);
    if (name == kStrategies[0]) base = found;
    const double p50 = found.p50_ms / base.p50_ms;
    const double p95 = found.p95_ms / base.p95_ms;
    const double hits = found.hit_rate / base.hit_rate;
    fmt::print("{:>6} {:>8.2f} {:<17} {:>8.0f} {:>6.2f} {:>8.0f} {:>6.2f} {:>6.3f} {:>6.2f}\n",
               lag_ms, unknown, name, found.p50_ms, p50, found.p95_ms, p95, found.hit_rate, hits);
    rows.push_back({{"lag_ms", lag_ms},
                    {"unknown_prefixes", unknown},
                    {"strategy", name},
                    {"p50_ms", found.p50_ms},
                    {"p50_ratio", p50},
                    {"p95_ms", found.p95_ms},
                    {"p95_ratio", p95},
                    {"hit_rate", found.hit_rate},
                    {"hit_ratio", hits}});
  }
}

int Main() {
  fmt::print("seed {}, {} requests at {}/s; ratios to least_loaded\n\n", FLAGS_seed, FLAGS_requests,
             FLAGS_requests_per_second);
  fmt::print("{:>6} {:>8} {:<17} {:>8} {:>6} {:>8} {:>6} {:>6} {:>6}\n", "lag", "unknown",
             "strategy", "p50 (ms)", "ratio", "p95 (ms)", "ratio", "hits", "ratio");
  nlohmann::json rows = nlohmann::json::array();
  for (const double unknown : {0.0, 0.5}) {
    for (const int lag_ms : {0, 500, 2000}) Compare(lag_ms, unknown, rows);
  }
  const nlohmann::json report{{"seed", FLAGS_seed}, {"requests", FLAGS_requests}, {"rows", rows}};
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << report.dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace waxwingwing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return waxwingwing::Main();
}
