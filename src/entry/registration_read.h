#pragma once

#include <cstdint>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/store_position.h"
#include "waxwingwing/peer/messages.h"

namespace waxwingwing {

/// How the changes of a read follow from the records of the store.
enum class read_coverage {
  /// All records from the read's first place on were read.
  kRecords,
  /// Records were deleted before they were read. The changes lead from what was known at the first
  /// place to the complete list; they say nothing of what was in force in between.
  kComparison,
  /// What has changed since the first place is not known.
  kUnknown,
};

/// A read of the registrations of backend servers.
struct registration_read {
  read_coverage coverage = read_coverage::kRecords;
  /// Place from which the changes lead on.
  store_position from;
  /// Place up to which the registrations are known.
  store_position next;
  std::vector<keyed_record_message> changes;
  /// Time as of which the registrations up to `next` are all that the store had: when the read was
  /// sent, or, if it returned only a part of the records, when the last complete one was.
  time_point sent_at{};
};

}  // namespace waxwingwing
