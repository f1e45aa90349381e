#include "forward/refused_requests.h"

#include <algorithm>

#include "waxwingwing/core/hash.h"

namespace waxwingwing {

void refused_requests::Add(const request_id& request) {
  if (!Contains(request)) hashes_.push_back(StableHash(request.str()));
}

bool refused_requests::Contains(const request_id& request) const {
  if (hashes_.empty()) return false;
  return std::find(hashes_.begin(), hashes_.end(), StableHash(request.str())) != hashes_.end();
}

}  // namespace waxwingwing
