#include "tests/integration/vm_view.h"

#include <utility>

namespace waxwingwing::integration {

vm_view::vm_view(platform_processes& processes, std::string name,
                 const std::vector<std::string>& flags)
    : processes_(processes),
      name_(std::move(name)),
      vm_list_(processes_.StartStandIn("vm_list", name_, flags)) {}

void vm_view::Put(nlohmann::json entry, bool through_proxy) {
  if (through_proxy) {
    entry["address"] =
        ProxyAddress(entry.at("id").get<std::string>(), entry.at("address").get<std::string>());
  }
  http_client(vm_list_->Address()).Post("/v1/test/vms", entry);
}

std::string vm_view::ProxyAddress(const std::string& vm, const std::string& target) {
  vm_proxy& current = proxies_[vm];
  if (current.target != target) {
    const std::string count = std::to_string(proxies_.size() + replaced_.size());
    if (current.process != nullptr) replaced_.push_back(std::move(current));
    current = {target, processes_.StartStandIn("proxy", name_ + "-proxy-" + count + "-" + vm,
                                               {"--target=" + target})};
  }
  return current.process->Address();
}

void vm_view::Remove(const std::string& vm) {
  http_client(vm_list_->Address()).Delete("/v1/test/vms/" + vm);
}

}  // namespace waxwingwing::integration
