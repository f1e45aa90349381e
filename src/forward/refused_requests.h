#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// The requests that a server has refused on one connection.
///
/// A faulty server may write a refusal a second time, with the id of the refused request, where the
/// answer to a later request is due. An id therefore identifies the answer to a request only on a
/// connection on which the server has not refused that request before.
class refused_requests {
 public:
  void Add(const request_id& request);
  bool Contains(const request_id& request) const;
  /// Whether no further refusal can be remembered, so that the connection must be closed.
  bool IsFull() const { return hashes_.size() >= kMaxRequests; }

 private:
  static constexpr std::size_t kMaxRequests = 32;

  /// Hashes of the ids, whose length callers choose.
  std::vector<std::uint64_t> hashes_;
};

}  // namespace waxwingwing
