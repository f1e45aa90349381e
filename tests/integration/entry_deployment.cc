#include "tests/integration/entry_deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <stdexcept>

#include "tests/integration/free_address.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr milliseconds kServingLimit{15000};
constexpr const char* kKey = "key-of-first-organisation";

std::string NextRequestId() {
  static std::atomic<std::uint64_t> next{1};
  return "request-" + std::to_string(next++);
}

std::string KeyedRecord(const std::string& key, const std::string& value) {
  const std::string content = static_cast<char>(key.size()) + key + value;
  std::string record;
  for (int shift = 24; shift >= 0; shift -= 8) {
    record += static_cast<char>(content.size() >> static_cast<unsigned>(shift) & 0xffU);
  }
  return record + content;
}

}  // namespace

entry_deployment::entry_deployment(const options& chosen) : options_(chosen) {
  const auto& folder = folder_.path();
  store_ = std::make_unique<child_process>("store", STAND_INS_PROGRAM,
                                           std::vector<std::string>{"store"}, folder);
  store_address_ = options_.proxies ? StartProxy("store", store_->Address()) : store_->Address();
  if (options_.duties) {
    duties_ = std::make_unique<child_process>("duties", STAND_INS_PROGRAM,
                                              std::vector<std::string>{"duties"}, folder);
  }
  for (std::size_t i = 1; i <= options_.services; ++i) {
    services_.push_back(StartServer("desk-" + std::to_string(i),
                                    {"--service=desk", "--streams=false", "--fabric="}));
  }
  for (std::size_t i = 0; i < options_.runners; ++i) runners_.push_back(StartRunner(i));
  WriteConfiguration(Configuration(1));
  AddEntryVm("entry", "entry-1");
}

std::unique_ptr<child_process> entry_deployment::StartServer(
    const std::string& id, const std::vector<std::string>& flags) {
  std::vector<std::string> arguments{"model_runner", "--store_address=" + store_->Address(),
                                     "--vm_id=" + id};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  // Each life writes to files of its own, since the address is read from them.
  const std::string name = fmt::format("{}-life-{}", id, ++server_lives_);
  auto server = std::make_unique<child_process>(name, STAND_INS_PROGRAM, arguments, folder_.path());
  if (options_.proxies) {
    SetFault(*server, "advertise", StartProxy(id, server->Address()));
  }
  return server;
}

std::unique_ptr<child_process> entry_deployment::StartRunner(std::size_t index) {
  return StartServer("runner-" + std::to_string(index),
                     {"--events=" + std::to_string(options_.events)});
}

std::string entry_deployment::StartProxy(const std::string& name, const std::string& target) {
  auto& proxy = proxies_[name];
  proxy = std::make_unique<child_process>(
      fmt::format("{}-proxy-{}", name, server_lives_), STAND_INS_PROGRAM,
      std::vector<std::string>{"proxy", "--target=" + target}, folder_.path());
  return proxy->Address();
}

void entry_deployment::RestartRunner(std::size_t index) { runners_.at(index) = StartRunner(index); }

void entry_deployment::RestartEntry(std::size_t index) {
  entry_vm& restarted = entries_.at(index);
  restarted.process = StartEntry(restarted.name, restarted.settings);
}

std::unique_ptr<child_process> entry_deployment::StartEntry(const std::string& name,
                                                            const nlohmann::json& settings) {
  const auto path = folder_.path() / (name + "-settings.json");
  std::ofstream(path) << settings.dump();
  return std::make_unique<child_process>(
      name, WAXWINGWING_PROGRAM, std::vector<std::string>{"entry", "--settings=" + path.string()},
      folder_.path());
}

child_process& entry_deployment::AddEntryVm(const std::string& name, const std::string& vm) {
  entry_vm added{name, FreeAddress(), FreeAddress(), {}, nullptr};
  added.settings = Settings(vm, added.caller_address, added.ready_address);
  added.process = StartEntry(name, added.settings);
  entries_.push_back(std::move(added));
  return *entries_.back().process;
}

child_process& entry_deployment::AddEntry(const std::string& name) {
  return AddEntryVm(name, name);
}

nlohmann::json entry_deployment::Settings(const std::string& vm, const std::string& caller_address,
                                          const std::string& ready_address) const {
  const int link_port = FreePortPair();
  nlohmann::json limits = nlohmann::json::object();
  if (options_.memory_mb > 0) limits["memory_mb"] = options_.memory_mb;
  if (options_.max_fds > 0) limits["max_fds"] = options_.max_fds;
  nlohmann::json settings = {
      {"node_name", vm},
      {"limits", limits},
      {"zone", "ifo"},
      {"ip", "127.0.0.1"},
      {"bootstrap", true},
      {"port_range", {link_port, link_port + 1}},
      {"listen", {{"front", caller_address}, {"ready", ready_address}}},
      {"zones", {{"ifo", "ogun-west"}}},
      {"bounds",
       {{"strict_revoke", true},
        {"revoke_ms", 5000},
        {"config_apply_ms", 2000},
        {"drain_ms", 2000},
        {"grace_s", 8},
        {"retry_ratio", 0.2},
        {"retry_slack", 136},
        {"retry_window_s", 10}}},
      {"platform", {{"addr", store_address_}, {"parts", 4}, {"ttl_min_ms", 1000}}}};
  if (duties_ == nullptr) return settings;
  settings["bounds"].update(nlohmann::json{
      {"report_window_s", 2}, {"usage_late_s", 4}, {"lease_ms", 1000}, {"thaw_ms", 300}});
  settings["cloud_api"] = {
      {"addr", duties_->Address()}, {"duties", {"metering"}}, {"duty_per_s", 50.0}};
  return settings;
}

std::string entry_deployment::LinkAddress() const {
  const nlohmann::json& settings = entries_.front().settings;
  return settings.at("ip").get<std::string>() + ":" +
         std::to_string(settings.at("port_range").at(0).get<int>());
}

nlohmann::json entry_deployment::Configuration(std::uint64_t version) const {
  const auto route = [](const char* name, const char* prefix, const char* type) {
    return nlohmann::json{{"name", name},  {"host", "desk.example"}, {"path_prefix", prefix},
                          {"type", type},  {"timeout_ms", 4000},     {"goal_ms", 400},
                          {"priority", 1}, {"attempts", 2},          {"anonymous", false}};
  };
  nlohmann::json stream = route("stream", "/stream/", "streaming");
  stream["service"] = "pool";
  stream["can_resume"] = true;
  stream["sticky"] = true;
  nlohmann::json once = route("once", "/once/", "non_idempotent");
  once["service"] = "desk";
  nlohmann::json lookup = route("lookup", "/lookup/", "idempotent");
  lookup["service"] = "desk";
  const nlohmann::json model = {{"name", "large"}, {"size", options_.group_size}, {"share", 1.0}};
  return {
      {"version", version},
      {"routes", {stream, once, lookup}},
      {"services",
       {{{"name", "pool"},
         {"max_conns", 100},
         {"cold_per_s", 26},
         {"engine", {{"slots", 26}, {"models", {model}}}}},
        {{"name", "desk"}, {"max_conns", 100}, {"cold_per_s", 0}, {"health_path", "/healthz"}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", options_.max_body_bytes},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "first"}, {"api_keys", {kKey}}, {"priority", 1}}}}};
}

void entry_deployment::WriteRecord(const std::string& topic, const std::string& key,
                                   const std::string& value) {
  const http_client client(store_->Address());
  const auto answer = client.Send(
      {"POST", "/v1/log-append?topic=" + topic + "&part=0", {}, KeyedRecord(key, value)});
  if (!answer) throw std::runtime_error(answer.reason());
}

void entry_deployment::WriteOperatorRecord(const std::string& key, const std::string& value) {
  WriteRecord("keyed.op", key, value);
}

void entry_deployment::WriteRegistration(const std::string& key, const std::string& value) {
  WriteRecord("keyed.servers", key, value);
}

void entry_deployment::WriteConfiguration(const nlohmann::json& configuration) {
  WriteOperatorRecord("config", configuration.dump());
}

void entry_deployment::WaitUntilServing() {
  const http_client ready(ready_address());
  const bool serving = WaitFor(
      [&] {
        const auto answer = ready.Send({"GET", "/v1/ready", {}, ""});
        if (!answer || answer->status != 200) return false;
        const auto streamed = Stream();
        return streamed && streamed->status == 200;
      },
      kServingLimit);
  if (!serving) throw std::runtime_error("the deployment does not serve: " + entry().LogTail());
}

result<http_answer> entry_deployment::CallAt(std::size_t index, const std::string& method,
                                             const std::string& path, header_list headers,
                                             const std::string& body) const {
  const auto has = [&](const std::string& name) {
    return std::any_of(headers.begin(), headers.end(),
                       [&](const auto& header) { return header.first == name; });
  };
  if (!has("Host")) headers.emplace_back("Host", "desk.example");
  if (!has("Request-Id")) headers.emplace_back("Request-Id", NextRequestId());
  if (!has("Deadline-Ms")) headers.emplace_back("Deadline-Ms", "4000");
  if (!has("Api-Key")) headers.emplace_back("Api-Key", kKey);
  return http_client(CallerAddress(index)).Send({method, path, headers, body});
}

result<http_answer> entry_deployment::StreamOf(const std::string& parts, std::size_t entry) const {
  header_list headers = {{"Model", "large"}, {"Token-Usage", "100,60"}};
  if (!parts.empty()) headers.emplace_back("Prefix-Hash", parts);
  return CallAt(entry, "POST", "/stream/2f", std::move(headers), "prompt");
}

void entry_deployment::SetFault(child_process& stand_in, const std::string& name,
                                const nlohmann::json& value) {
  http_client(stand_in.Address()).Post("/v1/test/faults", {{name, value}});
}

nlohmann::json entry_deployment::Records(child_process& stand_in, const std::string& list) {
  const auto records = http_client(stand_in.Address()).Get("/v1/test/records").Json();
  return records.contains(list) ? records[list] : nlohmann::json::array();
}

child_process& entry_deployment::RunnerInState(const std::string& state, std::size_t rank) {
  std::string open_group;
  for (const auto& runner : runners_) {
    if (!runner->Running()) continue;
    const auto report = http_client(runner->Address()).Get("/v1/report").Json();
    if (!report.contains("group") || report["group"]["state"] != "open") continue;
    open_group = report["group"]["name"];
  }
  for (auto& runner : runners_) {
    if (!runner->Running()) continue;
    const auto report = http_client(runner->Address()).Get("/v1/report").Json();
    if (!report.contains("group") || report["group"]["name"] != open_group) continue;
    if (report["group"]["rank"] == rank && (state.empty() || report["group"]["state"] == state)) {
      return *runner;
    }
  }
  throw std::runtime_error("no runner has rank " + std::to_string(rank) + " in an open group");
}

child_process& entry_deployment::Head() { return RunnerInState("open", 0); }

child_process& entry_deployment::Member() { return RunnerInState("", 1); }

std::size_t entry_deployment::RunsOf(const std::string& request) {
  std::size_t count = 0;
  const auto add = [&](child_process& stand_in) {
    if (!stand_in.Running()) return;
    for (const auto& run : Records(stand_in, "runs")) count += run["request"] == request ? 1 : 0;
  };
  for (const auto& service : services_) add(*service);
  for (const auto& runner : runners_) add(*runner);
  return count;
}

std::vector<std::string> entry_deployment::EventIds(const std::string& body) {
  std::vector<std::string> ids;
  std::size_t place = 0;
  while ((place = body.find("id: ", place)) != std::string::npos) {
    const std::size_t start = place + 4;
    place = body.find('\n', start);
    ids.push_back(body.substr(start, place - start));
  }
  return ids;
}

std::vector<nlohmann::json> entry_deployment::LogLines(const std::string& event,
                                                       const std::string& entry) const {
  std::ifstream file(folder_.path() / (entry + ".out"));
  std::vector<nlohmann::json> lines;
  std::string line;
  while (std::getline(file, line)) {
    auto parsed = nlohmann::json::parse(line, nullptr, false);
    if (parsed.is_object() && parsed.value("event", "") == event) lines.push_back(parsed);
  }
  return lines;
}

}  // namespace waxwingwing::integration
