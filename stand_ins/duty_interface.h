#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `duties`: the platform's interface for calls that only one VM at a time may
/// make. Reads `--duty_per_s` and `--lease_ms`.
///
/// Records each call in the lists `usage` and `scale`, and in `violations` two reports of a window
/// with different counts, a fencing token lower than one already seen, one token of two VMs, and
/// VMs that take turns (A, B, A) within the lease time. Additional fault: `lose_answers` (count:
/// the call takes effect, then the connection is closed).
class duty_interface final : public stand_in {
 public:
  explicit duty_interface(asio::io_context& context) : stand_in(context) {}

 private:
  /// What was seen of a duty's subject.
  struct subject {
    std::uint64_t highest_fence = 0;
    std::map<std::uint64_t, std::string> holder_of_fence;
    /// When each VM called last.
    std::map<std::string, std::int64_t> called_at_us;
    std::string last_holder;
  };

  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;
  bool IsWithinRate();
  void CheckHolder(subject& seen, const std::string& holder, std::uint64_t fence);
  void CheckCounts(const json& body);
  void AddViolation(const std::string& kind, const json& details);

  std::deque<std::int64_t> accepted_at_us_;
  std::map<std::string, subject> subjects_;
  std::map<std::uint64_t, json> counts_of_window_;
  std::uint64_t lose_answers_ = 0;
};

}  // namespace waxwingwing::stand_ins
