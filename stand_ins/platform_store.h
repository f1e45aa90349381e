#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins/change_signal.h"
#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Kind `store`: the metadata store of the users' platform, as far as the product uses it: topics
/// with records that may have keys, long reads, and groups of members.
///
/// Own faults: `lose_answers` (count: the call is carried out, then the connection is closed),
/// `drop_history` (bool: forgets all but the newest record of each key) and `miss_wakes` (bool: a
/// waiting read is answered at the end of its wait only).
class platform_store final : public stand_in {
 public:
  explicit platform_store(asio::io_context& context);

 private:
  struct topic {
    std::uint64_t first = 0;
    std::deque<std::string> records;
    /// Offset of the newest record of each key, and its value.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t end() const { return first + records.size(); }
  };
  struct member {
    std::int64_t last_seen_us = 0;
    std::int64_t lifetime_us = 0;
  };

  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;
  awaitable<void> Append(http_exchange& exchange);
  awaitable<void> Read(http_exchange& exchange);
  awaitable<void> Newest(http_exchange& exchange);
  awaitable<void> Join(http_exchange& exchange);
  awaitable<void> Owners(http_exchange& exchange);
  awaitable<void> Leave(http_exchange& exchange);
  void AddRecord(const std::string& name, const std::string& record);
  void DropHistory();
  void DropSilentMembers();
  /// Removes registrations of servers that have been silent for three beats.
  void LapseRegistrations();
  static bool IsKeyed(const std::string& name) { return name.starts_with("keyed."); }

  std::map<std::string, topic> topics_;
  /// Topics by whose partitions the members divide their work.
  std::vector<std::string> divided_topics_;
  std::map<std::string, member> members_;
  std::map<std::string, std::int64_t> registered_at_us_;
  std::uint64_t generation_ = 0;
  std::uint64_t lose_answers_ = 0;
  bool miss_wakes_ = false;
  change_signal changed_;
};

}  // namespace waxwingwing::stand_ins
