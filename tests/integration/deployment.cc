#include "tests/integration/deployment.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

std::vector<std::string> WithFlags(std::vector<std::string> flags,
                                   const std::vector<std::string>& more) {
  // The last value of a flag counts, so settings of a test win.
  flags.insert(flags.end(), more.begin(), more.end());
  return flags;
}

json NewEntry(const std::string& id, const std::string& role, const std::string& domain,
              const std::string& fabric_domain) {
  return {{"id", id},
          {"role", role},
          {"service", ""},
          {"failure_domain", domain},
          {"fabric_domain", fabric_domain},
          {"accelerators", role == "engine" ? 2 : 0},
          {"state", "live"}};
}

std::string FabricDomain(const std::string& domain, std::size_t number) {
  return domain + "-fabric-" + std::to_string(number);
}

}  // namespace

deployment::deployment(deployment_settings settings) : settings_(std::move(settings)) {
  StartPlatform();
  for (const domain_settings& domain : settings_.domains) AddBackendServers(domain);
  for (const domain_settings& domain : settings_.domains) {
    for (std::size_t number = 0; number < domain.entry_vms; ++number) AddEntryVm(domain.id);
  }
}

void deployment::StartPlatform() {
  log_ = processes_.StartStandIn("log", "log", settings_.log_flags);
  weight_store_ =
      processes_.StartStandIn("weight_store", "weight_store", settings_.weight_store_flags);
  shared_view_ = std::make_unique<vm_view>(processes_, "vm_list", settings_.vm_list_flags);
}

void deployment::AddBackendServers(const domain_settings& domain) {
  for (std::size_t number = 0; number < domain.engines; ++number) {
    AddEngine(domain.id, FabricDomain(domain.id, number % domain.fabric_domains));
  }
  for (std::size_t number = 0; number < domain.services; ++number) AddService(domain.id);
}

std::string deployment::AddEngine(const std::string& domain, const std::string& fabric_domain) {
  return Add(NewEntry(NextId(domain, "engine"), "engine", domain, fabric_domain));
}

std::string deployment::AddService(const std::string& domain) {
  json entry = NewEntry(NextId(domain, "service"), "service", domain, FabricDomain(domain, 0));
  entry["service"] = settings_.service;
  return Add(std::move(entry));
}

std::string deployment::AddEntryVm(const std::string& domain) {
  return Add(NewEntry(NextId(domain, "entry"), "entry", domain, FabricDomain(domain, 0)));
}

std::string deployment::NextId(const std::string& domain, const std::string& role) const {
  return domain + "-" + role + "-" + std::to_string(VmIds(role, domain).size());
}

std::vector<std::string> deployment::VmIds(const std::string& role,
                                           const std::string& domain) const {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : entries_) {
    const bool in_domain = domain.empty() || entry.at("failure_domain") == domain;
    if (entry.at("role") == role && in_domain) ids.push_back(id);
  }
  return ids;
}

std::string deployment::Add(json entry) {
  std::string id = entry.at("id").get<std::string>();
  entries_[id] = std::move(entry);
  Restart(id);
  return id;
}

void deployment::Restart(const std::string& id) {
  json& entry = entries_.at(id);
  std::vector<vm_run>& runs = runs_[id];
  if (!runs.empty() && runs.back().process->Running()) {
    throw std::logic_error(id + " still runs");
  }
  runs.push_back(StartRun(entry));
  const std::string field = entry.at("role") == "entry" ? "peer_address" : "address";
  entry["address"] = runs.back().process->Address(field);
  PutInViews(id);
}

deployment::vm_run deployment::StartRun(const json& entry) {
  const std::string id = entry.at("id").get<std::string>();
  const std::string role = entry.at("role").get<std::string>();
  const std::string name = id + "-run-" + std::to_string(runs_[id].size());
  if (role == "entry") {
    const std::string domain = entry.at("failure_domain").get<std::string>();
    return {name, StartEntryProcess(id, domain, name)};
  }
  if (role == "service") {
    const auto flags = WithFlags({"--vm_id=" + id}, settings_.service_flags);
    return {name, processes_.StartStandIn("plain_service", name, flags)};
  }
  const auto flags =
      WithFlags({"--vm_id=" + id, "--weight_store_address=" + weight_store_->Address()},
                settings_.engine_flags);
  return {name, processes_.StartStandIn("engine", name, flags)};
}

platform_processes::child deployment::StartEntryProcess(const std::string& id,
                                                        const std::string& domain,
                                                        const std::string& name) {
  std::string log_address = log_->Address();
  if (settings_.proxy_log) {
    platform_processes::child& proxy = log_proxies_[id];
    if (proxy == nullptr) {
      proxy = processes_.StartStandIn("proxy", id + "-log-proxy", {"--target=" + log_address});
    }
    log_address = proxy->Address();
  }
  const std::vector<std::string> flags = {"--vm_id=" + id,
                                          "--failure_domain=" + domain,
                                          "--cluster=" + settings_.cluster,
                                          "--caller_address=127.0.0.1:0",
                                          "--peer_address=127.0.0.1:0",
                                          "--log_address=" + log_address,
                                          "--vm_list_address=" + ViewOf(id).vm_list().Address(),
                                          "--worker_threads=1"};
  return processes_.StartEntryVm(name, WithFlags(flags, settings_.entry_flags));
}

vm_view& deployment::ViewOf(const std::string& entry_vm) {
  if (!settings_.proxy_backends && !settings_.proxy_peers) return *shared_view_;
  std::unique_ptr<vm_view>& view = views_[entry_vm];
  if (view != nullptr) return *view;
  view = std::make_unique<vm_view>(processes_, entry_vm + "-vm_list", settings_.vm_list_flags);
  for (const auto& [id, entry] : entries_) {
    if (entry.contains("address")) PutInView(*view, entry_vm, entry);
  }
  return *view;
}

void deployment::PutInViews(const std::string& id) {
  const json& entry = entries_.at(id);
  shared_view_->Put(entry, false);
  for (const auto& [reader, view] : views_) PutInView(*view, reader, entry);
}

void deployment::PutInView(vm_view& view, const std::string& reader, const json& entry) const {
  const bool is_peer = entry.at("role") == "entry";
  const bool is_self = entry.at("id") == reader;
  const bool through_proxy = is_peer ? settings_.proxy_peers && !is_self : settings_.proxy_backends;
  view.Put(entry, through_proxy);
}

void deployment::ChangeEntry(const std::string& id, const json& fields) {
  entries_.at(id).update(fields);
  PutInViews(id);
}

void deployment::RemoveFromVmLists(const std::string& id) {
  shared_view_->Remove(id);
  for (const auto& [reader, view] : views_) view->Remove(id);
}

json deployment::BaseReleaseNote(const std::string& note_id) const {
  json domains = json::array();
  json services = json::array();
  json service_domains = json::array();
  for (const domain_settings& domain : settings_.domains) {
    domains.push_back({{"id", domain.id},
                       {"region", domain.region},
                       {"state", "in"},
                       {"entry_vms", std::max<std::size_t>(1, domain.entry_vms)}});
    if (domain.services > 0) service_domains.push_back(domain.id);
  }
  if (!service_domains.empty()) {
    services.push_back({{"id", settings_.service},
                        {"failure_domains", service_domains},
                        {"repeatable", false},
                        {"max_requests", 16}});
  }
  const json organisations =
      json::array({{{"id", "acme"}, {"priority", 5}, {"share", 1}, {"max_queue", 256}}});
  const json add = {
      {"failure_domains", domains}, {"organisations", organisations}, {"services", services}};
  return {{"note_id", note_id}, {"base_revision", 0}, {"add", add}};
}

http_answer deployment::ApplyReleaseNote(const json& note, const std::string& entry_vm) {
  const std::string id = entry_vm.empty() ? VmIds("entry").at(0) : entry_vm;
  return http_client(CallerAddress(id)).Post("/v1/admin/release_notes", note);
}

std::vector<vm_records> deployment::Records(const std::string& role) const {
  std::vector<vm_records> all;
  for (const std::string& id : VmIds(role)) {
    for (const vm_run& run : runs_.at(id)) {
      vm_records records;
      records.vm = id;
      records.lists = ReadRecordsFile(processes_.RecordsFile(run.records_name));
      run.process->Running();  // Notices an end that nobody waited for.
      records.ended_at_us = run.process->ended_at_us();
      records.pauses = run.process->pauses();
      all.push_back(std::move(records));
    }
  }
  return all;
}

}  // namespace waxwingwing::integration
