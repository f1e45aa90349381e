#include "waxwingwing/duty/usage_table.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace waxwingwing {
namespace {

/// Limits that bound the memory: the largest supported deployment has 390 VMs, some of which may
/// restart within a window.
constexpr std::size_t kMaxCounters = 1024;
constexpr std::size_t kMaxOrganisations = 256;
/// Interval at which the counts of the current window are returned.
constexpr milliseconds kOpenInterval{1000};
/// Time after the end of a window at which its counts are returned once more.
constexpr milliseconds kRepeatDelay{1000};

}  // namespace

std::uint64_t usage_table::WindowAt(milliseconds time) const {
  return static_cast<std::uint64_t>(std::max(time, milliseconds(0)) / window_);
}

milliseconds usage_table::EndOf(std::uint64_t window) const {
  return window_ * static_cast<milliseconds::rep>(window + 1);
}

void usage_table::Count(const organisation_id& organisation, milliseconds time) {
  auto& own = windows_[WindowAt(time)].counters[self_];
  if (own.size() < kMaxOrganisations || own.contains(organisation)) ++own[organisation].count;
}

void usage_table::Merge(const std::vector<usage_entry>& entries, std::uint64_t oldest,
                        milliseconds time) {
  for (const usage_entry& entry : entries) {
    const bool in_range = entry.window >= oldest && entry.window <= WindowAt(time) + 1;
    // This VM knows its own counts best; they come back from a VM that it has followed.
    if (in_range && entry.counter != self_) Raise(entry.window, entry);
  }
}

void usage_table::Raise(std::uint64_t window, const usage_entry& entry) {
  auto& counters = windows_[window].counters;
  if (counters.size() >= kMaxCounters && !counters.contains(entry.counter)) return;
  auto& known = counters[entry.counter];
  for (const auto& [organisation, count] : entry.counts) {
    if (known.size() >= kMaxOrganisations && !known.contains(organisation)) continue;
    std::uint64_t& kept = known[organisation].count;
    kept = std::max(kept, count);
  }
}

void usage_table::RemoveBefore(std::uint64_t oldest) {
  windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
}

usage_counts usage_table::Sum(std::uint64_t window) const {
  usage_counts sum;
  const auto found = windows_.find(window);
  if (found == windows_.end()) return sum;
  for (const auto& [counter, counts] : found->second.counters) {
    for (const auto& [organisation, known] : counts) sum[organisation] += known.count;
  }
  return sum;
}

std::size_t usage_table::Counters(std::uint64_t window) const {
  const auto found = windows_.find(window);
  return found == windows_.end() ? 0 : found->second.counters.size();
}

std::vector<usage_entry> usage_table::TakeChanges(milliseconds time) {
  std::vector<usage_entry> changes;
  const bool takes_open = time - open_taken_at_ >= kOpenInterval || time < open_taken_at_;
  if (takes_open) open_taken_at_ = time;
  for (auto& [window, counts] : windows_) {
    if (EndOf(window) > time && !takes_open) continue;
    if (!counts.repeated && time >= EndOf(window) + kRepeatDelay) {
      counts.repeated = true;
      MarkChanged(counts);
    }
    for (auto& [counter, known] : counts.counters) {
      usage_entry entry{counter, window, {}};
      for (auto& [organisation, number] : known) {
        if (number.count == number.taken) continue;
        number.taken = number.count;
        entry.counts.emplace(organisation, number.count);
      }
      if (!entry.counts.empty()) changes.push_back(std::move(entry));
    }
  }
  return changes;
}

void usage_table::MarkChanged(window_counts& counts) {
  for (auto& [counter, known] : counts.counters) {
    for (auto& [organisation, number] : known) number.taken = 0;
  }
}

void usage_table::MarkAllChanged() {
  for (auto& [window, counts] : windows_) MarkChanged(counts);
  open_taken_at_ = milliseconds(0);
}

}  // namespace waxwingwing
