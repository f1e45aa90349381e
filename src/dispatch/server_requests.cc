#include "waxwingwing/dispatch/server_requests.h"

#include <algorithm>

namespace waxwingwing {

server_usage& server_usage::operator+=(const server_usage& other) {
  running += other.running;
  work += other.work;
  return *this;
}

server_usage& server_usage::operator-=(const server_usage& other) {
  running -= std::min(running, other.running);
  work -= other.work;
  return *this;
}

}  // namespace waxwingwing
