#pragma once

#include <cstddef>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "sockets.h"

namespace waxwingwing::review {

/// What was sent, answered and run, in the file `record.txt` of a case.
class case_record {
 public:
  explicit case_record(const std::string& path) : file_(path), began_at_(Now()) {}

  void Write(const std::string& line);
  /// Adds a request that a runner ran.
  void AddRun(const std::string& request);
  /// How often a request has run.
  std::size_t RunsOf(const std::string& request);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const time_point began_at_;
  std::vector<std::string> runs_;
};

}  // namespace waxwingwing::review
