#pragma once

#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/integration/child_process.h"

namespace waxwingwing::integration {

/// What one run of a backend server's process recorded.
struct vm_records {
  std::string vm;
  /// Lists of records by name, as `GET /v1/test/records` gives them.
  nlohmann::json lists = nlohmann::json::object();
  /// When the process ended; none while it runs.
  std::optional<std::int64_t> ended_at_us;
  std::vector<child_process::pause> pauses;

  /// A list of records; empty when nothing was recorded under the name.
  nlohmann::json List(const std::string& name) const;

  /// Since when the server had not been answering at `at_us`, because its process had ended, was
  /// paused or was frozen by a fault; none when it was answering.
  std::optional<std::int64_t> SilentSince(std::int64_t at_us) const;
};

/// Reads what a stand-in wrote to its records file, also after it was killed.
nlohmann::json ReadRecordsFile(const std::filesystem::path& file);

}  // namespace waxwingwing::integration
