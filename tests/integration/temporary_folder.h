#pragma once

#include <filesystem>

namespace waxwingwing::integration {

/// A new folder for the logs and records of one test. It is removed at the end, but kept and named
/// on standard error when the test ends with an exception (a failed REQUIRE is one).
class temporary_folder {
 public:
  temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  ~temporary_folder();

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
  int exceptions_at_start_;
};

}  // namespace waxwingwing::integration
