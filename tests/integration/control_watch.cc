#include "tests/integration/control_watch.h"

#include <fmt/format.h>

#include "tests/integration/http_client.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr milliseconds kPeriod{100};
constexpr milliseconds kTimeout{1000};

}  // namespace

std::uint64_t ShareIn(const json& status) {
  for (const json& organisation : status.at("configuration").at("organisations")) {
    if (organisation.at("id") == "acme") return organisation.at("share").get<std::uint64_t>();
  }
  return 0;
}

void control_watch::Add(const std::string& entry_vm, const std::string& caller_address) {
  threads_.emplace_back([this, entry_vm, caller_address] { Run(entry_vm, caller_address); });
}

void control_watch::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

std::optional<std::int64_t> control_watch::SeenAt(const std::string& entry_vm,
                                                  std::uint64_t share) const {
  const std::lock_guard lock(mutex_);
  const auto found = seen_.find(entry_vm);
  if (found == seen_.end()) return std::nullopt;
  const auto at = found->second.lower_bound(share);
  if (at == found->second.end()) return std::nullopt;
  return at->second;
}

finding_list control_watch::findings() const {
  const std::lock_guard lock(mutex_);
  return findings_;
}

void control_watch::Run(const std::string& entry_vm, const std::string& address) {
  const http_client client(address, kTimeout);
  last_seen last;
  while (!stopped_) {
    const auto answer = client.Send({"GET", "/v1/admin/status", {}, ""});
    if (answer && answer->status == 200) Check(entry_vm, answer->Json(), last);
    std::this_thread::sleep_for(kPeriod);
  }
}

void control_watch::Check(const std::string& entry_vm, const json& status, last_seen& last) {
  const std::lock_guard lock(mutex_);
  ++checked_;
  const auto offset = status.at("control_offset").get<std::uint64_t>();
  if (offset < last.control_offset) {
    findings_.Add(entry_vm, fmt::format("offset {} after {}", offset, last.control_offset));
  }
  const std::uint64_t share = ShareIn(status);
  if (share < last.share) {
    findings_.Add(entry_vm, fmt::format("share {} after {}", share, last.share));
  }
  if (share > last.share) seen_[entry_vm].try_emplace(share, MonotonicMicros());
  last = {offset, share};
  CheckMembers(entry_vm, status.at("replicas"));
}

void control_watch::CheckMembers(const std::string& entry_vm, const json& replicas) {
  std::map<std::string, std::string> replica_of;
  for (const json& replica : replicas) {
    if (!replica.at("serving").get<bool>()) continue;
    const auto id = replica.at("id").get<std::string>();
    for (const json& member : replica.at("members")) {
      const auto [held, inserted] = replica_of.try_emplace(member.get<std::string>(), id);
      if (inserted) continue;
      findings_.Add(entry_vm,
                    fmt::format("{} is a member of {} and of {}", held->first, held->second, id));
    }
  }
}

}  // namespace waxwingwing::integration
