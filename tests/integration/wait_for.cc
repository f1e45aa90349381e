#include "tests/integration/wait_for.h"

#include <chrono>
#include <thread>

namespace waxwingwing::integration {
namespace {

constexpr milliseconds kPollInterval{5};

}  // namespace

bool WaitFor(const std::function<bool()>& condition, milliseconds bound) {
  const auto deadline = std::chrono::steady_clock::now() + bound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::int64_t MonotonicMicros() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<microseconds>(now).count();
}

}  // namespace waxwingwing::integration
