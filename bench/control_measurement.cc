#include "bench/control_measurement.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <stdexcept>
#include <thread>

#include "tests/integration/http_client.h"
#include "tests/integration/serving_deployment.h"

namespace waxwingwing::bench {

using integration::http_client;
using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kVmsPerReplica = 2;
constexpr double kPercent = 100;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
/// Poll interval for notes that are not in force yet; the resolution of `in_force_seconds`.
constexpr milliseconds kPollInterval{50};
/// Time for the roster, leases and first status pushes to settle after the last replica serves.
constexpr std::chrono::seconds kSettleTime{5};
/// Notes that are still not in force this long after the end of the measurement are an error.
constexpr std::chrono::seconds kInForceLimit{30};

double SecondsSince(steady::time_point start) {
  return std::chrono::duration<double>(steady::now() - start).count();
}

integration::deployment_settings SettingsOf(const deployment_size& size) {
  return integration::ThreeDomains(size.engines_per_domain, size.entry_vms_per_domain);
}

/// Adds the usage of one entry VM between two readings to the sums.
void AddUsage(control_rates& sums, const process_usage& before, const process_usage& after) {
  const double cpu = after.cpu_seconds - before.cpu_seconds;
  sums.cpu_percent += cpu * kPercent;
  sums.max_cpu_percent = std::max(sums.max_cpu_percent, cpu * kPercent);
  sums.resident_mb += after.resident_bytes / kBytesPerMegabyte;
  sums.peer_sent += after.peer_sent - before.peer_sent;
  sums.peer_received += after.peer_received - before.peer_received;
  sums.log_sent += after.log_sent - before.log_sent;
  sums.log_received += after.log_received - before.log_received;
  sums.vm_list_received += after.vm_list_received - before.vm_list_received;
  sums.backend_bytes += after.backend_bytes - before.backend_bytes;
}

/// Turns sums over all entry VMs and the measuring time into means per entry VM and second.
void Average(control_rates& sums, double entry_vms, double seconds) {
  for (double* sum : {&sums.cpu_percent, &sums.peer_sent, &sums.peer_received, &sums.log_sent,
                      &sums.log_received, &sums.vm_list_received, &sums.backend_bytes}) {
    *sum /= entry_vms * seconds;
  }
  sums.resident_mb /= entry_vms;
  sums.max_cpu_percent /= seconds;
}

}  // namespace

control_measurement::control_measurement(const deployment_size& size)
    : running_(SettingsOf(size)), entry_vms_(running_.VmIds("entry")) {
  const std::size_t replicas = size.engines_per_domain / kVmsPerReplica;
  const json note =
      integration::NoteWithModelGroup(running_, "bench-base", {{"replicas", replicas}});
  integration::StartServing(running_, note, 3 * replicas);
  revision_ = running_.ApplyReleaseNote(note).Json().at("revision").get<std::uint64_t>();
  std::this_thread::sleep_for(kSettleTime);
}

control_rates control_measurement::Measure(double seconds, double notes_per_second) {
  control_rates rates;
  rates.load_before = LoadAverage();
  const std::uint64_t appends = LogAppends();
  const std::vector<process_usage> before = ReadAll();
  const auto start = steady::now();
  if (notes_per_second > 0) {
    rates.in_force_seconds = PublishNotes(seconds, notes_per_second);
    rates.notes_per_second =
        static_cast<double>(rates.in_force_seconds.size()) / SecondsSince(start);
  } else {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
  const double elapsed = SecondsSince(start);
  const std::vector<process_usage> after = ReadAll();
  for (std::size_t index = 0; index < after.size(); ++index) {
    AddUsage(rates, before.at(index), after.at(index));
  }
  Average(rates, static_cast<double>(after.size()), elapsed);
  rates.log_appends_per_second = static_cast<double>(LogAppends() - appends) / elapsed;
  rates.load_after = LoadAverage();
  return rates;
}

std::vector<double> control_measurement::PublishNotes(double seconds, double notes_per_second) {
  std::vector<double> in_force;
  std::map<std::string, steady::time_point> pending;
  const auto start = steady::now();
  const std::chrono::duration<double> interval(1 / notes_per_second);
  std::size_t published = 0;
  while (SecondsSince(start) < seconds || !pending.empty()) {
    if (SecondsSince(start) > seconds + std::chrono::duration<double>(kInForceLimit).count()) {
      throw std::runtime_error("a release note did not come into force");
    }
    const bool due = SecondsSince(start) >= static_cast<double>(published) * interval.count();
    if (due && SecondsSince(start) < seconds) {
      const auto submitted = steady::now();
      pending.emplace(PublishNote(), submitted);
      ++published;
    }
    std::erase_if(pending, [&](const auto& item) {
      if (!IsInForce(item.first)) return false;
      in_force.push_back(SecondsSince(item.second));
      return true;
    });
    std::this_thread::sleep_for(kPollInterval);
  }
  std::sort(in_force.begin(), in_force.end());
  return in_force;
}

std::string control_measurement::PublishNote() {
  std::string id = "bench-note-" + std::to_string(++notes_);
  const json acme = {
      {"id", "acme"}, {"priority", 5}, {"share", 1 + notes_ % 2}, {"max_queue", 256}};
  const json note = {{"note_id", id},
                     {"base_revision", revision_},
                     {"change", {{"organisations", json::array({acme})}}}};
  const auto answer = running_.ApplyReleaseNote(note);
  const json verdict = answer.Json();
  if (answer.status != 200 || verdict.at("state") != "accepted") {
    throw std::runtime_error("release note not accepted: " + answer.body);
  }
  revision_ = verdict.at("revision").get<std::uint64_t>();
  return id;
}

bool control_measurement::IsInForce(const std::string& note) {
  const http_client client(running_.CallerAddress(entry_vms_.front()));
  const json body = client.Get("/v1/admin/release_notes/" + note).Json();
  if (!body.contains("in_force")) return false;
  std::size_t confirmed = 0;
  for (const json& domain : body.at("in_force")) {
    confirmed += domain.at("confirmed").get<std::size_t>();
  }
  return confirmed == entry_vms_.size();
}

std::vector<process_usage> control_measurement::ReadAll() {
  std::vector<process_usage> all;
  for (const std::string& id : entry_vms_) {
    all.push_back(ReadUsage(running_.vm(id).pid(), running_.CallerAddress(id)));
  }
  return all;
}

std::uint64_t control_measurement::LogAppends() {
  std::uint64_t appends = 0;
  const http_client client(running_.log().Address());
  for (const char* stream : {"control", "snapshots", "claims"}) {
    const std::string path = std::string("/v1/streams/") + stream + "/records?from=0&limit=1";
    appends += client.Get(path).Json().at("next_offset").get<std::uint64_t>();
  }
  return appends;
}

json ToJson(const control_rates& rates) {
  return {{"cpu_percent", rates.cpu_percent},
          {"max_cpu_percent", rates.max_cpu_percent},
          {"resident_mb", rates.resident_mb},
          {"peer_sent_bytes_per_second", rates.peer_sent},
          {"peer_received_bytes_per_second", rates.peer_received},
          {"log_sent_bytes_per_second", rates.log_sent},
          {"log_received_bytes_per_second", rates.log_received},
          {"vm_list_received_bytes_per_second", rates.vm_list_received},
          {"backend_bytes_per_second", rates.backend_bytes},
          {"log_appends_per_second", rates.log_appends_per_second},
          {"notes_per_second", rates.notes_per_second},
          {"in_force_seconds", rates.in_force_seconds},
          {"load_before", rates.load_before},
          {"load_after", rates.load_after}};
}

}  // namespace waxwingwing::bench
