#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "waxwingwing/core/finding.h"

namespace waxwingwing::integration {

/// Reads the status of running entry VMs every 100 ms and checks what must hold at every moment:
/// the control offset and the revision-like share of the organisation `acme` never go back within a
/// process (P10), and no VM is a member of two serving replicas (P2).
class control_watch {
 public:
  control_watch() = default;
  control_watch(const control_watch&) = delete;
  control_watch& operator=(const control_watch&) = delete;
  ~control_watch() { Stop(); }

  /// Watches one process; call again after a restart.
  void Add(const std::string& entry_vm, const std::string& caller_address);
  void Stop();

  /// When the entry VM was first seen with a share of at least this value, on CLOCK_MONOTONIC.
  std::optional<std::int64_t> SeenAt(const std::string& entry_vm, std::uint64_t share) const;
  finding_list findings() const;
  /// Number of statuses that were read and checked.
  std::uint64_t checked() const { return checked_; }

 private:
  struct last_seen {
    std::uint64_t control_offset = 0;
    std::uint64_t share = 0;
  };

  void Run(const std::string& entry_vm, const std::string& address);
  void Check(const std::string& entry_vm, const nlohmann::json& status, last_seen& last);
  void CheckMembers(const std::string& entry_vm, const nlohmann::json& replicas);

  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> checked_{0};
  mutable std::mutex mutex_;
  finding_list findings_;
  std::map<std::string, std::map<std::uint64_t, std::int64_t>> seen_;
  std::vector<std::thread> threads_;
};

/// The share of `acme` in a status; 0 when the organisation is not configured.
std::uint64_t ShareIn(const nlohmann::json& status);

}  // namespace waxwingwing::integration
