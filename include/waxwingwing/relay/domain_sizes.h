#pragma once

#include <cstddef>
#include <map>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing {

/// Number of VMs in each failure domain, as the largest that was reported lately. VMs that change
/// their parent are in no report for a moment. Use from one thread.
class domain_sizes {
 public:
  /// A number is kept for at least `window`, and for at most twice as long.
  explicit domain_sizes(milliseconds window = milliseconds(2000)) : window_(window) {}

  /// Adds what is reported now and returns the sizes.
  std::map<failure_domain_id, std::size_t> Update(
      const std::map<failure_domain_id, std::size_t>& reported, time_point now);

 private:
  using sizes = std::map<failure_domain_id, std::size_t>;
  static void Raise(sizes& to, const sizes& from);

  const milliseconds window_;
  time_point window_began_at_{};
  sizes current_;
  sizes previous_;
};

}  // namespace waxwingwing
