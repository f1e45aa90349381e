#include "waxwingwing/relay/domain_sizes.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {

void domain_sizes::Raise(sizes& to, const sizes& from) {
  for (const auto& [domain, size] : from) {
    std::size_t& known = to[domain];
    known = std::max(known, size);
  }
}

std::map<failure_domain_id, std::size_t> domain_sizes::Update(
    const std::map<failure_domain_id, std::size_t>& reported, time_point now) {
  if (now - window_began_at_ >= window_) {
    previous_ = std::exchange(current_, {});
    window_began_at_ = now;
  }
  Raise(current_, reported);
  sizes all = current_;
  Raise(all, previous_);
  return all;
}

}  // namespace waxwingwing
