// Measures service while a failure domain is taken out and returns: real processes with open-loop
// load through all entry VMs, at a steady load and at a load above the capacity of the remaining
// domains.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>

#include "bench/drill_report.h"
#include "tests/integration/open_loop_load.h"
#include "tests/integration/serving_deployment.h"
#include "tests/integration/wait_for.h"

DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_uint32(phase_s, 8,
              "seconds before the domain leaves, while it is out, and after its return");
DEFINE_double(steady, 0.6, "steady load as a fraction of the capacity of two domains");
DEFINE_double(overload, 1.3, "high load as a fraction of the capacity of two domains");
DEFINE_string(json, "", "file to which the results are written");

namespace waxwingwing {
namespace {

using integration::deployment;
using integration::open_loop_load;
using nlohmann::json;

constexpr std::uint64_t kTokens = 40;
constexpr std::uint64_t kMsPerToken = 10;
constexpr std::uint64_t kMaxRequests = 8;
constexpr std::uint64_t kReplicasPerDomain = 2;
constexpr std::size_t kDomains = 3;
constexpr const char* kDomain = "sagamu";
// Time that callers wait for an answer to begin.
constexpr milliseconds kDeadline{2000};
constexpr std::size_t kConnections = 256;

/// Capacity of two failure domains by their request limits, in requests per second.
double TwoDomainCapacity() {
  const double seconds = static_cast<double>(kTokens * kMsPerToken) / 1000;
  return static_cast<double>((kDomains - 1) * kReplicasPerDomain * kMaxRequests) / seconds;
}

void SetDomainState(deployment& running, const std::string& state) {
  const json status = integration::StatusOf(running, "abeokuta-entry-0");
  json note = {{"note_id", "drill-" + state}};
  for (const json& domain : status.at("configuration").at("failure_domains")) {
    if (domain.at("id") == kDomain) note["base_revision"] = domain.at("revision");
  }
  note["change"]["failure_domains"] = json::array({{{"id", kDomain}, {"state", state}}});
  const auto answer = running.ApplyReleaseNote(note, "abeokuta-entry-0");
  if (answer.status != 200 || answer.Json().at("state") != "accepted") {
    throw std::runtime_error(answer.body);
  }
}

json RunDrill(double load_factor) {
  auto shape = integration::ThreeDomains(kReplicasPerDomain * 2, 2);
  shape.engine_flags = {"--load_bytes=1000000", fmt::format("--ms_per_token={}", kMsPerToken),
                        "--warm_up_ms=1000"};
  deployment running(shape);
  const json group = {{"max_requests", kMaxRequests}, {"replicas", kReplicasPerDomain}};
  integration::StartServing(running, integration::NoteWithModelGroup(running, "start", group),
                            kDomains * kReplicasPerDomain);
  open_loop_load::settings options;
  options.seed = FLAGS_seed;
  options.requests_per_second = load_factor * TwoDomainCapacity();
  options.max_tokens = kTokens;
  options.deadline = kDeadline;
  options.connections = kConnections;
  open_loop_load load(running, options);
  const auto phase = std::chrono::seconds(FLAGS_phase_s);
  std::this_thread::sleep_for(phase);
  drill_times times;
  times.out_us = integration::MonotonicMicros();
  SetDomainState(running, "out");
  std::this_thread::sleep_for(phase);
  times.back_us = integration::MonotonicMicros();
  SetDomainState(running, "in");
  std::this_thread::sleep_for(phase);
  times.end_us = integration::MonotonicMicros();
  json report = ReportDrill(load.Finish(), running.Records("engine"), times);
  report["load_factor"] = load_factor;
  report["requests_per_second"] = options.requests_per_second;
  return report;
}

void Print(const char* name, const json& report) {
  fmt::print("{}: {:.0f} requests/s ({:.2f} of the capacity of two domains)\n", name,
             report.at("requests_per_second").get<double>(),
             report.at("load_factor").get<double>());
  for (const char* phase : {"before", "during"}) {
    fmt::print("  {:<7} {}\n", phase, report.at(phase).dump());
  }
  fmt::print(
      "  failed {}, p95 first token ratio {:.2f}, refused {:.4f}, repeated tokens {:.4f}\n",
      report.at("failed").get<std::uint64_t>(), report.at("first_token_p95_ratio").get<double>(),
      report.at("refused_share").get<double>(), report.at("repeated_token_share").get<double>());
}

int Main() {
  json report = {{"seed", FLAGS_seed}, {"phase_s", FLAGS_phase_s}};
  report["steady"] = RunDrill(FLAGS_steady);
  Print("steady", report["steady"]);
  report["overload"] = RunDrill(FLAGS_overload);
  Print("overload", report["overload"]);
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << report.dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace waxwingwing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return waxwingwing::Main();
}
