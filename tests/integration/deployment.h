#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/integration/platform_processes.h"
#include "tests/integration/vm_records.h"
#include "tests/integration/vm_view.h"

namespace waxwingwing::integration {

struct domain_settings {
  std::string id;
  std::string region = "region-1";
  std::size_t fabric_domains = 1;
  /// Spread over the fabric domains in turn.
  std::size_t engines = 0;
  std::size_t services = 0;
  std::size_t entry_vms = 0;
};

struct deployment_settings {
  std::vector<domain_settings> domains;
  /// The plain service that all service VMs run.
  std::string service = "desk";
  std::string cluster = "test";
  std::vector<std::string> log_flags;
  std::vector<std::string> vm_list_flags;
  std::vector<std::string> weight_store_flags;
  std::vector<std::string> engine_flags;
  std::vector<std::string> service_flags;
  std::vector<std::string> entry_flags;
  /// Each entry VM reaches the log through a proxy of its own.
  bool proxy_log = false;
  /// Each entry VM has a VM list of its own that shows proxies in front of engines and services.
  bool proxy_backends = false;
  /// The same for the other entry VMs.
  bool proxy_peers = false;
};

/// A whole platform on loopback: log, VM list, weight store, engines and plain services by failure
/// domain, and entry VMs. All processes end with this object.
///
/// VM ids are `DOMAIN-engine-N`, `DOMAIN-service-N` and `DOMAIN-entry-N`, with N from 0.
class deployment {
 public:
  explicit deployment(deployment_settings settings);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  child_process& log() { return *log_; }
  child_process& weight_store() { return *weight_store_; }
  /// The VM list of the entry VMs that have none of their own.
  child_process& vm_list() { return shared_view_->vm_list(); }
  /// The VM list that an entry VM reads.
  child_process& VmListOf(const std::string& entry_vm) { return ViewOf(entry_vm).vm_list(); }
  /// The running process of a VM; throws std::out_of_range for an unknown id.
  child_process& vm(const std::string& id) { return *runs_.at(id).back().process; }
  /// Ids of a role (`engine`, `service` or `entry`), in order; of all domains when none is given.
  std::vector<std::string> VmIds(const std::string& role, const std::string& domain = "") const;
  /// What the VM lists show of a VM.
  const nlohmann::json& Entry(const std::string& id) const { return entries_.at(id); }

  /// Adds a VM to a domain while the deployment runs; returns its id.
  std::string AddEngine(const std::string& domain, const std::string& fabric_domain);
  std::string AddService(const std::string& domain);
  std::string AddEntryVm(const std::string& domain);

  /// Kills the process of a VM; the VM lists show it still.
  void Kill(const std::string& id) { vm(id).Kill(); }
  /// Starts a new process for a VM that was killed or ended, at a new address.
  void Restart(const std::string& id);
  /// Changes fields of the VM's entry in all VM lists, such as `state`.
  void ChangeEntry(const std::string& id, const nlohmann::json& fields);
  void RemoveFromVmLists(const std::string& id);

  /// The proxy between an entry VM and the log, or between it and another VM.
  child_process& LogProxy(const std::string& entry_vm) { return *log_proxies_.at(entry_vm); }
  child_process& VmProxy(const std::string& entry_vm, const std::string& vm) {
    return views_.at(entry_vm)->Proxy(vm);
  }

  /// Where callers and operators reach an entry VM.
  std::string CallerAddress(const std::string& entry_vm) {
    return vm(entry_vm).Address("caller_address");
  }
  /// A release note that adds the failure domains, the organisation `acme` and the plain service.
  nlohmann::json BaseReleaseNote(const std::string& note_id) const;
  /// Submits a release note at an entry VM (the first one by default).
  http_answer ApplyReleaseNote(const nlohmann::json& note, const std::string& entry_vm = "");

  /// Records of all runs of all VMs with the role `engine` or `service`.
  std::vector<vm_records> Records(const std::string& role) const;

 private:
  struct vm_run {
    std::string records_name;
    platform_processes::child process;
  };

  void StartPlatform();
  void AddBackendServers(const domain_settings& domain);
  std::string NextId(const std::string& domain, const std::string& role) const;
  std::string Add(nlohmann::json entry);
  vm_run StartRun(const nlohmann::json& entry);
  platform_processes::child StartEntryProcess(const std::string& id, const std::string& domain,
                                              const std::string& name);
  vm_view& ViewOf(const std::string& entry_vm);
  void PutInViews(const std::string& id);
  void PutInView(vm_view& view, const std::string& reader, const nlohmann::json& entry) const;

  deployment_settings settings_;
  platform_processes processes_;
  platform_processes::child log_;
  platform_processes::child weight_store_;
  std::unique_ptr<vm_view> shared_view_;
  std::map<std::string, std::unique_ptr<vm_view>> views_;
  std::map<std::string, platform_processes::child> log_proxies_;
  std::map<std::string, nlohmann::json> entries_;
  std::map<std::string, std::vector<vm_run>> runs_;
};

}  // namespace waxwingwing::integration
