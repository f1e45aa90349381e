#include "waxwingwing/daemon/settings.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "waxwingwing/platform/ip_endpoint.h"
#include "waxwingwing/routing/replica_selector.h"

DEFINE_string(vm_id, "", "id of this entry VM, as on the platform's VM list");
DEFINE_string(failure_domain, "", "failure domain of this entry VM");
DEFINE_string(cluster, "", "name that all entry VMs of one deployment share");
DEFINE_string(caller_address, "127.0.0.1:0", "ip:port for callers; port 0: assigned by the system");
DEFINE_string(peer_address, "127.0.0.1:0", "ip:port for peers; port 0: assigned by the system");
DEFINE_string(log_address, "", "ip:port of the platform's log service");
DEFINE_string(vm_list_address, "", "ip:port of the platform's VM list");
DEFINE_uint32(worker_threads, 2, "number of threads that serve requests, 1 to 64");
DEFINE_uint32(max_connections, 4096, "maximum concurrent caller connections, 1 to 100000");
DEFINE_uint32(drain_grace_ms, 2000,
              "time between reporting not ready and refusing connections, in milliseconds");
DEFINE_uint32(drain_limit_ms, 600000,
              "maximum time that a shutdown waits for running requests, in milliseconds");
DEFINE_uint32(first_byte_timeout_ms, 10000,
              "maximum time to the first byte of a backend server's response, in milliseconds");
DEFINE_uint32(stream_buffer_bytes, 16384, "bytes buffered for one stream, 4096 to 1048576");
DEFINE_uint64(process_buffer_bytes, std::uint64_t{64} << 20U,
              "bytes buffered for all streams, 1048576 or more");
DEFINE_string(routing_strategy, "bounded_affinity",
              "bounded_affinity, least_loaded, round_robin or entropy_weighted");

namespace waxwingwing {

namespace {

constexpr std::string_view kVariablePrefix = "WAXWINGWING_";

std::vector<gflags::CommandLineFlagInfo> OwnFlags() {
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::erase_if(all, [](const gflags::CommandLineFlagInfo& flag) {
    return !flag.filename.ends_with("daemon/settings.cc");
  });
  return all;
}

bool IsOwnFlag(const std::string& name) {
  const auto flags = OwnFlags();
  return std::any_of(flags.begin(), flags.end(),
                     [&](const auto& flag) { return flag.name == name; });
}

std::string VariableName(std::string_view flag) {
  std::string name(kVariablePrefix);
  std::transform(flag.begin(), flag.end(), std::back_inserter(name),
                 [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
  return name;
}

void SetFlag(const std::string& name, const std::string& value, const std::string& place,
             finding_list& findings) {
  const std::string answer = gflags::SetCommandLineOption(name.c_str(), value.c_str());
  if (answer.empty()) findings.Add(place, "invalid value \"" + value + "\"");
}

/// Sets flags from `--name=value`, or from `--name value` with the value in the next argument.
void ReadArguments(const std::vector<std::string>& arguments, finding_list& findings) {
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (!argument.starts_with("--")) {
      findings.Add(argument, "is not a flag; flags begin with --");
      continue;
    }
    const std::size_t equals = argument.find('=');
    const std::string name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
    if (!IsOwnFlag(name)) {
      findings.Add("--" + name, "unknown flag");
      continue;
    }
    if (equals != std::string::npos) {
      SetFlag(name, argument.substr(equals + 1), "--" + name, findings);
    } else if (i + 1 < arguments.size()) {
      SetFlag(name, arguments[++i], "--" + name, findings);
    } else {
      findings.Add("--" + name, "has no value");
    }
  }
}

void ReadEnvironment(finding_list& findings) {
  for (const gflags::CommandLineFlagInfo& flag : OwnFlags()) {
    const std::string variable = VariableName(flag.name);
    const char* value = std::getenv(variable.c_str());  // NOLINT(concurrency-mt-unsafe)
    if (value == nullptr || !flag.is_default) continue;
    SetFlag(flag.name, value, variable, findings);
  }
}

void RequireText(const std::string& value, const char* flag, finding_list& findings) {
  if (value.empty()) findings.Add(flag, "must be set");
}

void RequireEndpoint(const std::string& value, const char* flag, finding_list& findings) {
  const auto endpoint = ParseIpEndpoint(value);
  if (!endpoint) findings.Add(flag, endpoint.reason());
}

void RequireRange(std::uint64_t value, std::uint64_t low, std::uint64_t high, const char* flag,
                  finding_list& findings) {
  if (value >= low && value <= high) return;
  findings.Add(flag, "must be from " + std::to_string(low) + " to " + std::to_string(high));
}

void CheckFlags(finding_list& findings) {
  RequireText(FLAGS_vm_id, "--vm_id", findings);
  RequireText(FLAGS_failure_domain, "--failure_domain", findings);
  RequireText(FLAGS_cluster, "--cluster", findings);
  RequireEndpoint(FLAGS_caller_address, "--caller_address", findings);
  RequireEndpoint(FLAGS_peer_address, "--peer_address", findings);
  RequireEndpoint(FLAGS_log_address, "--log_address", findings);
  RequireEndpoint(FLAGS_vm_list_address, "--vm_list_address", findings);
  RequireRange(FLAGS_worker_threads, 1, 64, "--worker_threads", findings);
  RequireRange(FLAGS_max_connections, 1, 100000, "--max_connections", findings);
  RequireRange(FLAGS_drain_grace_ms, 0, 600000, "--drain_grace_ms", findings);
  RequireRange(FLAGS_drain_limit_ms, 0, 3600000, "--drain_limit_ms", findings);
  RequireRange(FLAGS_first_byte_timeout_ms, 10, 600000, "--first_byte_timeout_ms", findings);
  RequireRange(FLAGS_stream_buffer_bytes, 4096, 1048576, "--stream_buffer_bytes", findings);
  RequireRange(FLAGS_process_buffer_bytes, 1048576, std::uint64_t{1} << 40U,
               "--process_buffer_bytes", findings);
  const auto selector = MakeReplicaSelector(FLAGS_routing_strategy);
  if (!selector) findings.Add("--routing_strategy", selector.reason());
}

}  // namespace

daemon_settings ReadDaemonSettings(const std::vector<std::string>& arguments,
                                   finding_list& findings) {
  ReadArguments(arguments, findings);
  ReadEnvironment(findings);
  CheckFlags(findings);
  daemon_settings settings;
  settings.vm = vm_id(FLAGS_vm_id);
  settings.failure_domain = failure_domain_id(FLAGS_failure_domain);
  settings.cluster = FLAGS_cluster;
  settings.caller_address = FLAGS_caller_address;
  settings.peer_address = FLAGS_peer_address;
  settings.log_address = FLAGS_log_address;
  settings.vm_list_address = FLAGS_vm_list_address;
  settings.worker_threads = FLAGS_worker_threads;
  settings.max_connections = FLAGS_max_connections;
  settings.drain_grace = milliseconds(FLAGS_drain_grace_ms);
  settings.drain_limit = milliseconds(FLAGS_drain_limit_ms);
  settings.first_byte_timeout = milliseconds(FLAGS_first_byte_timeout_ms);
  settings.stream_buffer = byte_count(FLAGS_stream_buffer_bytes);
  settings.process_buffer = byte_count(FLAGS_process_buffer_bytes);
  settings.routing_strategy = FLAGS_routing_strategy;
  return settings;
}

std::string DescribeDaemonFlags() {
  std::string text;
  for (const gflags::CommandLineFlagInfo& flag : OwnFlags()) {
    text += "  --" + flag.name + " (" + flag.type + ", default \"" + flag.default_value +
            "\", environment " + VariableName(flag.name) + ")\n      " + flag.description + "\n";
  }
  return text;
}

}  // namespace waxwingwing
