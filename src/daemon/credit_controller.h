#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "daemon/backend_catalog.h"
#include "daemon/budget_table.h"
#include "daemon/control_context.h"
#include "daemon/lease_controller.h"
#include "waxwingwing/admission/credit_ledger.h"
#include "waxwingwing/peer/messages.h"

namespace waxwingwing {

/// Requests credits from the lease holder of each failure domain, and grants credits while this
/// node holds the lease of its own domain. Runs on the control thread.
class credit_controller {
 public:
  using send_function = std::function<bool(const vm_id&, const peer_message&)>;

  credit_controller(control_context& context, lease_controller& lease,
                    const backend_catalog& catalog, budget_table& budgets, send_function send);

  void Start();
  /// Requests credits before the regular interval ends, since a request found no free capacity.
  void RequestSoon() { request_soon_ = true; }

  void HandleRequest(const vm_id& sender, const credit_request_message& request);
  void HandleGrant(const vm_id& sender, const credit_grant_message& grant);

 private:
  struct sent_request {
    std::uint64_t request = 0;
    time_point requested_at{};
    /// The term of the grantor that answered last; that grantor knows what this node uses.
    fencing_number answered;
    bool has_answer = false;
  };

  boost::asio::awaitable<void> Loop();
  void RequestAllCredits(time_point now);
  void RequestCredits(const failure_domain_id& domain, const domain_lease& lease, time_point now);
  credit_demand_message WishFor(const backend_unit& unit);
  credit_grant_message GrantAll(const vm_id& node, const credit_request_message& request,
                                time_point now);
  credit_ledger& LedgerFor(const backend_unit& unit);
  void BeginTermIfNew(time_point now);
  void RemoveEndedNodes();
  bool MayGrant(time_point now) const;
  /// The listed entry VMs of all failure domains: any of them may still use credits that an earlier
  /// lease holder granted.
  std::set<vm_id> PossibleHolders() const;

  control_context& context_;
  lease_controller& lease_;
  const backend_catalog& catalog_;
  budget_table& budgets_;
  send_function send_;
  bool request_soon_ = false;
  std::uint64_t last_request_ = 0;
  std::map<failure_domain_id, sent_request> sent_;

  fencing_number term_;
  bool has_term_ = false;
  time_point term_began_{};
  std::map<replica_id, credit_ledger> ledgers_;
  std::map<vm_id, incarnation> node_incarnations_;
};

}  // namespace waxwingwing
