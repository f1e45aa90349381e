// Replays a seeded month of VM failures against several planner policies and compares their cost
// with a lower bound.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/fleet_model.h"
#include "bench/packing_search.h"

DEFINE_uint64(seed, 1, "seed of the failures");
DEFINE_uint64(days, 30, "length of the replay");
DEFINE_uint64(fabrics, 2, "fabric domains in the failure domain");
DEFINE_uint32(spares, 3, "VMs that each model group wants to keep free in a fabric domain");
DEFINE_double(weight_gb, 80, "weights that one VM loads, in GB");
DEFINE_double(store_gb_per_s, 5, "rate of the weight store, in GB/s");
DEFINE_string(json, "", "file to which the results are written");

namespace waxwingwing {
namespace {

struct policy {
  std::string name;
  planner_options options;
};

std::vector<policy> Policies() {
  planner_options baseline;
  baseline.leaving = leaving_policy::kInPlace;
  std::vector<policy> policies{{"replace_member, best_fit, leaving in place", baseline}};
  planner_options changed = baseline;
  changed.leaving = leaving_policy::kFormFirst;
  policies.push_back({"replace_member, best_fit, leaving form first", changed});
  changed = baseline;
  changed.max_isolated_expired_reports = 0;
  policies.push_back({"replace_member, best_fit, 4 s silence for all", changed});
  changed = baseline;
  changed.packing = "first_fit";
  changed.spares = spare_policy::kCold;
  policies.push_back({"replace_member, first_fit, cold spares", changed});
  changed = baseline;
  changed.repair = "reform";
  policies.push_back({"reform, best_fit", changed});
  changed.packing = "first_fit";
  changed.max_isolated_expired_reports = 0;
  changed.spares = spare_policy::kCold;
  policies.push_back({"reform, first_fit, 4 s silence, cold spares", changed});
  return policies;
}

void AddGroup(configuration& config, const failure_domain_id& domain, std::uint32_t size,
              std::uint32_t replicas, std::uint32_t priority) {
  model_group_config group;
  group.id = model_group_id(fmt::format("size{:02}", size));
  group.model = group.id.str();
  group.failure_domains = {domain};
  group.replicas = replicas;
  group.vms_per_replica = size;
  group.priority = priority;
  group.spares = FLAGS_spares;
  config.model_groups[group.id].value = group;
}

/// Builds a configuration that uses about nine tenths of the VMs, for replicas of 16, 8, 4 and 2
/// VMs.
configuration MakeConfiguration(std::size_t fabrics) {
  configuration config;
  const failure_domain_id domain("abeokuta");
  config.failure_domains[domain].value.id = domain;
  const auto scale = static_cast<std::uint32_t>(fabrics);
  AddGroup(config, domain, 16, scale, 1);
  AddGroup(config, domain, 8, scale + scale / 2, 3);
  AddGroup(config, domain, 4, scale + scale / 2, 5);
  AddGroup(config, domain, 2, 2 * scale + 1, 7);
  return config;
}

nlohmann::json RunPolicy(const policy& candidate, const fleet_options& fleet,
                         const std::vector<failure_event>& failures, milliseconds length) {
  auto planner = replica_planner::Create(candidate.options);
  fleet_model model(fleet, MakeConfiguration(fleet.shape.fabrics), std::move(*planner));
  const fleet_result result = model.Run(failures, length);
  const double down_ratio = result.group_seconds_down / result.bound.group_seconds;
  const double stranded_ratio =
      result.accelerator_seconds_stranded / result.bound.accelerator_seconds;
  fmt::print("{:<46} {:>6} {:>10.0f} {:>10.0f} {:>6.2f} {:>11.0f} {:>11.0f} {:>6.2f}\n",
             candidate.name, result.affected, result.group_seconds_down, result.bound.group_seconds,
             down_ratio, result.accelerator_seconds_stranded, result.bound.accelerator_seconds,
             stranded_ratio);
  std::fflush(stdout);
  return {{"policy", candidate.name},
          {"failures", result.failures},
          {"struck", result.affected},
          {"orders", result.orders},
          {"group_seconds_down", result.group_seconds_down},
          {"group_seconds_bound", result.bound.group_seconds},
          {"down_ratio", down_ratio},
          {"accelerator_seconds_stranded", result.accelerator_seconds_stranded},
          {"accelerator_seconds_bound", result.bound.accelerator_seconds},
          {"stranded_ratio", stranded_ratio}};
}

nlohmann::json RunPacking() {
  fmt::print("\n{:<46} {:>6} {:>10} {:>10} {:>6}\n", "packing of small cases", "cases", "placed",
             "best", "ratio");
  nlohmann::json rows = nlohmann::json::array();
  for (const char* name : {"best_fit", "first_fit"}) {
    const packing_score score = ScorePacking(name, 300, FLAGS_seed);
    fmt::print("{:<46} {:>6} {:>10.0f} {:>10.0f} {:>6.3f}\n", score.strategy, score.cases,
               score.placed_vms, score.best_vms, score.ratio());
    rows.push_back({{"strategy", score.strategy},
                    {"cases", score.cases},
                    {"placed_vms", score.placed_vms},
                    {"best_vms", score.best_vms},
                    {"ratio", score.ratio()}});
  }
  return rows;
}

int Main() {
  fleet_options fleet;
  fleet.shape.fabrics = FLAGS_fabrics;
  fleet.weight_bytes_per_vm = FLAGS_weight_gb * 1e9;
  fleet.store_bytes_per_second = FLAGS_store_gb_per_s * 1e9;
  const milliseconds length = std::chrono::hours(24 * FLAGS_days);
  const auto failures = GenerateFailureTrace(fleet.shape, length, FLAGS_seed);
  fmt::print("{} VMs, {} failures in {} days, seed {}, {:.1f} s to load one VM\n\n",
             fleet.shape.vms(), failures.size(), FLAGS_days, FLAGS_seed,
             fleet.weight_bytes_per_vm / fleet.store_bytes_per_second);
  fmt::print("{:<46} {:>6} {:>10} {:>10} {:>6} {:>11} {:>11} {:>6}\n", "policy", "struck",
             "down (s)", "bound (s)", "ratio", "strand(a*s)", "bound(a*s)", "ratio");
  nlohmann::json report{{"seed", FLAGS_seed}, {"days", FLAGS_days}, {"vms", fleet.shape.vms()}};
  report["policies"] = nlohmann::json::array();
  for (const policy& candidate : Policies()) {
    report["policies"].push_back(RunPolicy(candidate, fleet, failures, length));
  }
  report["packing"] = RunPacking();
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << report.dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace waxwingwing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return waxwingwing::Main();
}
