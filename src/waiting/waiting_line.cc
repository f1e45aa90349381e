#include "waxwingwing/waiting/waiting_line.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwingwing {
namespace {

/// One place in this many goes to the request with the least time left.
constexpr std::size_t kTurnInterval = 4;
/// Time constant with which the places of organisations fade. Longer than a burst's queues last, so
/// that the share of an organisation counts over the whole of it.
constexpr double kShareSeconds = 10;
/// Recent places below this count as none.
constexpr double kNegligible = 0.01;

}  // namespace

waiting_line::position waiting_line::Join(entry joining) {
  return entries_.insert(entries_.end(), std::move(joining));
}

void waiting_line::Leave(position leaving) { entries_.erase(leaving); }

void waiting_line::RecordStart(const waiting_request& request, time_point now) {
  Fade(now);
  ++starts_;
  recent_[request.organisation] += 1;
  recent_total_ += 1;
}

void waiting_line::Fade(time_point now) {
  const double elapsed = std::chrono::duration<double>(now - faded_at_).count();
  faded_at_ = now;
  const double factor = std::exp(-std::max(elapsed, 0.0) / kShareSeconds);
  recent_total_ = 0;
  for (auto& [organisation, places] : recent_) {
    places *= factor;
    recent_total_ += places;
  }
  std::erase_if(recent_, [](const auto& item) { return item.second < kNegligible; });
}

bool waiting_line::IsOverShare(const organisation_id& organisation) const {
  const auto found = recent_.find(organisation);
  if (found == recent_.end()) return false;
  return found->second * static_cast<double>(recent_.size()) > recent_total_;
}

bool waiting_line::IsAhead(const waiting_request& first, const waiting_request& second,
                           time_point now) const {
  if (first.priority != second.priority) return first.priority < second.priority;
  const bool first_late = first.IsLate(now);
  const bool second_late = second.IsLate(now);
  if (first_late != second_late) return second_late;
  const bool first_over = IsOverShare(first.organisation);
  const bool second_over = IsOverShare(second.organisation);
  if (first_over != second_over) return second_over;
  if (first_late) return first.last_start < second.last_start;
  return first.start_in_time < second.start_in_time;
}

waiting_line::position waiting_line::Next(time_point now) {
  const bool is_turn_of_oldest = starts_ % kTurnInterval == kTurnInterval - 1;
  return std::min_element(entries_.begin(), entries_.end(),
                          [&](const entry& first, const entry& second) {
                            if (is_turn_of_oldest) {
                              return first.request.last_start < second.request.last_start;
                            }
                            return IsAhead(first.request, second.request, now);
                          });
}

void waiting_line::WakeNext(time_point now) {
  const position next = Next(now);
  if (next != entries_.end() && next->wake) next->wake();
}

std::size_t waiting_line::CountAhead(const waiting_request& request, time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [&](const entry& other) { return IsAhead(other.request, request, now); }));
}

}  // namespace waxwingwing
