#include "daemon/group_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "daemon/coroutine_timer.h"

namespace waxwingwing {

namespace {

constexpr milliseconds kTick{250};
/// After a change of the lease holder, orders wait at most this long for reports of all
/// engine VMs; a VM that has not reported by then counts as silent.
constexpr milliseconds kSurveyTimeout{2000};

replica_planner MakePlanner() {
  auto planner = replica_planner::Create(planner_options());
  CHECK(planner) << planner.reason();
  return std::move(*planner);
}

const char* ToText(order_kind kind) { return kind == order_kind::kAssign ? "assign" : "release"; }

const char* ToText(order_state state) {
  switch (state) {
    case order_state::kAccepted:
      return "accepted";
    case order_state::kStale:
      return "stale";
    case order_state::kFailed:
      break;
  }
  return "failed";
}

}  // namespace

group_controller::group_controller(control_context& context, lease_controller& lease)
    : context_(context),
      lease_(lease),
      engines_(context.http, context.clock),
      planner_(MakePlanner()) {}

void group_controller::Start() {
  boost::asio::co_spawn(context_.io, Loop(), boost::asio::detached);
}

boost::asio::awaitable<void> group_controller::Loop() {
  for (;;) {
    Tick();
    co_await SleepFor(context_.io, kTick);
  }
}

void group_controller::Tick() {
  const time_point now = context_.clock.Now();
  if (!lease_.IsHolder()) {
    if (in_term_) context_.draining_replicas.erase(context_.settings.failure_domain);
    in_term_ = false;
    return;
  }
  if (!in_term_ || term_ != lease_.Fencing()) BeginTerm(now);
  if (lease_.PermittedOrders(now) == order_permission::kNone || !HasSurveyed(now)) return;

  const planner_input input{context_.state.objects(),
                            context_.settings.failure_domain,
                            context_.vms,
                            context_.reports,
                            term_,
                            outstanding_,
                            now};
  plan_result plan = planner_.Plan(input, std::move(state_));
  state_ = std::move(plan.state);
  context_.draining_replicas[context_.settings.failure_domain] = std::move(plan.draining);
  for (replica_order& order : plan.orders) {
    if (!MaySend(order, now)) continue;
    outstanding_.insert(order.target);
    lease_.RecordOrder(now);
    boost::asio::co_spawn(context_.io, Send(std::move(order)), boost::asio::detached);
  }
}

void group_controller::BeginTerm(time_point now) {
  in_term_ = true;
  term_ = lease_.Fencing();
  term_began_ = now;
  state_ = planner_state();
}

bool group_controller::HasSurveyed(time_point now) const {
  if (now >= term_began_ + kSurveyTimeout) return true;
  return std::all_of(context_.vms.begin(), context_.vms.end(), [&](const vm_entry& vm) {
    if (vm.role != vm_role::kEngine) return true;
    if (vm.failure_domain != context_.settings.failure_domain) return true;
    const backend_report* report = context_.reports.Find(vm.id);
    return report != nullptr && report->taken_at >= term_began_;
  });
}

bool group_controller::MaySend(const replica_order& order, time_point now) const {
  const order_permission permission = lease_.PermittedOrders(now);
  if (permission == order_permission::kAll) return true;
  if (permission == order_permission::kNone) return false;
  const backend_report* report = context_.reports.Find(order.target);
  return report != nullptr && report->checks_fencing;
}

boost::asio::awaitable<void> group_controller::Send(replica_order order) {
  const vm_id target = order.target;
  const order_kind kind = order.kind;
  order_answer answer = co_await engines_.SendOrder(
      std::move(order), context_.settings.failure_domain, kOrderTimeout);
  outstanding_.erase(target);
  context_.metrics
      .Counter("waxwingwing_orders_total",
               {{"kind", ToText(kind)}, {"result", ToText(answer.state)}})
      .Increment();
  if (answer.report) context_.reports.Observe(*answer.report, context_.clock.Now());
}

}  // namespace waxwingwing
