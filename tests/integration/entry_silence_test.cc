// Servers that are sound but send nothing for about a second.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/platform_processes.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

constexpr std::size_t kEvents = 60;
/// Streams that occupy two groups so far that one cannot take over the other's.
constexpr std::size_t kCallers = 9;

/// Streams of concurrent callers.
class stream_callers {
 public:
  stream_callers(const entry_deployment &deployment, std::size_t count) : events_(count, 0) {
    for (std::size_t &events : events_) {
      threads_.emplace_back([&deployment, &events] {
        const auto stream = deployment.Stream();
        if (stream && stream->status == 200) {
          events = entry_deployment::EventIds(stream->body).size();
        }
      });
    }
  }
  stream_callers(const stream_callers &) = delete;
  stream_callers &operator=(const stream_callers &) = delete;
  ~stream_callers() { Join(); }

  /// Waits for all callers; returns the number of events in each whole answer,
  /// 0 for all others.
  const std::vector<std::size_t> &Join() {
    for (std::thread &thread : threads_) {
      if (thread.joinable()) thread.join();
    }
    return events_;
  }

 private:
  std::vector<std::size_t> events_;
  std::vector<std::thread> threads_;
};

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

// Guards against ending answers of a server that is silent for a while because
// no other server turned out to have room for all of them.
TEST_CASE(
    "entry: streams of a silent server end whole though others lack room "
    "for all of them",
    "[entry]") {
  entry_deployment deployment({.runners = 6, .events = kEvents});
  deployment.WaitUntilServing();
  stream_callers callers(deployment, kCallers);
  Sleep(milliseconds(400));
  child_process &head = deployment.Head();
  deployment.SetFault(head, "stall", true);
  deployment.WriteConfiguration(deployment.Configuration(7));
  Sleep(milliseconds(1000));
  deployment.SetFault(head, "stall", false);
  CHECK(callers.Join() == std::vector<std::size_t>(kCallers, kEvents));
  CHECK(!deployment.LogLines("group_stalled").empty());
}

// Guards against ending answers of a silent server because the server that was
// to resume them turned them away.
TEST_CASE(
    "entry: streams of a silent server end whole though the others "
    "refuse to resume them",
    "[entry]") {
  entry_deployment deployment({.runners = 6, .events = kEvents});
  deployment.WaitUntilServing();
  stream_callers callers(deployment, 4);
  Sleep(milliseconds(400));
  child_process &head = deployment.Head();
  for (const auto &runner : deployment.runners()) {
    if (runner.get() != &head) deployment.SetFault(*runner, "reject", 100);
  }
  deployment.SetFault(head, "stall", true);
  Sleep(milliseconds(1000));
  deployment.SetFault(head, "stall", false);
  CHECK(callers.Join() == std::vector<std::size_t>(4, kEvents));
  CHECK(!deployment.LogLines("standby_discarded").empty());
}

// Guards against dissolving a sound group, which ends its streams, after a
// short silence of its head.
TEST_CASE(
    "entry: a head that answers nothing for a second keeps its group and "
    "its streams",
    "[entry]") {
  entry_deployment deployment({.runners = 6, .events = kEvents, .proxies = true});
  deployment.WaitUntilServing();
  stream_callers callers(deployment, kCallers);
  Sleep(milliseconds(400));
  const auto leaves = [&] {
    const auto orders = deployment.LogLines("order_sent");
    return std::count_if(orders.begin(), orders.end(),
                         [](const auto &line) { return line["action"] == "leave"; });
  };
  const auto leaves_before = leaves();
  const auto &runners = deployment.runners();
  const child_process *process = &deployment.Head();
  const auto head = std::find_if(runners.begin(), runners.end(),
                                 [&](const auto &runner) { return runner.get() == process; });
  // The server goes on registering in the store.
  child_process &proxy = deployment.ProxyOf("runner-" + std::to_string(head - runners.begin()));
  SetFaults(proxy, {{"freeze_from_target", true}});
  Sleep(milliseconds(1000));
  SetFaults(proxy, {{"freeze_from_target", false}});
  CHECK(callers.Join() == std::vector<std::size_t>(kCallers, kEvents));
  CHECK(leaves() == leaves_before);
  const auto orders = deployment.LogLines("order_sent");
  CHECK(std::any_of(orders.begin(), orders.end(), [](const auto &line) {
    return line["action"] == "probe" && line["outcome"] == "no_answer";
  }));
}

// Guards against ending streams whose server has failed because the others have no room at that
// moment.
TEST_CASE("entry: streams of a failed server wait until another one has room to resume them",
          "[entry]") {
  entry_deployment deployment({.runners = 4, .events = kEvents});
  deployment.WaitUntilServing();
  // As many as the only group takes at once.
  stream_callers callers(deployment, 6);
  Sleep(milliseconds(400));
  deployment.Head().Kill();
  CHECK(callers.Join() == std::vector<std::size_t>(6, kEvents));
}

}  // namespace
}  // namespace waxwingwing::integration
