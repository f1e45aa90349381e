#pragma once

#include <string>
#include <utility>
#include <vector>

namespace waxwingwing {

/// One fault of an input, with its place (a JSON path, a flag name or a file position).
struct finding {
  std::string place;
  std::string message;

  bool operator==(const finding&) const = default;
};

/// Collects the faults of one input, so that all are reported together.
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
