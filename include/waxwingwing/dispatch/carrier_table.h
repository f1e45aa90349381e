#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Another VM that reaches the backend servers and takes requests over from one that does not.
struct carrier_vm {
  vm_id vm;
  /// `ip:port` on which it takes the requests.
  std::string address;
  failure_domain_id failure_domain;
  /// Its processor time and link, in the unit of the other carriers; positive.
  double capacity = 1;

  bool operator==(const carrier_vm&) const = default;
};

/// The carriers that this VM knows, and its requests at them. Use from one thread.
class carrier_table {
 public:
  carrier_table(failure_domain_id own_domain, random_source random)
      : own_domain_(std::move(own_domain)), random_(random) {}

  /// Replaces the list. Carriers that it does not name are used no more.
  void Set(std::vector<carrier_vm> carriers, time_point now);
  /// Whether any carrier is known at `now`; a list expires.
  bool IsEmpty(time_point now) const;
  /// Selects the less loaded of two random carriers, of the own failure domain if it has any that
  /// can be used; null when there is none besides those in `excluded`.
  const carrier_vm* Select(const std::set<vm_id>& excluded, time_point now);

  /// Records that a request was sent to a carrier, or has ended there.
  void RecordSent(const vm_id& vm) { ++running_[vm]; }
  void RecordEnded(const vm_id& vm);
  /// Records that a carrier could not be reached or took no request, and is left out for a while.
  void Suspend(const vm_id& vm, time_point until) { suspended_until_[vm] = until; }

 private:
  double LoadOf(const carrier_vm& carrier) const;

  const failure_domain_id own_domain_;
  random_source random_;
  std::vector<carrier_vm> carriers_;
  time_point listed_at_{};
  std::map<vm_id, std::size_t> running_;
  std::map<vm_id, time_point> suspended_until_;
};

}  // namespace waxwingwing
