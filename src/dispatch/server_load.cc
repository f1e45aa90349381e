#include "waxwingwing/dispatch/server_load.h"

#include <algorithm>

namespace waxwingwing {
namespace {

/// Weight of the newest value in exponential smoothing: a change shows after about ten values.
constexpr double kSmoothing = 0.1;
/// Lower limit of the silence that counts as a stall: three decoding steps of a full group, or one
/// step that prefills five prompts.
constexpr milliseconds kMinSilence{200};
/// Silence that always counts as a stall.
constexpr milliseconds kMaxSilence{600};
/// Silence of this many typical decoding steps counts as a stall.
constexpr double kSilenceFactor = 2.5;

/// Initial window while nothing is known about the server and the other VMs.
constexpr double kFirstWindow = 6;
constexpr double kMinWindow = 1;
constexpr double kMaxWindow = 64;
/// Growth of the window for each answer that begins in time while the window is fully used. It is
/// divided by the window, so that a window of any size grows by the same amount in the time of one
/// answer.
constexpr double kWindowGrowth = 0.35;
/// Factor by which the window shrinks when answers begin late.
constexpr double kWindowShrink = 0.8;
/// Factor by which the window shrinks when the server asks for a rest.
constexpr double kWindowRestFactor = 0.5;
/// Shortest time between two reductions, so that the answers of one decoding step shrink the window
/// only once.
constexpr milliseconds kShrinkInterval{120};
/// Fraction of the objective within which an answer counts as begun in time.
constexpr double kTimelyFraction = 0.8;

/// Time without an event after which the step time of a group no longer indicates its load: its
/// streams have ended, or it is busy with prefill, which the window accounts for.
constexpr milliseconds kStepTimeLifetime{1000};

/// Age at which the reported requests of other VMs are outdated: four report intervals.
constexpr milliseconds kMaxReportAge{1000};

duration Smooth(duration old, duration value) {
  return std::chrono::duration_cast<duration>(old * (1 - kSmoothing) + value * kSmoothing);
}

}  // namespace

server_load::server_load() : window_(kFirstWindow) {}

void server_load::RecordCongestion(time_point now) {
  if (shrunk_at_ && now - *shrunk_at_ < kShrinkInterval) return;
  shrunk_at_ = now;
  window_is_learned_ = true;
  window_ = std::max(kMinWindow, window_ * kWindowShrink);
}

void server_load::RecordRest() {
  window_is_learned_ = true;
  window_ = std::max(kMinWindow, window_ * kWindowRestFactor);
}

void server_load::SetFirstWindow(double window) {
  if (!window_is_learned_) window_ = std::max(kMinWindow, window);
}

void server_load::RequestSent(time_point /*now*/) {
  ++running_;
  ++waiting_;
}

void server_load::AnswerBegun(time_point now, time_point sent_at, duration objective) {
  if (waiting_ > 0) --waiting_;
  const duration waited = now - sent_at;
  if (waited > std::chrono::duration_cast<duration>(objective * kTimelyFraction)) {
    RecordCongestion(now);
  } else if (running_ + 1 >= window_) {
    window_ = std::min(kMaxWindow, window_ + kWindowGrowth / window_);
    window_is_learned_ = true;
  }
  newest_begun_ = std::max(newest_begun_.value_or(sent_at), sent_at);
  smoothed_first_byte_latency_ = smoothed_first_byte_latency_ == duration::zero()
                                     ? waited
                                     : Smooth(smoothed_first_byte_latency_, waited);
  if (!streams_since_) streams_since_ = now;
  EventArrived(now);
}

void server_load::EventArrived(time_point now) {
  if (last_event_ && streams_since_ && *streams_since_ < *last_event_) {
    const duration pause = now - *last_event_;
    // Events of one decoding step arrive together; only the time between steps counts.
    if (pause > milliseconds(15) && pause < kMaxSilence) {
      typical_step_time_ = Smooth(typical_step_time_, pause);
    }
  }
  last_event_ = now;
  suspended_until_.reset();
}

void server_load::RequestEnded(bool begun, bool failed, time_point /*now*/) {
  if (running_ > 0) --running_;
  if (!begun && waiting_ > 0) --waiting_;
  failure_rate_ = failure_rate_ * (1 - kSmoothing) + (failed ? kSmoothing : 0);
  if (running_ == waiting_) streams_since_.reset();
}

void server_load::Suspend(time_point until) {
  suspended_until_ = std::max(suspended_until_.value_or(until), until);
}

void server_load::ForgetFailures() {
  window_ = kFirstWindow;
  window_is_learned_ = false;
  failure_rate_ = 0;
  suspended_until_.reset();
}

void server_load::SetOtherVmRequests(std::uint32_t running, time_point now) {
  other_vm_requests_ = running;
  others_reported_at_ = now;
}

std::uint32_t server_load::other_vm_requests(time_point now) const {
  return others_reported_at_ && now - *others_reported_at_ <= kMaxReportAge ? other_vm_requests_
                                                                            : 0;
}

duration server_load::RecentStepTime(time_point now) const {
  const bool is_recent = last_event_ && now - *last_event_ <= kStepTimeLifetime;
  return is_recent ? typical_step_time_ : duration::zero();
}

duration server_load::SilenceOfStreams(time_point now) const {
  if (!streams_since_ || !last_event_) return duration::zero();
  return now - std::max(*streams_since_, *last_event_);
}

duration server_load::SilenceLimit() const {
  const auto usual = std::chrono::duration_cast<duration>(typical_step_time_ * kSilenceFactor);
  return std::clamp<duration>(usual, kMinSilence, kMaxSilence);
}

}  // namespace waxwingwing
