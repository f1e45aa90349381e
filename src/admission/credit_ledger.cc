#include "waxwingwing/admission/credit_ledger.h"

#include <algorithm>

namespace waxwingwing {

namespace {

backend_amount Max(backend_amount left, backend_amount right) {
  return {std::max(left.requests, right.requests), std::max(left.kv_tokens, right.kv_tokens)};
}

backend_amount Min(backend_amount left, backend_amount right) {
  return {std::min(left.requests, right.requests), std::min(left.kv_tokens, right.kv_tokens)};
}

backend_amount Sum(backend_amount left, backend_amount right) {
  return {left.requests + right.requests, left.kv_tokens + right.kv_tokens};
}

backend_amount Remainder(backend_amount from, backend_amount taken) {
  const backend_amount bounded = Min(from, taken);
  return {from.requests - bounded.requests, from.kv_tokens - bounded.kv_tokens};
}

/// How long the grantor reserves a grant: the time to live plus twice the clock-rate error of 1%,
/// so that the reservation outlasts the grant on the node's clock.
constexpr milliseconds kGrantReservation = kCreditTimeToLive + kCreditTimeToLive / 50;

/// A node whose last request for credits is older than this no longer competes for them.
constexpr milliseconds kDemandTimeout{2000};

}  // namespace

backend_amount credit_ledger::node_account::Reserved(time_point now) const {
  // Grants stay reserved beyond their expiry until the node's next report, since the node may have
  // used them just before they expired.
  const time_point last_end = grants.empty() ? reported_at : grants.back().expires_at;
  if (now >= last_end + kMaxRequestDuration) return {};
  backend_amount reserved = used;
  for (const grant& item : grants) reserved = Max(reserved, item.amount);
  return reserved;
}

void credit_ledger::node_account::RemoveExpiredGrants(time_point now) {
  std::erase_if(grants, [now](const grant& item) { return now >= item.expires_at; });
}

void credit_ledger::SetPool(generation member_generation, incarnation server, backend_amount pool) {
  pool_ = pool;
  if (member_generation == generation_ && server == incarnation_) return;
  generation_ = member_generation;
  incarnation_ = server;
  nodes_.clear();
  unreported_.clear();
  held_ = {};
}

void credit_ledger::BeginTerm(time_point now) {
  nodes_.clear();
  first_grant_at_ = now + kGrantReservation;
  all_nodes_reported_ = false;
  unreported_.clear();
}

void credit_ledger::SetHeld(backend_amount held, const std::set<vm_id>& nodes) {
  held_ = held;
  if (all_nodes_reported_) return;
  unreported_.clear();
  for (const vm_id& node : nodes) {
    if (!nodes_.contains(node)) unreported_.insert(node);
  }
  all_nodes_reported_ = unreported_.empty() && !nodes.empty();
}

backend_amount credit_ledger::Grant(const vm_id& node, backend_amount wanted, backend_amount used,
                                    time_point now) {
  node_account& account = nodes_[node];
  unreported_.erase(node);
  account.used = used;
  account.wanted = wanted;
  account.reported_at = now;
  if (now < first_grant_at_) return {};

  const backend_amount share = FairShare(node, wanted, now);
  account.RemoveExpiredGrants(now);
  const backend_amount others = Remainder(Reserved(now), account.Reserved(now));
  const backend_amount granted = Min(share, Remainder(pool_, Sum(others, UnreportedUsage(now))));
  account.grants.push_back({granted, now + kGrantReservation});
  return granted;
}

void credit_ledger::RemoveNode(const vm_id& node) {
  nodes_.erase(node);
  unreported_.erase(node);
}

backend_amount credit_ledger::Reserved(time_point now) const {
  backend_amount total;
  for (const auto& [node, account] : nodes_) total = Sum(total, account.Reserved(now));
  return total;
}

backend_amount credit_ledger::FairShare(const vm_id& node, backend_amount wanted,
                                        time_point now) const {
  std::uint32_t competitors = 1;
  backend_amount others_wanted;
  for (const auto& [other, account] : nodes_) {
    if (other == node || now > account.reported_at + kDemandTimeout) continue;
    if (account.wanted.requests.get() == 0) continue;
    ++competitors;
    others_wanted = Sum(others_wanted, account.wanted);
  }
  const backend_amount equal = {request_count(pool_.requests.get() / competitors),
                                token_count(pool_.kv_tokens.get() / competitors)};
  // A node may get more than an equal share if the other nodes do not request all of theirs.
  const backend_amount unwanted = Remainder(pool_, others_wanted);
  return Min(wanted, Max(Max(equal, unwanted), {request_count(1), equal.kv_tokens}));
}

backend_amount credit_ledger::UnreportedUsage(time_point now) const {
  const bool settled = all_nodes_reported_ || now >= first_grant_at_ + kMaxRequestDuration;
  return settled ? backend_amount{} : held_;
}

}  // namespace waxwingwing
