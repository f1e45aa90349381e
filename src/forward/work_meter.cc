#include "forward/work_meter.h"

#include <algorithm>

namespace waxwingwing {

work_meter::work_meter(forward_core& core, const dispatch_candidate& server,
                       const std::optional<exchange_work>& work, time_point now)
    : core_(core), server_(server), work_(work ? &*work : nullptr), sent_at_(now) {
  if (work_ != nullptr) progress_ = load().backlog().Add(work_->cost);
}

void work_meter::OnEvents(std::size_t events, time_point now) {
  if (work_ == nullptr || events == 0) return;
  if (last_event_at_) {
    RecordStepTime(events, now);
  } else {
    RecordFirstEvent(now);
  }
  last_event_at_ = now;
  const std::uint64_t steps_per_event = work_->engine.steps_per_event();
  load().backlog().Advance(progress_, events * steps_per_event, steps_per_event);
}

void work_meter::End() {
  if (work_ != nullptr) load().backlog().Remove(progress_);
}

void work_meter::RecordFirstEvent(time_point now) {
  const fractional_milliseconds observed = now - sent_at_;
  if (observed.count() <= 0) return;
  core_.metrics.Summary("waxwingwing_first_event_estimate_ratio")
      .Observe(work_->expected_first_event / observed);
}

void work_meter::RecordStepTime(std::size_t events, time_point now) {
  server_load& server = load();
  outstanding_work work = server.backlog().own();
  work += server.backlog().others(now);
  const double running = std::min<double>(server.running() + server.other_vm_requests(now),
                                          static_cast<double>(server_.slots));
  const double steps = static_cast<double>(events) * work_->engine.steps_per_event();
  const fractional_milliseconds observed = now - *last_event_at_;
  server.backlog().RecordStepTime(observed / steps, work_->engine.StepTime(running, work.memory),
                                  now);
}

}  // namespace waxwingwing
