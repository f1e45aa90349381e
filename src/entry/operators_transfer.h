#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/operators_snapshot.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/peer/messages.h"

namespace waxwingwing {

/// Packs an update into messages, which are to be sent in this order. Fails when it is too large to
/// be passed on.
result<std::vector<operators_records_message>> ToMessages(const operators_update& update);

/// Puts the parts of an update together again. The parts of one update must arrive in their order;
/// an update whose parts do not is dropped.
class operators_assembly {
 public:
  /// Adds a part. Returns the update when it is whole, a failure when it cannot be read, and
  /// nothing otherwise.
  std::optional<result<operators_update>> Add(const operators_records_message& part);
  void Clear() { begun_.reset(); }

 private:
  /// The first part, with the bytes of those that followed it.
  std::optional<operators_records_message> begun_;
  std::uint32_t parts_ = 0;
};

}  // namespace waxwingwing
