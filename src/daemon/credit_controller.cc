#include "daemon/credit_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "daemon/coroutine_timer.h"

namespace waxwingwing {

namespace {

constexpr milliseconds kTick{50};
constexpr milliseconds kRequestInterval{250};
/// Minimum time between two requests for credits when a request found no free capacity.
constexpr milliseconds kMinRequestInterval{100};
/// Minimum number of requests beyond those in use for which credits are requested when a request
/// found no free capacity.
constexpr std::uint32_t kDemandStep = 2;
/// How long an idle node continues to report its use. The grantor frees an earlier grant only on a
/// report that arrives after the grant's expiry, which by the grantor's clock is up to 3.1 s after
/// the last demand; the rest tolerates the loss of two reports.
constexpr milliseconds kReportAfterDemand = kCreditTimeToLive + milliseconds(1000);

}  // namespace

credit_controller::credit_controller(control_context& context, lease_controller& lease,
                                     const backend_catalog& catalog, budget_table& budgets,
                                     send_function send)
    : context_(context),
      lease_(lease),
      catalog_(catalog),
      budgets_(budgets),
      send_(std::move(send)) {}

void credit_controller::Start() {
  boost::asio::co_spawn(context_.io, Loop(), boost::asio::detached);
}

boost::asio::awaitable<void> credit_controller::Loop() {
  time_point next = context_.clock.Now();
  time_point earliest_request = next;
  for (;;) {
    const time_point now = context_.clock.Now();
    if (now >= next || (request_soon_ && now >= earliest_request)) {
      RequestAllCredits(now);
      request_soon_ = false;
      next = now + kRequestInterval;
      earliest_request = now + kMinRequestInterval;
    }
    co_await SleepFor(context_.io, kTick);
  }
}

void credit_controller::RequestAllCredits(time_point now) {
  for (const auto& [domain, lease] : context_.state.leases()) {
    if (!lease.released) RequestCredits(domain, lease, now);
  }
}

void credit_controller::RequestCredits(const failure_domain_id& domain, const domain_lease& lease,
                                       time_point now) {
  sent_request& sent = sent_[domain];
  // A new grantor needs a report of every node's use, also when a node uses nothing.
  const bool report_all = !sent.has_answer || sent.answered != lease.fencing;
  credit_request_message message;
  message.request = ++last_request_;
  message.failure_domain = domain;
  for (const backend_unit& unit : catalog_.units()) {
    if (unit.failure_domain != domain) continue;
    budget_table::entry& item = budgets_.Get(unit.key);
    const std::uint32_t wanted_before = item.wanted;
    credit_demand_message wish = WishFor(unit);
    const bool idle = wish.wanted_requests.get() == 0 && wish.used_requests.get() == 0;
    if (!idle || wanted_before > 0) item.last_demand_at = now;
    const bool recent = now < item.last_demand_at + kReportAfterDemand;
    if (report_all || recent) message.demands.push_back(std::move(wish));
  }
  if (message.demands.empty()) return;
  sent.request = message.request;
  sent.requested_at = now;
  if (lease.vm == context_.settings.vm) {
    HandleGrant(lease.vm, GrantAll(context_.settings.vm, message, now));
  } else {
    send_(lease.vm, message);
  }
}

credit_demand_message credit_controller::WishFor(const backend_unit& unit) {
  budget_table::entry& item = budgets_.Get(unit.key);
  const backend_amount held = item.budget->InUse();
  const backend_amount used = UsageBeyondStaticShare(held, item.static_share);
  const std::uint32_t unmet = item.budget->TakeUnmetRequests();
  // Without demand the wanted number falls by a quarter with each report, so that a short pause in
  // demand does not release all credits.
  std::uint32_t wanted = item.wanted - (item.wanted + 3) / 4;
  wanted = std::max(wanted, used.requests.get());
  if (unmet > 0) wanted = std::max(wanted, used.requests.get() + std::max(unmet, kDemandStep));
  wanted = std::min(wanted, unit.warm_requests.get());
  item.wanted = wanted;

  credit_demand_message wish;
  wish.replica = unit.key;
  wish.generation = unit.generation;
  wish.incarnation = unit.combined_incarnation;
  wish.wanted_requests = request_count(wanted);
  wish.used_requests = used.requests;
  wish.used_kv_tokens = used.kv_tokens;
  const std::uint64_t per_request =
      unit.limit.kv_tokens.get() / std::max<std::uint32_t>(unit.warm_requests.get(), 1);
  // A request may need more KV memory than an equal share, so twice that share is requested.
  wish.wanted_kv_tokens = token_count(std::max(per_request * wanted * 2, used.kv_tokens.get()));
  return wish;
}

void credit_controller::HandleRequest(const vm_id& sender, const credit_request_message& request) {
  if (request.failure_domain != context_.settings.failure_domain) return;
  const time_point now = context_.clock.Now();
  if (!MayGrant(now)) {
    context_.metrics.Counter("waxwingwing_credit_requests_refused_total").Increment();
    return;
  }
  send_(sender, GrantAll(sender, request, now));
}

void credit_controller::HandleGrant(const vm_id& sender, const credit_grant_message& grant) {
  for (auto& [domain, sent] : sent_) {
    if (sent.request != grant.request) continue;
    const domain_lease* lease = context_.state.FindLease(domain);
    if (lease == nullptr || lease->vm != sender || lease->fencing != grant.fencing) return;
    sent.answered = grant.fencing;
    sent.has_answer = true;
    for (const credit_message& credit : grant.credits) {
      const backend_amount amount{credit.requests, credit.kv_tokens};
      budgets_.Get(credit.replica)
          .credits.Accept(credit.generation, credit.incarnation, grant.fencing, amount,
                          sent.requested_at);
    }
    return;
  }
}

credit_grant_message credit_controller::GrantAll(const vm_id& node,
                                                 const credit_request_message& request,
                                                 time_point now) {
  credit_grant_message grant;
  grant.request = request.request;
  if (!MayGrant(now)) return grant;
  BeginTermIfNew(now);
  RemoveEndedNodes();
  grant.fencing = term_;
  for (const credit_demand_message& wish : request.demands) {
    const backend_unit* unit = catalog_.Find(wish.replica);
    if (unit == nullptr || unit->generation != wish.generation) continue;
    if (unit->combined_incarnation != wish.incarnation) continue;
    credit_ledger& ledger = LedgerFor(*unit);
    const backend_amount wanted{wish.wanted_requests, wish.wanted_kv_tokens};
    const backend_amount used{wish.used_requests, wish.used_kv_tokens};
    const backend_amount granted = ledger.Grant(node, wanted, used, now);
    grant.credits.push_back({wish.replica, wish.generation, wish.incarnation, granted.requests,
                             granted.kv_tokens, kCreditTimeToLive});
  }
  return grant;
}

credit_ledger& credit_controller::LedgerFor(const backend_unit& unit) {
  const auto [found, created] = ledgers_.try_emplace(unit.key);
  credit_ledger& ledger = found->second;
  if (created) ledger.BeginTerm(term_began_);
  ledger.SetPool(unit.generation, unit.combined_incarnation, CreditPart(unit.limit));
  ledger.SetHeld(unit.reported, PossibleHolders());
  return ledger;
}

void credit_controller::BeginTermIfNew(time_point now) {
  if (has_term_ && term_ == lease_.Fencing()) return;
  has_term_ = true;
  term_ = lease_.Fencing();
  term_began_ = now;
  ledgers_.clear();
}

void credit_controller::RemoveEndedNodes() {
  for (const auto& [vm, peer] : context_.peers.peers()) {
    const auto known = node_incarnations_.find(vm);
    if (known != node_incarnations_.end() && known->second != peer.incarnation) {
      for (auto& [key, ledger] : ledgers_) ledger.RemoveNode(vm);
    }
    node_incarnations_[vm] = peer.incarnation;
  }
  std::erase_if(node_incarnations_, [&](const auto& item) {
    if (context_.peers.Find(item.first) != nullptr) return false;
    for (auto& [key, ledger] : ledgers_) ledger.RemoveNode(item.first);
    return true;
  });
}

bool credit_controller::MayGrant(time_point now) const {
  const auto end = lease_.ValidUntil();
  // Credits must not outlive the lease, or the next holder could grant the same capacity again.
  return lease_.IsHolder() && end.has_value() && now + kCreditTimeToLive < *end;
}

std::set<vm_id> credit_controller::PossibleHolders() const {
  std::set<vm_id> nodes = {context_.settings.vm};
  for (const auto& [vm, peer] : context_.peers.peers()) nodes.insert(vm);
  return nodes;
}

}  // namespace waxwingwing
