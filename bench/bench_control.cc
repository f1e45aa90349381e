// Measures the cost of the control plane for an idle entry VM by the size of the deployment, and
// fits linear slopes.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <exception>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "bench/control_measurement.h"
#include "bench/linear_fit.h"

DEFINE_string(sizes, "3x4,3x16,9x4,9x16,18x4,18x16",
              "deployments to measure: entry VMs and engines of each of 3 failure domains");
DEFINE_double(seconds, 15, "duration of one measurement");
DEFINE_double(notes_per_second, 1, "release notes published in the second measurement of a size");
DEFINE_string(json, "", "file for the results");

namespace {

using nlohmann::json;
using waxwingwing::bench::control_measurement;
using waxwingwing::bench::control_rates;
using waxwingwing::bench::deployment_size;
using waxwingwing::bench::FitLinear;
using waxwingwing::bench::linear_fit;
using waxwingwing::bench::observation;

struct measured_point {
  deployment_size size;
  control_rates idle;
  control_rates publishing;
};

struct quantity {
  const char* name;
  double control_rates::*value;
};

constexpr quantity kQuantities[] = {
    {"cpu %", &control_rates::cpu_percent},
    {"max cpu %", &control_rates::max_cpu_percent},
    {"rss MB", &control_rates::resident_mb},
    {"peer sent B/s", &control_rates::peer_sent},
    {"peer received B/s", &control_rates::peer_received},
    {"log sent B/s", &control_rates::log_sent},
    {"log received B/s", &control_rates::log_received},
    {"vm list B/s", &control_rates::vm_list_received},
    {"backend B/s", &control_rates::backend_bytes},
    {"log appends/s (all)", &control_rates::log_appends_per_second},
};

std::vector<deployment_size> ParseSizes(const std::string& text) {
  std::vector<deployment_size> sizes;
  std::istringstream items(text);
  std::string item;
  while (std::getline(items, item, ',')) {
    const auto cross = item.find('x');
    sizes.push_back({std::stoul(item.substr(0, cross)), std::stoul(item.substr(cross + 1))});
  }
  return sizes;
}

void PrintRates(const deployment_size& size, const control_rates& rates) {
  std::cout << fmt::format("{:3d} entry VMs {:3d} engines {:4.1f} notes/s load {:.1f}-{:.1f}",
                           size.entry_vms(), size.engines(), rates.notes_per_second,
                           rates.load_before, rates.load_after);
  for (const quantity& item : kQuantities) {
    std::cout << fmt::format(" | {} {:.2f}", item.name, rates.*item.value);
  }
  const std::vector<double>& in_force = rates.in_force_seconds;
  if (!in_force.empty()) {
    std::cout << fmt::format(" | in force s median {:.2f} max {:.2f}",
                             in_force[in_force.size() / 2], in_force.back());
  }
  std::cout << std::endl;
}

measured_point MeasurePoint(const deployment_size& size) {
  measured_point point;
  point.size = size;
  control_measurement measurement(size);
  point.idle = measurement.Measure(FLAGS_seconds, 0);
  PrintRates(size, point.idle);
  point.publishing = measurement.Measure(FLAGS_seconds, FLAGS_notes_per_second);
  PrintRates(size, point.publishing);
  return point;
}

/// All failure domains have the same size here, so the numbers of peers in the own domain and in
/// other domains grow together and only one of them can be fitted.
linear_fit FitOf(const std::vector<measured_point>& points, const quantity& item) {
  std::vector<observation> observations;
  observations.reserve(points.size());
  for (const measured_point& point : points) {
    observations.push_back(
        {{static_cast<double>(point.size.entry_vms()), static_cast<double>(point.size.engines())},
         point.idle.*item.value});
  }
  return FitLinear(observations);
}

json PrintFits(const std::vector<measured_point>& points) {
  json fits = json::object();
  for (const quantity& item : kQuantities) {
    const linear_fit fit = FitOf(points, item);
    if (!fit.determined) continue;
    std::cout << fmt::format(
        "{:20s} = {:10.3f} + {:9.4f} per entry VM ({:9.4f} per one in the domain) + {:9.4f} per "
        "engine; largest residual {:.3f}\n",
        item.name, fit.constant, fit.slopes[0], 3 * fit.slopes[0], fit.slopes[1],
        fit.largest_residual);
    fits[item.name] = {{"constant", fit.constant},
                       {"per_entry_vm", fit.slopes[0]},
                       {"per_engine", fit.slopes[1]},
                       {"largest_residual", fit.largest_residual}};
  }
  return fits;
}

json ToJson(const std::vector<measured_point>& points) {
  json list = json::array();
  for (const measured_point& point : points) {
    list.push_back({{"entry_vms", point.size.entry_vms()},
                    {"engines", point.size.engines()},
                    {"idle", waxwingwing::bench::ToJson(point.idle)},
                    {"publishing", waxwingwing::bench::ToJson(point.publishing)}});
  }
  return list;
}

void Run() {
  std::vector<measured_point> points;
  for (const deployment_size& size : ParseSizes(FLAGS_sizes)) points.push_back(MeasurePoint(size));
  const json fits = PrintFits(points);
  if (FLAGS_json.empty()) return;
  std::ofstream file(FLAGS_json);
  file << json{{"points", ToJson(points)}, {"fits", fits}}.dump(1) << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    Run();
  } catch (const std::exception& error) {
    std::cerr << "bench_control: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
