#include "waxwingwing/work/request_cost.h"

#include <algorithm>

namespace waxwingwing {

outstanding_work& outstanding_work::operator+=(const outstanding_work& other) {
  prefill += other.prefill;
  decode_steps += other.decode_steps;
  memory += other.memory;
  return *this;
}

outstanding_work& outstanding_work::operator-=(const outstanding_work& other) {
  prefill -= std::min(prefill, other.prefill);
  decode_steps -= std::min(decode_steps, other.decode_steps);
  memory -= std::min(memory, other.memory);
  return *this;
}

}  // namespace waxwingwing
