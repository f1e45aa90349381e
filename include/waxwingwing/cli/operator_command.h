#pragma once
#include <ostream>
#include <string>
#include <vector>
namespace waxwingwing {
inline int RunOperatorCommand(const std::vector<std::string>&, std::ostream&, std::ostream&) {
  return 2;
}
}  // namespace waxwingwing
