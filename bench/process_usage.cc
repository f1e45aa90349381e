#include "bench/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>

#include "tests/integration/http_client.h"

namespace waxwingwing::bench {

namespace {

constexpr double kBytesPerKilobyte = 1024;
/// Fields of `/proc/PID/stat` between the command name and utime.
constexpr int kFieldsBeforeUserTime = 11;

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

double CpuSeconds(pid_t pid) {
  const std::string stat = ReadFile("/proc/" + std::to_string(pid) + "/stat");
  // The command name may hold spaces; the last parenthesis ends it.
  std::istringstream fields(stat.substr(stat.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentBytes(pid_t pid) {
  std::istringstream status(ReadFile("/proc/" + std::to_string(pid) + "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) * kBytesPerKilobyte;
  }
  throw std::runtime_error("no VmRSS");
}

/// Value of a time series, given by its name with labels; 0 when it does not exist yet.
double MetricOf(const std::string& text, const std::string& series) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(series + " ")) return std::stod(line.substr(series.size() + 1));
  }
  return 0;
}

double PlatformBytes(const std::string& text, const std::string& direction,
                     const std::string& service) {
  return MetricOf(
      text, "waxwingwing_platform_bytes_" + direction + "_total{service=\"" + service + "\"}");
}

}  // namespace

process_usage ReadUsage(pid_t pid, const std::string& caller_address) {
  process_usage usage;
  usage.cpu_seconds = CpuSeconds(pid);
  usage.resident_bytes = ResidentBytes(pid);
  const std::string text = integration::http_client(caller_address).Get("/metrics").body;
  usage.peer_sent = MetricOf(text, "waxwingwing_peer_bytes_sent_total");
  usage.peer_received = MetricOf(text, "waxwingwing_peer_bytes_received_total");
  usage.log_sent = PlatformBytes(text, "sent", "log");
  usage.log_received = PlatformBytes(text, "received", "log");
  usage.vm_list_received = PlatformBytes(text, "received", "vm_list");
  usage.backend_bytes =
      PlatformBytes(text, "sent", "backend") + PlatformBytes(text, "received", "backend");
  return usage;
}

double LoadAverage() {
  std::istringstream text(ReadFile("/proc/loadavg"));
  double load = 0;
  text >> load;
  return load;
}

}  // namespace waxwingwing::bench
