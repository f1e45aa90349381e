#include "record.h"

#include <algorithm>
#include <iomanip>

namespace waxwingwing::review {

void case_record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> passed = Now() - began_at_;
  file_ << std::fixed << std::setprecision(3) << std::setw(8) << passed.count() << " s  " << line
        << std::endl;
}

void case_record::AddRun(const std::string& runner, const std::string& request) {
  const std::lock_guard lock(mutex_);
  runs_.emplace_back(runner, request);
}

std::size_t case_record::RunsOf(const std::string& request) {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::count_if(
      runs_.begin(), runs_.end(), [&](const auto& run) { return run.second == request; }));
}

std::size_t case_record::RunsAt(const std::string& runner, const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), [&](const auto& run) {
    return run.first == runner && run.second.starts_with(prefix);
  }));
}

}  // namespace waxwingwing::review
