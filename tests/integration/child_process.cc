#include "tests/integration/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "tests/integration/wait_for.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing::integration {
namespace {

// Generous, because several builds and tests may share the machine.
constexpr milliseconds kStartBound{20000};
constexpr std::size_t kLogTailBytes = 4000;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

pid_t Spawn(const std::vector<std::string>& command, const std::string& output,
            const std::string& log) {
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  const scope_guard destroy([&] { ::posix_spawn_file_actions_destroy(&actions); });
  const int flags = O_WRONLY | O_CREAT | O_APPEND;
  ::posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), flags, 0600);
  ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), flags, 0600);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& part : command) arguments.push_back(const_cast<char*>(part.c_str()));
  arguments.push_back(nullptr);
  pid_t pid = -1;
  const int failure =
      ::posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  if (failure != 0) throw std::runtime_error("cannot start " + command[0]);
  return pid;
}

}  // namespace

child_process::child_process(const std::string& name, const std::string& program,
                             const std::vector<std::string>& arguments,
                             const std::filesystem::path& folder)
    : name_(name), output_(folder / (name + ".out")), log_(folder / (name + ".log")) {
  std::vector<std::string> command = {CHILD_LAUNCHER_PROGRAM, std::to_string(::getpid()), program};
  command.insert(command.end(), arguments.begin(), arguments.end());
  pid_ = Spawn(command, output_.string(), log_.string());
}

child_process::~child_process() { Kill(); }

const nlohmann::json& child_process::ListeningLine() {
  if (!listening_line_.is_null()) return listening_line_;
  std::string output;
  const bool printed = WaitFor(
      [&] {
        output = ReadFile(output_);
        return output.find('\n') != std::string::npos || !Running();
      },
      kStartBound);
  const std::size_t end = output.find('\n');
  if (!printed || end == std::string::npos) {
    throw std::runtime_error(name_ + " does not listen: " + LogTail());
  }
  listening_line_ = nlohmann::json::parse(output.substr(0, end));
  return listening_line_;
}

std::string child_process::Address(const std::string& field) {
  return ListeningLine().at(field).get<std::string>();
}

void child_process::Pause() {
  Signal(SIGSTOP);
  pauses_.push_back({MonotonicMicros(), 0});
}

void child_process::Continue() {
  if (!pauses_.empty() && pauses_.back().to_us == 0) pauses_.back().to_us = MonotonicMicros();
  Signal(SIGCONT);
}

void child_process::Kill() {
  if (!Running()) return;
  ended_at_us_ = MonotonicMicros();
  Signal(SIGKILL);
  Reap(true);
}

void child_process::Terminate() { Signal(SIGTERM); }

std::optional<child_process::exit_status> child_process::WaitForExit(milliseconds bound) {
  WaitFor([&] { return !Running(); }, bound);
  return exit_;
}

bool child_process::Running() {
  if (!exit_.has_value()) Reap(false);
  return !exit_.has_value();
}

std::string child_process::LogTail() const {
  const std::string text = ReadFile(log_);
  return text.substr(text.size() - std::min(text.size(), kLogTailBytes));
}

void child_process::Signal(int number) {
  // A reaped pid may belong to another process by now.
  if (exit_.has_value()) return;
  ::kill(pid_, number);
}

void child_process::Reap(bool block) {
  int status = 0;
  pid_t reaped = -1;
  do {
    reaped = ::waitpid(pid_, &status, block ? 0 : WNOHANG);
  } while (reaped < 0 && errno == EINTR);
  if (reaped != pid_) return;
  exit_status ended;
  if (WIFEXITED(status)) ended.code = WEXITSTATUS(status);
  if (WIFSIGNALED(status)) ended.signal = WTERMSIG(status);
  exit_ = ended;
  if (!ended_at_us_.has_value()) ended_at_us_ = MonotonicMicros();
}

}  // namespace waxwingwing::integration
