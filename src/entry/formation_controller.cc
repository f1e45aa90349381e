#include "entry/formation_controller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace waxwingwing {
namespace {

constexpr milliseconds kPlanInterval{300};
/// Planning interval while groups are being formed or released.
constexpr milliseconds kBusyPlanInterval{60};
constexpr milliseconds kOrderTimeout{400};
constexpr milliseconds kProbeTimeout{220};
/// Traffic begins 10 s after the first start of a deployment; model loads before that are not
/// limited.
constexpr milliseconds kUnlimitedLoadTime{8500};
/// Number of epochs reserved for each term, so that the epochs of a term exceed those of all
/// earlier terms, including epochs that appear in no registration. Each renewal of the lease
/// increases the number of the next term, too.
constexpr std::uint64_t kEpochsPerTerm = 1000;

}  // namespace

formation_controller::formation_controller(entry_context& entry, controller_election& election,
                                           order_client& orders)
    : entry_(entry),
      election_(election),
      orders_(orders),
      pause_(entry.context),
      started_at_(entry.clock.Now()) {}

awaitable<void> formation_controller::Run() {
  while (!entry_.state.stopping) {
    Plan();
    const milliseconds pause = busy_ ? kBusyPlanInterval : kPlanInterval;
    co_await pause_.Wait(pause);
  }
}

group_planner& formation_controller::PlannerOf(const service_id& service) {
  const auto [found, is_new] = planners_.try_emplace(service, group_planner_options{});
  if (is_new) found->second.Reset(epoch_floor_);
  return found->second;
}

void formation_controller::OnStall(const server_group_id& group) {
  if (!acting_) return;
  const time_point now = entry_.clock.Now();
  for (auto& [service, planner] : planners_) planner.RecordStall(group, now);
  pause_.Wake();
}

void formation_controller::Plan() {
  const bool is_controller = election_.IsController();
  busy_ = false;
  if (!is_controller || !entry_.state.configuration || !entry_.state.directory_confirmed_at) {
    acting_ = false;
    return;
  }
  acting_ = true;
  if (term_ != election_.term()) {
    term_ = election_.term();
    epoch_floor_ = election_.term() * kEpochsPerTerm;
    for (auto& [service, planner] : planners_) planner.Reset(epoch_floor_);
  }
  const time_point now = entry_.clock.Now();
  const auto configuration = entry_.state.configuration;
  for (const service_settings& service : configuration->services()) {
    if (service.models.empty()) continue;
    group_planner& planner = PlannerOf(service.id);
    planner.SetLoadsLimited(!entry_.settings.first_start || now - started_at_ > kUnlimitedLoadTime);
    for (formation_order& order : planner.Plan(service, entry_.state.directory, now)) {
      asio::co_spawn(entry_.context, SendOrder(service.id, std::move(order)), asio::detached);
    }
    busy_ = busy_ || planner.IsBusy();
    LogReleases(service.id, planner.TakeReleases());
    std::string& known_shortage = shortages_[service.id];
    if (planner.shortage() == known_shortage) continue;
    known_shortage = planner.shortage();
    entry_.log.Write("groups_missing",
                     {{"service", service.id.str()}, {"domains", known_shortage}});
  }
}

void formation_controller::LogReleases(const service_id& service,
                                       const std::vector<group_release>& releases) {
  for (const group_release& release : releases) {
    entry_.metrics
        .Counter("waxwingwing_groups_released_total", {{"reason", NameOf(release.reason)}})
        .Increment();
    entry_.log.Write("group_released", {{"service", service.str()},
                                        {"group", release.group.str()},
                                        {"head", release.head.str()},
                                        {"members", release.members},
                                        {"reason", NameOf(release.reason)},
                                        {"adopted", release.adopted},
                                        {"unregistered_ms", release.unregistered},
                                        {"silent_ms", release.silent},
                                        {"unanswered_probes", release.unanswered_probes},
                                        {"term", election_.term()}});
  }
}

awaitable<void> formation_controller::SendOrder(service_id service, formation_order order) {
  const bool probe = order.action == formation_action::kProbe;
  const milliseconds timeout = probe ? kProbeTimeout : kOrderTimeout;
  const time_point sent_at = entry_.clock.Now();
  // An order must not be sent once this VM is no longer the controller.
  if (!probe && !election_.IsController()) co_return;
  const order_reply answer = co_await orders_.Send(order, timeout);
  const time_point now = entry_.clock.Now();
  entry_.metrics
      .Counter("waxwingwing_orders_total",
               {{"action", NameOf(order.action)}, {"outcome", NameOf(answer.outcome)}})
      .Increment();
  entry_.log.Write("order_sent", {{"action", NameOf(order.action)},
                                  {"server", order.target.str()},
                                  {"group", order.group.str()},
                                  {"epoch", order.epoch},
                                  {"members", order.members.size()},
                                  {"model", order.model},
                                  {"outcome", NameOf(answer.outcome)},
                                  {"term", election_.term()},
                                  {"took_ms", now - sent_at}});
  group_planner& planner = PlannerOf(service);
  if (probe) {
    planner.RecordProbe(order.target, answer.outcome, answer.membership, now);
  } else {
    planner.RecordOutcome(order, answer.outcome, now);
  }
  pause_.Wake();
}

}  // namespace waxwingwing
