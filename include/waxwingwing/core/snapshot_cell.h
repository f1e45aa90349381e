#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <tuple>
#include <utility>

namespace waxwingwing {

/// Publishes immutable values from one writer to many reader threads (read-copy-update).
///
/// Each reader thread owns a `snapshot_reader`. In the usual case, when no value was published
/// since its last read, a read costs one atomic load, without a lock or a change of a reference
/// count.
template <typename value_type>
class snapshot_cell {
 public:
  using pointer = std::shared_ptr<const value_type>;

  explicit snapshot_cell(pointer initial) : current_(std::move(initial)) {}
  snapshot_cell(const snapshot_cell&) = delete;
  snapshot_cell& operator=(const snapshot_cell&) = delete;

  void Publish(pointer next) {
    const std::lock_guard lock(mutex_);
    current_ = std::move(next);
    version_.fetch_add(1, std::memory_order_release);
  }

  std::uint64_t version() const { return version_.load(std::memory_order_acquire); }

  /// The current value and the version it belongs to.
  std::pair<pointer, std::uint64_t> Load() const {
    const std::lock_guard lock(mutex_);
    return {current_, version_.load(std::memory_order_relaxed)};
  }

 private:
  mutable std::mutex mutex_;
  pointer current_;
  std::atomic<std::uint64_t> version_{1};
};

/// Reads the values of a `snapshot_cell` on one thread; the cell must outlive it. Not thread-safe.
template <typename value_type>
class snapshot_reader {
 public:
  explicit snapshot_reader(const snapshot_cell<value_type>& cell) : cell_(cell) {}

  /// The last published value. It stays valid for as long as the caller holds a copy of the
  /// pointer.
  const std::shared_ptr<const value_type>& Get() {
    if (cell_.version() != version_) std::tie(held_, version_) = cell_.Load();
    return held_;
  }

 private:
  const snapshot_cell<value_type>& cell_;
  std::shared_ptr<const value_type> held_;
  std::uint64_t version_ = 0;
};

}  // namespace waxwingwing
