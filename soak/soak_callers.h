#pragma once

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/random_source.h"

namespace waxwingwing::soak {

/// Clients that send requests to all entry VMs while faults are injected and check each answer: it
/// is complete and belongs to its request, its events are in order, nothing that is allowed is
/// denied, and no configuration is superseded by an older one.
class soak_callers {
 public:
  soak_callers(integration::entry_deployment& deployment, std::uint64_t seed);
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;
  ~soak_callers() { Stop(); }

  /// Sets the newest configuration version, whose route `/since/VERSION/` the store has
  /// acknowledged.
  void SetVersion(std::uint64_t version) { version_ = version; }
  /// Called before an entry VM's process ends and a new process replaces it.
  void EntryReplaced(std::size_t entry) { ++restarts_.at(entry); }
  void Stop();
  /// Returns the findings from the answers, and those from the plain services' records about calls
  /// that may run at most once.
  finding_list Findings();
  std::size_t answered() const { return answered_; }
  std::size_t sent() const { return sent_; }

  static constexpr std::size_t kEntries = 2;

 private:
  void Run(std::uint64_t seed);
  void CheckStream(std::size_t entry);
  void CheckCall(std::size_t entry, const std::string& path, bool once);
  void CheckVersion(std::size_t entry);
  void CheckDenial(const integration::http_answer& answer, const std::string& request);
  void Add(const std::string& place, const std::string& message);
  std::string NextId();

  integration::entry_deployment& deployment_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::uint64_t> version_ = 0;
  std::array<std::atomic<std::uint64_t>, kEntries> restarts_{};
  std::atomic<std::size_t> sent_ = 0;
  std::atomic<std::size_t> answered_ = 0;
  std::mutex mutex_;
  finding_list findings_;
  /// Status of each call that may run at most once; 0 without an answer.
  std::map<std::string, unsigned> call_statuses_;
  /// Newest version that was seen in force, for each entry VM and each of its processes in turn.
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> newest_seen_;
  std::vector<std::thread> threads_;
};

}  // namespace waxwingwing::soak
