#include "waxwingwing/core/finding.h"

namespace waxwingwing {

std::string finding_list::ToText() const {
  std::string text;
  for (const finding& item : findings_) {
    text += item.place + ": " + item.message + "\n";
  }
  return text;
}

}  // namespace waxwingwing
