#include "waxwingwing/duty/duty_gate.h"

namespace waxwingwing {

bool duty_gate::MayCall(std::uint64_t term, bool may_act, time_point now) {
  if (term != term_) {
    term_ = term;
    term_seen_at_ = now;
  }
  return term_ > 0 && may_act && now - term_seen_at_ >= takeover_wait_;
}

}  // namespace waxwingwing
