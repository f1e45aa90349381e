#pragma once

#include <string>
#include <utility>
#include <vector>

namespace waxwingwing {

/// One error in an input, with its location (a JSON path, a flag name or a file position).
struct finding {
  std::string place;
  std::string message;

  bool operator==(const finding&) const = default;
};

/// Collects all errors in one input, so that they are reported together.
class finding_list {
 public:
  void Add(std::string place, std::string message) {
    findings_.push_back({std::move(place), std::move(message)});
  }
  bool empty() const { return findings_.empty(); }
  const std::vector<finding>& all() const { return findings_; }

  /// One line for each finding: `place: message`.
  std::string ToText() const;

 private:
  std::vector<finding> findings_;
};

}  // namespace waxwingwing
