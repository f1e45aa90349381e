#pragma once

#include <optional>

#include "entry/registration_read.h"

namespace waxwingwing {

/// Decides what the feeds of the controller say of the registrations, so that each one leads on
/// from the one before, or shows that it does not.
class feed_sequence {
 public:
  /// Whether the next feed can wait: the read has found nothing that the last feed does not cover.
  bool Covers(const registration_read& read) const;
  /// Returns the read as the next feed states it, which is sent now.
  registration_read Next(const registration_read& read);
  /// Records a read of which no feed is sent, because this VM is not the controller at the moment.
  void RecordUnsent(const registration_read& read);
  /// Forgets the last feed: the next one leads on from its own read only.
  void Reset();

  /// Place up to which the last feed led; none when there was none.
  const std::optional<store_position>& place() const { return place_; }

 private:
  /// Whether `read` leads on from all that was known at the last feed.
  bool Continues(const registration_read& read) const;

  std::optional<store_position> place_;
  /// Whether registrations have changed since the last feed, without a feed of their own.
  bool has_unsent_changes_ = false;
};

}  // namespace waxwingwing
