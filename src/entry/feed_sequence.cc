#include "entry/feed_sequence.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Whether no registration has changed from the read's first place to its end.
bool IsUnchanged(const registration_read& read) {
  return read.coverage == read_coverage::kRecords && read.changes.empty();
}

}  // namespace

bool feed_sequence::Continues(const registration_read& read) const {
  return place_ && place_->era == read.from.era && !has_unsent_changes_;
}

bool feed_sequence::Covers(const registration_read& read) const {
  return Continues(read) && IsUnchanged(read);
}

registration_read feed_sequence::Next(const registration_read& read) {
  registration_read stated = read;
  if (read.coverage == read_coverage::kUnknown) {
    stated.from = read.next;
    stated.changes.clear();
  } else if (Continues(read)) {
    // Reads since the last feed that have no feed of their own changed nothing.
    stated.from = std::min(*place_, read.from);
  }
  place_ = read.next;
  has_unsent_changes_ = false;
  return stated;
}

void feed_sequence::RecordUnsent(const registration_read& read) {
  has_unsent_changes_ = has_unsent_changes_ || !IsUnchanged(read);
}

void feed_sequence::Reset() {
  place_.reset();
  has_unsent_changes_ = false;
}

}  // namespace waxwingwing
