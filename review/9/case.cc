// The store forgets its history right after a runner has announced that it leaves.
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../common-2/deployment.h"
#include "../common-2/scenario.h"

namespace waxwingwing::review {
namespace {

constexpr std::size_t kPageSize = 500;
constexpr milliseconds kReadyLimit{15000};
constexpr milliseconds kCallLimit{1500};
/// `contact_ms` and a margin; no disruption lies this long before the announcement.
constexpr milliseconds kCalm{4000};
/// From the announcement to the requests: `contact_ms`, `drain_ms` and three seconds more.
constexpr milliseconds kDrained{8000};
constexpr milliseconds kWork{300};
/// From the requests to the end of the runner, which is at work on some of them then.
constexpr milliseconds kUntilExit{150};
constexpr int kMachines = 3;
constexpr int kRequests = 12;

}  // namespace

verdict RunCase(const scenario& given) {
  platform_store store(kPageSize);
  store.Write("keyed.op", "config", FirstConfiguration().dump());
  desk_runner leaving("i-desk-1", store, given.record, kWork);
  const desk_runner second("i-desk-2", store, given.record, kWork);
  const desk_runner third("i-desk-3", store, given.record, kWork);
  std::vector<std::unique_ptr<entry_machine>> machines;
  for (int i = 1; i <= kMachines; ++i) {
    machines.push_back(std::make_unique<entry_machine>(
        "front-ifo-" + std::to_string(i), store.address(), given.folder, given.record));
    machines.back()->Start();
  }
  for (const auto& machine : machines) {
    if (!machine->WaitUntilReady(kReadyLimit)) return verdict::kCouldNotRun;
    const int status = CallDesk(*machine, "first-" + machine->name(), kKey, kCallLimit).status;
    if (status != 200) return verdict::kCouldNotRun;
  }
  std::this_thread::sleep_for(kCalm);
  leaving.Drain(given.trouble);
  if (given.trouble) given.record.Write("the store has deleted the records of keyed.servers");
  std::this_thread::sleep_for(kDrained);
  std::vector<std::jthread> clients;
  for (int i = 0; i < kRequests; ++i) {
    const entry_machine& machine = *machines[static_cast<std::size_t>(i) % machines.size()];
    clients.emplace_back([&given, &machine, i] {
      const std::string id = "late-" + std::to_string(i);
      given.record.Write("client sends " + id + " to " + machine.name());
      const int status = CallDesk(machine, id, kKey, kCallLimit).status;
      given.record.Write("client gets " + std::to_string(status) + " for " + id);
    });
  }
  std::this_thread::sleep_for(kUntilExit);
  leaving.Exit();
  clients.clear();
  const std::size_t late = given.record.RunsAt("i-desk-1", "late-");
  given.record.Write(std::to_string(late) +
                     " requests reached i-desk-1 that were sent 8 s after its announcement");
  return late > 0 ? verdict::kBroken : verdict::kHeld;
}

}  // namespace waxwingwing::review
