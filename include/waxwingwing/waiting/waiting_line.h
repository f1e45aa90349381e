#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <map>

#include "waxwingwing/waiting/waiting_request.h"

namespace waxwingwing {

/// The requests of this VM that wait for a place at the servers of one service and model, in the
/// order in which they get the places that become free.
///
/// The order is: urgency; within one urgency, requests that can still be in time before late ones;
/// among these, organisations that got no more than an equal share of the recent places first; then
/// the least time left. Every fourth place goes to the request with the least time left of all, so
/// that no urgency, organisation or late request starves.
///
/// Looks through the whole line for the next request. Must be used from a single thread.
class waiting_line {
 public:
  struct entry {
    waiting_request request;
    /// Called when the entry becomes the next one.
    std::function<void()> wake;
  };
  using position = std::list<entry>::iterator;

  /// Adds a request; does not call `wake`.
  position Join(entry joining);
  /// Removes a request, whether or not it got a place.
  void Leave(position leaving);
  /// Records that a request got a place; it may still be in the line.
  void RecordStart(const waiting_request& request, time_point now);

  /// The request that gets the next place; `end()` when none waits.
  position Next(time_point now);
  position end() { return entries_.end(); }
  /// Wakes the next request.
  void WakeNext(time_point now);

  std::size_t size() const { return entries_.size(); }
  /// Number of requests of the line that get a place before `request` by the usual order.
  std::size_t CountAhead(const waiting_request& request, time_point now) const;

 private:
  bool IsAhead(const waiting_request& first, const waiting_request& second, time_point now) const;
  bool IsOverShare(const organisation_id& organisation) const;
  void Fade(time_point now);

  std::list<entry> entries_;
  /// Recent places by organisation, fading with time.
  std::map<organisation_id, double> recent_;
  double recent_total_ = 0;
  time_point faded_at_{};
  std::size_t starts_ = 0;
};

}  // namespace waxwingwing
