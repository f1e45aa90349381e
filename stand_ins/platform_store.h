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

/// Stand-in of kind `store`: the metadata store of the users' platform, reduced to what the product
/// uses: topics with records that may have keys, long-poll reads, and groups of members.
///
/// Additional faults: `lose_answers` (count: the call takes effect, then the connection is closed),
/// `drop_history` (bool: discards all but the newest record of each key), `forget_registrations`
/// (bool: does so with each registration as soon as it is written), `miss_wakes` (bool: a
/// waiting read is answered only at the end of its wait), `page_size` (number of newest records in
/// one answer), `bytes_per_s` (count: what all answers with records share; 0: no limit),
/// `save_copy` (bool: keeps a copy of all records and members) and `restore` (bool: goes back to
/// that copy and raises the era that each answer states).
class platform_store final : public stand_in {
 public:
  explicit platform_store(asio::io_context& context);

 private:
  struct topic {
    std::uint64_t first = 0;
    std::deque<std::string> records;
    /// Offset and value of the newest record of each key.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::uint64_t end() const { return first + records.size(); }
  };
  struct member {
    std::int64_t last_seen_us = 0;
    std::int64_t lifetime_us = 0;
  };

  /// What a copy of the store contains.
  struct contents {
    std::map<std::string, topic> topics;
    std::map<std::string, member> members;
    std::uint64_t generation = 0;
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
  /// Answers with records, at the rate that all such answers share.
  awaitable<void> AnswerRecords(http_exchange& exchange, std::string body);
  /// Discards all but the newest record of each key.
  static void DropHistory(topic& kept);
  void Restore();
  void ExpireMembers();
  /// Removes registrations of servers that have been silent for three heartbeat intervals.
  void ExpireRegistrations();
  static bool IsKeyed(const std::string& name) { return name.starts_with("keyed."); }

  std::map<std::string, topic> topics_;
  /// Topics whose partitions are divided among the members.
  std::vector<std::string> partitioned_topics_;
  std::map<std::string, member> members_;
  std::map<std::string, std::int64_t> registered_at_us_;
  std::uint64_t generation_ = 0;
  std::uint64_t lose_answers_ = 0;
  bool forgets_registrations_ = false;
  bool miss_wakes_ = false;
  std::uint64_t bytes_per_s_ = 0;
  /// When the bytes that answers have to send so far have been sent.
  time_point sent_until_{};
  /// Number of records in one answer about the newest records.
  std::size_t page_size_ = 500;
  contents copy_;
  std::uint64_t era_ = 1;
  change_signal changed_;
};

}  // namespace waxwingwing::stand_ins
