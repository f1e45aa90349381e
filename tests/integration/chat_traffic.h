#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace waxwingwing::integration {

/// Sends short chat completions to entry VMs from one thread per address until `Stop`.
class chat_traffic {
 public:
  explicit chat_traffic(const std::vector<std::string>& caller_addresses);
  chat_traffic(const chat_traffic&) = delete;
  chat_traffic& operator=(const chat_traffic&) = delete;
  ~chat_traffic() { Stop(); }

  /// Returns after the last answer.
  void Stop();

  /// Answers that were complete and correct.
  std::uint64_t whole() const { return whole_; }
  /// Answers that ended as if complete but with wrong or missing tokens.
  std::uint64_t wrong() const { return wrong_; }
  /// Refusals, error events and broken connections.
  std::uint64_t failed() const { return failed_; }

 private:
  void Run(const std::string& address);

  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> whole_{0};
  std::atomic<std::uint64_t> wrong_{0};
  std::atomic<std::uint64_t> failed_{0};
  std::vector<std::thread> threads_;
};

}  // namespace waxwingwing::integration
