#include "forward/call_cost.h"

#include <algorithm>

namespace waxwingwing {

void call_cost::Estimate(const forward_core& core, const traffic_configuration& configuration,
                         const service_id& service, const request_metadata& metadata,
                         const output_class& kind) {
  if (is_current_) return;
  is_current_ = true;
  const service_settings* settings = configuration.ServiceById(service);
  if (settings == nullptr || !settings->engine || !metadata.size.prompt) return;
  const model_settings* model = settings->ModelByName(metadata.model);
  if (model == nullptr) return;
  engine_.emplace(*settings->engine, model->pace);
  kind_ = kind;
  size_ = metadata.size;
  usual_ = settings->engine->usual_output;
  is_continued_ = metadata.last_event.has_value();
  expected_output_ = core.lengths.Estimate(kind_, size_, usual_);
  const std::uint64_t steps_per_event = engine_->steps_per_event();
  const token_count done((metadata.last_event.value_or(0) + events_) * steps_per_event);
  const token_count left =
      std::max(expected_output_ - std::min(expected_output_, done), token_count(steps_per_event));
  cost_ = engine_->CostOf(*size_.prompt + std::min(done, expected_output_), left);
}

selection_work call_cost::work() const {
  if (!cost_) return {};
  return {&*engine_, &*cost_};
}

std::optional<exchange_work> call_cost::WorkAt(forward_core& core,
                                               const dispatch_candidate& server) {
  if (!cost_ || server.group.empty()) return std::nullopt;
  expected_first_event_ = core.selection.ExpectedFirstEventAt(server, work(), core.Now());
  return exchange_work{*engine_, *cost_, expected_first_event_};
}

void call_cost::RecordEvents(std::size_t events) {
  events_ += events;
  if (events > 0) is_current_ = false;
}

void call_cost::RecordEnd(forward_core& core, bool complete) {
  if (!cost_ || events_ == 0 || is_continued_) return;
  const token_count output(std::uint64_t{events_} * engine_->steps_per_event());
  core.lengths.Record(kind_, size_, usual_, output, complete);
  if (!complete) return;
  core.metrics.Summary("waxwingwing_output_length_estimate_ratio")
      .Observe(static_cast<double>(expected_output_.get()) / static_cast<double>(output.get()));
}

}  // namespace waxwingwing
