#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/integration/platform_processes.h"

namespace waxwingwing::integration {

/// A VM list, and the proxies through which its readers reach the VMs.
///
/// An entry VM whose paths can be broken has a view of its own; all others share one.
class vm_view {
 public:
  vm_view(platform_processes& processes, std::string name, const std::vector<std::string>& flags);
  vm_view(const vm_view&) = delete;
  vm_view& operator=(const vm_view&) = delete;

  /// Adds or replaces an entry (a row of the VM list). With `through_proxy` readers see the address
  /// of a proxy in front of the VM.
  void Put(nlohmann::json entry, bool through_proxy);
  void Remove(const std::string& vm);

  /// The proxy in front of a VM; throws std::out_of_range when there is none.
  child_process& Proxy(const std::string& vm) { return *proxies_.at(vm).process; }
  child_process& vm_list() { return *vm_list_; }

 private:
  struct vm_proxy {
    std::string target;
    platform_processes::child process;
  };

  /// The address of a proxy that forwards to the target.
  std::string ProxyAddress(const std::string& vm, const std::string& target);

  platform_processes& processes_;
  std::string name_;
  platform_processes::child vm_list_;
  std::map<std::string, vm_proxy> proxies_;
  /// Proxies in front of earlier processes of a VM; connections may still use them.
  std::vector<vm_proxy> replaced_;
};

}  // namespace waxwingwing::integration
