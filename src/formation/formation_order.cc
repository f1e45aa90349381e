#include "waxwingwing/formation/formation_order.h"

#include <array>
#include <cstddef>

namespace waxwingwing {

const char* NameOf(formation_action action) {
  static constexpr std::array kNames = {"join", "open", "close", "leave", "stage", "probe"};
  return kNames.at(static_cast<std::size_t>(action));
}

const char* NameOf(order_outcome outcome) {
  static constexpr std::array kNames = {"accepted", "conflict",    "outdated", "wrong_server",
                                        "rejected", "unreachable", "no_answer"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace waxwingwing
