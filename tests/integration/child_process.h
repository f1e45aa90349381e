#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "waxwingwing/core/units.h"

namespace waxwingwing::integration {

/// A program that runs for as long as this object lives; killed and reaped at the end.
///
/// Its output goes to `NAME.out` and `NAME.log` in the given folder. Start children on the thread
/// that outlives them: the kernel kills a child when the thread that started it ends.
class child_process {
 public:
  struct exit_status {
    /// Exit code; -1 when a signal ended the process.
    int code = -1;
    int signal = 0;
  };

  struct pause {
    std::int64_t from_us = 0;
    /// 0 while the pause lasts.
    std::int64_t to_us = 0;
  };

  /// Throws std::runtime_error when the process cannot be started.
  child_process(const std::string& name, const std::string& program,
                const std::vector<std::string>& arguments, const std::filesystem::path& folder);
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  ~child_process();

  /// The line that the program prints when it listens. Throws std::runtime_error with the end of
  /// the log when the process ended or printed none within the bound.
  const nlohmann::json& ListeningLine();
  /// A field of that line, by default the address.
  std::string Address(const std::string& field = "address");

  /// SIGSTOP and SIGCONT.
  void Pause();
  void Continue();
  /// SIGKILL; returns after the process was reaped.
  void Kill();
  /// SIGTERM; does not wait.
  void Terminate();

  /// None when the process still runs after `bound`.
  std::optional<exit_status> WaitForExit(milliseconds bound);
  bool Running();

  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  /// When the end of the process was noticed, or the signal that killed it sent; none while it
  /// runs.
  std::optional<std::int64_t> ended_at_us() const { return ended_at_us_; }
  const std::vector<pause>& pauses() const { return pauses_; }
  /// The end of what the process wrote to standard error.
  std::string LogTail() const;

 private:
  void Signal(int number);
  void Reap(bool block);

  std::string name_;
  std::filesystem::path output_;
  std::filesystem::path log_;
  pid_t pid_ = -1;
  nlohmann::json listening_line_;
  std::optional<exit_status> exit_;
  std::optional<std::int64_t> ended_at_us_;
  std::vector<pause> pauses_;
};

}  // namespace waxwingwing::integration
