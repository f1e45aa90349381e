#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace waxwingwing::review {

/// The platform's store: a log with keyed topics and membership groups, as PROTOCOL.md describes
/// it. Operators and runners write to it by calls in this process.
class platform_store {
 public:
  /// `page_size`: number of items that one answer of `log-newest` holds at most.
  explicit platform_store(std::size_t page_size);
  ~platform_store();
  platform_store(const platform_store&) = delete;
  platform_store& operator=(const platform_store&) = delete;

  const std::string& address() const { return server_.address(); }
  /// Writes a keyed record and returns when it is acknowledged. Waits while the store is away.
  void Write(const std::string& topic, const std::string& key, const std::string& value);

  /// Writes a keyed record while nobody waits for one, and deletes the topic's records right
  /// afterwards. The newest record of each key stays.
  void WriteAndForget(const std::string& topic, const std::string& key, const std::string& value);

  /// Keeps a copy of all topics and groups.
  void SaveCopy();
  /// Refuses all calls with 503 until `Restore`.
  void TakeAway();
  /// Comes back from the copy, in a new era.
  void Restore();

 private:
  struct topic {
    /// The records from the offset `first` on.
    std::vector<std::string> records;
    std::uint64_t first = 0;
    std::uint64_t End() const { return first + records.size(); }
    /// The newest value of each key, with its offset.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
  };
  struct member {
    time_point expires_at;
  };
  struct content {
    std::map<std::string, topic> topics;
    std::map<std::string, member> members;
    std::uint64_t generation = 0;
  };

  http_response Handle(const http_request& request);
  http_response Append(const http_request& request);
  http_response Read(const http_request& request, std::unique_lock<std::mutex>& lock);
  http_response Newest(const http_request& request);
  http_response Join(const http_request& request);
  http_response Leave(const http_request& request);
  void AddRecord(const std::string& name, const std::string& record);

  const std::size_t page_size_;
  std::mutex mutex_;
  std::condition_variable changed_;
  content content_;
  content copy_;
  std::uint64_t era_ = 1;
  bool away_ = false;
  /// Number of reads that wait for a record, by topic.
  std::map<std::string, std::size_t> waiting_reads_;
  http_server server_;
};

}  // namespace waxwingwing::review
