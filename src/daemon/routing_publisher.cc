#include "daemon/routing_publisher.h"

#include <utility>

namespace waxwingwing {

routing_publisher::routing_publisher(control_context& context, backend_catalog& catalog,
                                     budget_table& budgets)
    : context_(context),
      catalog_(catalog),
      budgets_(budgets),
      cell_(std::make_shared<const routing_snapshot>()) {}

void routing_publisher::Publish(bool suspended, time_point now) {
  auto snapshot = std::make_shared<routing_snapshot>();
  snapshot->published_at = now;
  snapshot->control_offset = context_.state.next_offset();
  snapshot->configuration = context_.state.objects();
  snapshot->own_domain = context_.settings.failure_domain;
  snapshot->has_configuration = !snapshot->configuration.failure_domains.empty();
  snapshot->dispatch_suspended = suspended;
  snapshot->ready = IsReady() && !suspended;
  for (const backend_unit& unit : catalog_.units()) {
    auto& views = unit.service.empty() ? snapshot->replicas[unit.model_group]
                                       : snapshot->services[unit.service];
    views.push_back(ViewOf(unit));
  }
  cell_.Publish(std::move(snapshot));
}

backend_view routing_publisher::ViewOf(const backend_unit& unit) {
  backend_view view;
  if (unit.service.empty()) view.replica = unit.key;
  view.generation = unit.generation;
  view.vm = unit.vm;
  view.incarnation = unit.incarnation;
  view.address = unit.address;
  view.failure_domain = unit.failure_domain;
  view.routable = unit.routable;
  view.reported_running = unit.reported.requests;
  view.ms_per_token = unit.ms_per_token;
  view.reported_at = unit.reported_at;
  view.budget = budgets_.Get(unit.key).budget;
  return view;
}

bool routing_publisher::IsReady() const {
  if (context_.draining) return false;
  const auto& domains = context_.state.objects().failure_domains;
  const auto own = domains.find(context_.settings.failure_domain);
  return own != domains.end() && own->second.value.state == domain_state::kIn;
}

}  // namespace waxwingwing
