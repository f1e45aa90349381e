#include "daemon/membership_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "daemon/coroutine_timer.h"
#include "waxwingwing/membership/rendezvous.h"

namespace waxwingwing {

namespace {

constexpr milliseconds kListInterval{1000};
constexpr milliseconds kListTimeout{1000};
constexpr milliseconds kPollInterval{500};
constexpr milliseconds kPollTimeout{1000};
constexpr milliseconds kPushInterval{500};

}  // namespace

membership_controller::membership_controller(control_context& context, send_function send)
    : context_(context),
      send_(std::move(send)),
      list_(context.http, context.settings.vm_list_address, kListTimeout),
      engines_(context.http, context.clock) {}

void membership_controller::Start(std::string caller_address) {
  caller_address_ = std::move(caller_address);
  boost::asio::co_spawn(context_.io, ListLoop(), boost::asio::detached);
  boost::asio::co_spawn(context_.io, PollLoop(), boost::asio::detached);
  boost::asio::co_spawn(context_.io, PushLoop(), boost::asio::detached);
}

void membership_controller::HandleStatus(const vm_id& sender, node_status_message status) {
  const time_point now = context_.clock.Now();
  const peer_status peer_update{status.vm, status.failure_domain, status.incarnation,
                                status.control_offset, status.draining};
  if (!context_.peers.Observe(peer_update, milliseconds(0), now)) return;
  if (status.failure_domain != context_.settings.failure_domain) context_.platform_contact_at = now;
  for (const backend_report_message& report : status.backends) {
    context_.reports.Observe(FromMessage(report, now), now);
  }
  const domain_lease* lease = context_.state.FindLease(status.failure_domain);
  if (lease != nullptr && lease->vm == status.vm && lease->incarnation == status.incarnation) {
    context_.draining_replicas[status.failure_domain] = status.draining_replicas;
  }
  if (!status.forward) return;
  const auto targets = context_.peers.SelectForwardTargets(status.vm, sender, now);
  status.forward = false;
  for (const vm_id& target : targets) send_(target, status);
}

void membership_controller::PollNow(const vm_id& vm) {
  const auto found = std::find_if(context_.vms.begin(), context_.vms.end(),
                                  [&](const vm_entry& entry) { return entry.id == vm; });
  if (found == context_.vms.end() || polling_.contains(vm)) return;
  boost::asio::co_spawn(context_.io, Poll(*found), boost::asio::detached);
}

void membership_controller::PushStatus() {
  const time_point now = context_.clock.Now();
  node_status_message status = OwnStatus(now);
  for (const auto& [vm, peer] : context_.peers.peers()) {
    if (peer.failure_domain == context_.settings.failure_domain) send_(vm, status);
  }
  status.forward = true;
  for (const vm_id& bridge : context_.peers.SelectStatusRecipients(now)) send_(bridge, status);
}

boost::asio::awaitable<void> membership_controller::ListLoop() {
  for (;;) {
    result<vm_list> list = co_await list_.Read();
    if (list) {
      context_.platform_contact_at = context_.clock.Now();
      const bool changed = list->entries != context_.vms;
      context_.vms = std::move(list->entries);
      context_.metrics.Gauge("waxwingwing_vm_list_faults")
          .Set(static_cast<std::int64_t>(list->faults.all().size()));
      context_.peers.UpdateFromVmList(context_.vms);
      context_.reports.Retain(context_.vms);
      if (changed && on_list_change_) on_list_change_();
    } else {
      context_.metrics.Counter("waxwingwing_vm_list_failures_total").Increment();
    }
    co_await SleepFor(context_.io, kListInterval);
  }
}

boost::asio::awaitable<void> membership_controller::PollLoop() {
  for (;;) {
    for (const vm_entry* vm : PolledBackends(context_.clock.Now())) {
      if (polling_.contains(vm->id)) continue;
      boost::asio::co_spawn(context_.io, Poll(*vm), boost::asio::detached);
    }
    co_await SleepFor(context_.io, kPollInterval);
  }
}

boost::asio::awaitable<void> membership_controller::PushLoop() {
  for (;;) {
    PushStatus();
    co_await SleepFor(context_.io, kPushInterval);
  }
}

boost::asio::awaitable<void> membership_controller::Poll(vm_entry vm) {
  polling_.insert(vm.id);
  const result<backend_report> report = co_await engines_.Status(vm, kPollTimeout);
  polling_.erase(vm.id);
  context_.metrics
      .Counter("waxwingwing_backend_polls_total", {{"result", report ? "answered" : "failed"}})
      .Increment();
  if (report) context_.reports.Observe(*report, context_.clock.Now());
}

std::vector<const vm_entry*> membership_controller::PolledBackends(time_point now) const {
  const std::vector<vm_id> pollers = context_.peers.LiveBackendPollers(now);
  std::vector<const vm_entry*> polled;
  for (const vm_entry& vm : context_.vms) {
    if (vm.role == vm_role::kEntry) continue;
    if (vm.failure_domain != context_.settings.failure_domain) continue;
    if (SelectPoller(vm.id, pollers) == context_.settings.vm) polled.push_back(&vm);
  }
  return polled;
}

node_status_message membership_controller::OwnStatus(time_point now) {
  node_status_message status;
  status.vm = context_.settings.vm;
  status.incarnation = context_.own_incarnation;
  status.failure_domain = context_.settings.failure_domain;
  status.sequence = ++sequence_;
  status.control_offset = context_.state.next_offset();
  status.draining = context_.draining;
  status.caller_address = caller_address_;
  status.backends = FreshReports(now);
  const domain_lease* lease = context_.state.FindLease(context_.settings.failure_domain);
  if (lease != nullptr && lease->vm == status.vm && lease->incarnation == status.incarnation) {
    status.draining_replicas = context_.draining_replicas[context_.settings.failure_domain];
  }
  return status;
}

std::vector<backend_report_message> membership_controller::FreshReports(time_point now) const {
  std::vector<backend_report_message> reports;
  for (const vm_entry* vm : PolledBackends(now)) {
    const backend_report* report = context_.reports.FindFresh(vm->id, now);
    if (report != nullptr) reports.push_back(ToMessage(*report, now));
  }
  return reports;
}

}  // namespace waxwingwing
