#pragma once

#include <string>

#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `weight_store`: delivers weights at a rate that all readers share.
///
/// A reader can request only the first bytes, with the header `Range: bytes=0-N`. Besides the
/// common faults, `bytes_per_second` can be set, which changes the rate.
class weight_store final : public stand_in {
 public:
  explicit weight_store(asio::io_context& context);

 private:
  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;
  awaitable<void> Deliver(http_exchange& exchange);
  /// Waits until `size` bytes may be sent; concurrent readers are served in turn.
  awaitable<void> WaitForTurn(std::uint64_t size);
  std::uint64_t ChunkSize() const;

  std::uint64_t bytes_per_second_;
  std::uint64_t active_readers_ = 0;
  time_point next_turn_{};
};

}  // namespace waxwingwing::stand_ins
