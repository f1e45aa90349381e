// The operator takes away the last tenant with its key.
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
/// `revoke_ms` and a margin for the way of a request.
constexpr milliseconds kRevoked{6000};
constexpr int kRequests = 10;
constexpr const char* kForeignKey = "key-that-no-configuration-held";

/// Sends requests to the machines in turn; returns how many have run.
int CountRuns(const scenario& given, const std::vector<entry_machine*>& machines,
              const std::string& kind, const std::string& key) {
  int runs = 0;
  for (int i = 0; i < kRequests; ++i) {
    const entry_machine& machine = *machines[static_cast<std::size_t>(i) % machines.size()];
    const std::string id = kind + "-" + std::to_string(i);
    std::string sent = "client sends ";
    sent.append(id).append(" with key '").append(key).append("' to ").append(machine.name());
    given.record.Write(sent);
    const int status = CallDesk(machine, id, key, kCallLimit).status;
    const std::size_t ran = given.record.RunsOf(id);
    given.record.Write("client gets " + std::to_string(status) + " for " + id + ", which ran " +
                       std::to_string(ran) + " times");
    if (ran > 0) ++runs;
  }
  return runs;
}

}  // namespace

verdict RunCase(const scenario& given) {
  platform_store store(kPageSize);
  nlohmann::json configuration = FirstConfiguration();
  store.Write("keyed.op", "config", configuration.dump());
  const desk_runner first("i-desk-1", store, given.record);
  const desk_runner second("i-desk-2", store, given.record);
  entry_machine one("front-ifo-1", store.address(), given.folder, given.record);
  entry_machine two("front-ifo-2", store.address(), given.folder, given.record);
  const std::vector<entry_machine*> machines = {&one, &two};
  for (entry_machine* machine : machines) machine->Start();
  for (const entry_machine* machine : machines) {
    if (!machine->WaitUntilReady(kReadyLimit)) return verdict::kCouldNotRun;
  }
  if (CountRuns(given, machines, "before", kKey) != kRequests) return verdict::kCouldNotRun;
  if (CountRuns(given, machines, "foreign-before", kForeignKey) != 0) return verdict::kBroken;
  if (given.trouble) {
    configuration["version"] = 2;
    configuration["tenants"] = nlohmann::json::array();
    store.Write("keyed.op", "config", configuration.dump());
    given.record.Write("the store acknowledges version 2, whose list of tenants is empty");
  }
  std::this_thread::sleep_for(kRevoked);
  const int foreign = CountRuns(given, machines, "foreign-after", kForeignKey);
  const int revoked = CountRuns(given, machines, "after", kKey);
  given.record.Write(std::to_string(foreign) + " requests ran whose key no configuration held");
  if (!given.trouble) return foreign > 0 ? verdict::kBroken : verdict::kHeld;
  given.record.Write(std::to_string(revoked) + " requests ran whose key had been taken away");
  return foreign > 0 || revoked > 0 ? verdict::kBroken : verdict::kHeld;
}

}  // namespace waxwingwing::review
