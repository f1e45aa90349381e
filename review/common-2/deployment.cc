#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace waxwingwing::review {
namespace {

using nlohmann::json;

constexpr const char* kProgram = "target/waxwingwing";
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kPoll{20};
constexpr milliseconds kReadyLimit{500};
constexpr int kMaxDescriptors = 4100;
constexpr int kFilePermissions = 0644;

int Milliseconds(milliseconds time) { return static_cast<int>(time.count()); }

json Settings(const std::string& name, const std::string& address, const std::string& ready,
              const std::string& store_address) {
  const int link_port = FreePort();
  return {
      {"node_name", name},
      {"role", "entry"},
      {"machine_class", "front"},
      {"serves", {"front"}},
      {"ip", "127.0.0.1"},
      {"zone", "ifo"},
      {"region", "ogun-west"},
      {"zones", {{"ifo", "ogun-west"}}},
      {"listen", {{"front", address}, {"ready", ready}}},
      {"port_range", {link_port, link_port}},
      {"seeds", json::array()},
      {"bootstrap", false},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", kMemoryMegabytes},
        {"max_fds", kMaxDescriptors},
        {"link_mbps", 1000.0},
        {"disk_mb", 0}}},
      {"data_dir", nullptr},
      {"heartbeat_ms", Milliseconds(kHeartbeat)},
      {"bounds",
       {{"contact_ms", 3000},
        {"drain_ms", 2000},
        {"grace_s", 8},
        {"config_apply_ms", 2000},
        {"strict_revoke", true},
        {"revoke_ms", 5000},
        {"retry_ratio", 0.2},
        {"retry_window_s", 10},
        {"retry_slack", 136},
        {"recovery_s", 12}}},
      {"platform", {{"addr", store_address}, {"form", "log"}, {"parts", 4}, {"ttl_min_ms", 1000}}}};
}

}  // namespace

desk_runner::desk_runner(std::string id, platform_store& store, case_record& record,
                         milliseconds work)
    : id_(std::move(id)),
      store_(store),
      record_(record),
      work_(work),
      server_(std::make_unique<http_server>(
          [this](const http_request& request) { return Handle(request); })),
      address_(server_->address()),
      registering_([this] { RegisterPeriodically(); }) {}

desk_runner::~desk_runner() { stopped_ = true; }

http_response desk_runner::Handle(const http_request& request) {
  const std::string id = request.Header("request-id");
  const std::string expected = request.Header("expect-instance");
  if (!expected.empty() && expected != id_) {
    return {421, {{"Request-Id", id}, {"Not-Executed", "1"}}, {}};
  }
  if (request.path == "/healthz") return {200, {{"Instance-Id", id_}}, {}};
  record_.AddRun(id_, id);
  record_.Write("runner " + id_ + " runs " + id + ", tenant '" + request.Header("tenant") + "'");
  std::this_thread::sleep_for(work_);
  http_response response = {
      200, {{"Request-Id", id}, {"Response-Signature", id_ + "." + id}}, "answer to " + id};
  if (draining_) response.headers["Server-Leaving"] = "1";
  return response;
}

void desk_runner::Drain(bool forget) {
  draining_ = true;
  Register(forget);
  record_.Write("the store acknowledges that runner " + id_ + " is draining");
}

void desk_runner::Exit() {
  stopped_ = true;
  registering_.join();
  store_.Write("keyed.servers", id_, {});
  record_.Write("runner " + id_ + " exits");
  server_.reset();
}

void desk_runner::Register(bool forget) {
  const std::lock_guard lock(mutex_);
  const json entry = {{"service", "desk"},
                      {"addr", address_},
                      {"zone", "ifo"},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", draining_ ? "draining" : "ready"},
                      {"cold_left_ms", 0},
                      {"seq", ++registrations_},
                      {"born", 1796600000000},
                      {"models", json::array()}};
  if (forget) {
    store_.WriteAndForget("keyed.servers", id_, entry.dump());
  } else {
    store_.Write("keyed.servers", id_, entry.dump());
  }
}

void desk_runner::RegisterPeriodically() {
  while (!stopped_) {
    Register(false);
    const time_point next = Now() + kHeartbeat;
    while (!stopped_ && Now() < next) std::this_thread::sleep_for(kPoll);
  }
}

entry_machine::entry_machine(std::string name, const std::string& store_address,
                             const std::string& folder, case_record& record)
    : name_(std::move(name)),
      address_(Loopback(FreePort())),
      ready_address_(Loopback(FreePort())),
      settings_path_(folder + "/" + name_ + ".json"),
      log_path_(folder + "/" + name_ + ".log"),
      record_(record) {
  std::ofstream(settings_path_) << Settings(name_, address_, ready_address_, store_address).dump();
}

entry_machine::~entry_machine() { Kill(); }

void entry_machine::Start() {
  const int log =
      ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFilePermissions);
  const std::string variable = "WAXWINGWING_SETTINGS=" + settings_path_;
  process_ = ::fork();
  if (process_ < 0) throw std::runtime_error("cannot start a process");
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    const char* arguments[] = {kProgram, "entry", nullptr};   // NOLINT
    const char* environment[] = {variable.c_str(), nullptr};  // NOLINT
    ::execve(kProgram, const_cast<char**>(arguments),         // NOLINT
             const_cast<char**>(environment));                // NOLINT
    ::_exit(2);
  }
  ::close(log);
  record_.Write("machine " + name_ + ": process " + std::to_string(process_) + " starts at " +
                address_);
}

void entry_machine::Kill() {
  if (process_ == 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
  record_.Write("machine " + name_ + ": process " + std::to_string(process_) + " was killed");
  process_ = 0;
}

bool entry_machine::IsRunning() {
  return process_ != 0 && ::waitpid(process_, nullptr, WNOHANG) == 0;
}

bool entry_machine::IsReady() const {
  return Call(ready_address_, "GET", "/v1/ready", {}, {}, kReadyLimit).status == 200;
}

bool entry_machine::WaitUntilReady(milliseconds limit) const {
  const time_point deadline = Now() + limit;
  while (Now() < deadline) {
    if (IsReady()) return true;
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

std::size_t entry_machine::ResidentKilobytes() const {
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  std::string name;
  while (status >> name) {
    std::size_t kilobytes = 0;
    if (name == "VmRSS:" && status >> kilobytes) return kilobytes;
  }
  return 0;
}

json FirstConfiguration() {
  const json route = {{"name", "confirm"},
                      {"host", "desk.example"},
                      {"path_prefix", "/confirm/"},
                      {"type", "non_idempotent"},
                      {"timeout_ms", 4000},
                      {"goal_ms", 400},
                      {"priority", 1},
                      {"attempts", 1},
                      {"anonymous", false},
                      {"service", "desk"}};
  return {
      {"version", 1},
      {"routes", json::array({route})},
      {"services",
       {{{"name", "desk"}, {"max_conns", 110}, {"cold_per_s", 0}, {"health_path", "/healthz"}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "first"}, {"api_keys", {kKey}}, {"priority", 1}}}}};
}

http_answer CallDesk(const entry_machine& machine, const std::string& request,
                     const std::string& key, milliseconds limit) {
  const header_map headers = {{"Host", "desk.example"},
                              {"Request-Id", request},
                              {"Deadline-Ms", std::to_string(limit.count())},
                              {"Api-Key", key}};
  return Call(machine.address(), "POST", "/confirm/order", headers, "confirm", limit);
}

}  // namespace waxwingwing::review
