// Another writer registers entries whose keys hold a space; then all processes are killed.
#include <string>
#include <thread>
#include <vector>

#include "../common-2/deployment.h"
#include "../common-2/scenario.h"

namespace waxwingwing::review {
namespace {

/// Number of items that an answer of the store holds at most.
constexpr std::size_t kPageSize = 500;
constexpr milliseconds kReadyLimit{15000};
constexpr milliseconds kCallLimit{1500};
constexpr milliseconds kBetweenCalls{50};
/// `recovery_s`
constexpr milliseconds kRecovery{12000};
constexpr int kRequests = 40;
constexpr int kRacks = 52;
constexpr int kSlots = 10;

/// Sends requests to the machines in turn; returns how many were served.
int CountServed(const scenario& given, const std::vector<entry_machine*>& machines,
                const std::string& kind) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const entry_machine& machine = *machines[static_cast<std::size_t>(i) % machines.size()];
    const std::string id = kind + "-" + std::to_string(i);
    const http_answer answer = CallDesk(machine, id, kKey, kCallLimit);
    given.record.Write("client sends " + id + " to " + machine.name() + ", gets " +
                       std::to_string(answer.status) + " " + answer.body);
    if (answer.status == 200 && answer.body == "answer to " + id) ++served;
    std::this_thread::sleep_for(kBetweenCalls);
  }
  return served;
}

/// Entries without the fields of a runner, under the names that an inventory of racks uses.
void RegisterRacks(const scenario& given, platform_store& store) {
  for (int rack = 1; rack <= kRacks; ++rack) {
    for (int slot = 1; slot <= kSlots; ++slot) {
      const std::string key = "rack " + std::to_string(rack) + " slot " + std::to_string(slot);
      store.Write("keyed.servers", key, R"({"kind":"inventory"})");
    }
  }
  given.record.Write("another writer has registered " + std::to_string(kRacks * kSlots) +
                     " entries 'rack N slot M'");
}

}  // namespace

verdict RunCase(const scenario& given) {
  platform_store store(kPageSize);
  store.Write("keyed.op", "config", FirstConfiguration().dump());
  const desk_runner first("i-desk-1", store, given.record);
  const desk_runner second("i-desk-2", store, given.record);
  entry_machine one("front-ifo-1", store.address(), given.folder, given.record);
  entry_machine two("front-ifo-2", store.address(), given.folder, given.record);
  const std::vector<entry_machine*> machines = {&one, &two};
  for (entry_machine* machine : machines) machine->Start();
  for (const entry_machine* machine : machines) {
    if (!machine->WaitUntilReady(kReadyLimit)) return verdict::kCouldNotRun;
  }
  if (given.trouble) RegisterRacks(given, store);
  if (CountServed(given, machines, "before") < kRequests) return verdict::kCouldNotRun;
  for (entry_machine* machine : machines) machine->Kill();
  for (entry_machine* machine : machines) machine->Start();
  std::this_thread::sleep_for(kRecovery);
  for (const entry_machine* machine : machines) {
    given.record.Write("machine " + machine->name() + (machine->IsReady() ? " is" : " is not") +
                       " ready");
  }
  const int served = CountServed(given, machines, "after");
  given.record.Write(std::to_string(served) + " of " + std::to_string(kRequests) +
                     " requests were served that were sent later than recovery_s after the start");
  return served * 4 < kRequests ? verdict::kBroken : verdict::kHeld;
}

}  // namespace waxwingwing::review
