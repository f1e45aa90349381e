#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http.h"
#include "record.h"
#include "store.h"

namespace waxwingwing::review {

/// A key that the first configuration of a deployment holds.
inline constexpr const char* kKey = "key-of-the-first-tenant";

/// A runner of the plain service `desk`. It registers itself and runs each request at once.
class desk_runner {
 public:
  /// `work`: how long each request takes.
  desk_runner(std::string id, platform_store& store, case_record& record,
              milliseconds work = milliseconds(15));
  ~desk_runner();
  desk_runner(const desk_runner&) = delete;
  desk_runner& operator=(const desk_runner&) = delete;

  /// Announces that the runner leaves; it goes on serving. `forget`: the store deletes its records
  /// right after it has acknowledged the announcement.
  void Drain(bool forget);
  /// Ends as a process does: its connections close, and what it runs is lost.
  void Exit();

 private:
  http_response Handle(const http_request& request);
  void RegisterPeriodically();
  void Register(bool forget);

  const std::string id_;
  platform_store& store_;
  case_record& record_;
  const milliseconds work_;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> draining_ = false;
  std::mutex mutex_;
  std::uint64_t registrations_ = 0;
  std::unique_ptr<http_server> server_;
  const std::string address_;
  std::jthread registering_;
};

/// A machine that runs `waxwingwing entry`.
class entry_machine {
 public:
  entry_machine(std::string name, const std::string& store_address, const std::string& folder,
                case_record& record);
  ~entry_machine();
  entry_machine(const entry_machine&) = delete;
  entry_machine& operator=(const entry_machine&) = delete;

  void Start();
  /// Sends SIGKILL and waits for the end of the process.
  void Kill();
  /// Whether the process has not ended by itself.
  bool IsRunning();
  bool IsReady() const;
  bool WaitUntilReady(milliseconds limit) const;
  std::size_t ResidentKilobytes() const;

  const std::string& name() const { return name_; }
  const std::string& address() const { return address_; }

 private:
  const std::string name_;
  const std::string address_;
  const std::string ready_address_;
  const std::string settings_path_;
  const std::string log_path_;
  case_record& record_;
  pid_t process_ = 0;
};

/// The configuration of a small deployment: the service `desk` behind one route for requests that
/// must run at most once, and one tenant.
nlohmann::json FirstConfiguration();

/// Sends a request that must run at most once.
http_answer CallDesk(const entry_machine& machine, const std::string& request,
                     const std::string& key, milliseconds limit);

/// Memory of a machine in the sheet of the site ovwpb-fleet.
inline constexpr std::size_t kMemoryMegabytes = 260;

}  // namespace waxwingwing::review
