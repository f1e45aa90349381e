#pragma once

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/integration/child_process.h"
#include "tests/integration/http_client.h"
#include "tests/integration/temporary_folder.h"

namespace waxwingwing::integration {

/// Starts the project's programs with their logs and records in one temporary folder.
class platform_processes {
 public:
  using child = std::unique_ptr<child_process>;

  platform_processes() = default;
  platform_processes(const platform_processes&) = delete;
  platform_processes& operator=(const platform_processes&) = delete;

  /// Starts a stand-in of the kind; `name` must be unique. Does not wait until it listens.
  child StartStandIn(const std::string& kind, const std::string& name,
                     const std::vector<std::string>& flags = {});
  /// Starts `waxwingwing serve`.
  child StartEntryVm(const std::string& name, const std::vector<std::string>& flags);

  /// The file that the stand-in with this name writes its records to.
  std::filesystem::path RecordsFile(const std::string& name) const;
  const std::filesystem::path& folder() const { return folder_.path(); }

 private:
  temporary_folder folder_;
};

/// Sets faults of a stand-in; throws std::runtime_error when it knows one of them not.
void SetFaults(child_process& stand_in, const nlohmann::json& faults);

/// The records of a stand-in that runs.
nlohmann::json GetRecords(child_process& stand_in);

}  // namespace waxwingwing::integration
