#include "daemon/lease_controller.h"

#include <glog/logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "daemon/coroutine_timer.h"

namespace waxwingwing {

namespace {

constexpr milliseconds kTick{100};

const char* ToText(lease_action action) {
  switch (action) {
    case lease_action::kClaim:
      return "claim";
    case lease_action::kRenew:
      return "renew";
    case lease_action::kRelease:
      return "release";
    case lease_action::kWait:
    case lease_action::kHold:
      break;
  }
  return "none";
}

}  // namespace

lease_controller::lease_controller(control_context& context, log_controller& log)
    : context_(context),
      log_(log),
      decisions_({context.settings.failure_domain, context.settings.vm, context.own_incarnation},
                 lease_timing(), random_source(context.random.Next())) {}

void lease_controller::Start() {
  boost::asio::co_spawn(context_.io, Loop(), boost::asio::detached);
}

bool lease_controller::HoldsValidLease(time_point now) const {
  const auto end = decisions_.ValidUntil();
  return decisions_.IsHolder() && end.has_value() && now < *end;
}

boost::asio::awaitable<void> lease_controller::Loop() {
  for (;;) {
    Tick();
    co_await SleepFor(context_.io, kTick);
  }
}

void lease_controller::Tick() {
  const time_point now = context_.clock.Now();
  // A domain that is not configured needs no controller, so its lease is not claimed.
  if (!context_.state.objects().failure_domains.contains(context_.settings.failure_domain)) return;
  const bool was_holder = decisions_.IsHolder();
  decisions_.Observe(context_.state.FindLease(context_.settings.failure_domain), now);
  if (was_holder != decisions_.IsHolder()) {
    LOG(INFO) << "event=lease_" << (was_holder ? "lost" : "won")
              << " failure_domain=" << context_.settings.failure_domain
              << " fencing_number=" << (was_holder ? fencing_number() : Fencing());
  }
  context_.metrics.Gauge("waxwingwing_lease_held").Set(HoldsValidLease(now) ? 1 : 0);
  const lease_decision decision = decisions_.Decide(LiveMembers(now), now);
  if (!decision.append) return;
  context_.metrics.Counter("waxwingwing_lease_appends_total", {{"action", ToText(decision.action)}})
      .Increment();
  boost::asio::co_spawn(context_.io, Append(*decision.append), boost::asio::detached);
}

boost::asio::awaitable<void> lease_controller::Append(lease_append append) {
  const append_answer answer = co_await log_.Append(append.id, append.record);
  if (answer.state == append_state::kAppended) decisions_.RecordAppendAnswered(append.id);
}

std::vector<vm_id> lease_controller::LiveMembers(time_point now) const {
  return context_.peers.LiveBackendPollers(now);
}

}  // namespace waxwingwing
