#pragma once

#include <cstddef>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "sockets.h"

namespace waxwingwing::review {

/// What was sent, answered and run, in the file `record.txt` of a case.
class case_record {
 public:
  explicit case_record(const std::string& path) : file_(path), began_at_(Now()) {}

  void Write(const std::string& line);
  /// Adds a request that a runner ran.
  void AddRun(const std::string& runner, const std::string& request);
  /// How often a request has run.
  std::size_t RunsOf(const std::string& request);
  /// How many requests whose ids begin so a runner ran.
  std::size_t RunsAt(const std::string& runner, const std::string& prefix);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const time_point began_at_;
  /// Pairs of runner and request.
  std::vector<std::pair<std::string, std::string>> runs_;
};

}  // namespace waxwingwing::review
