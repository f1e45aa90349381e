#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/integration/child_process.h"
#include "tests/integration/http_client.h"
#include "tests/integration/temporary_folder.h"

namespace waxwingwing::integration {

/// An entry VM before stand-ins of the users' platform: the store, model runners of one fabric
/// domain and a plain service.
class entry_deployment {
 public:
  struct options {
    std::size_t runners = 4;
    /// Servers of the plain service.
    std::size_t services = 1;
    std::size_t group_size = 2;
    std::size_t events = 10;
    /// Proxies before the store and the servers, as the entry VMs see them.
    bool proxies = false;
    /// Whether the platform has an interface for duties, with usage windows of 2 s.
    bool duties = false;
    /// The operators' limit of a request's body.
    std::size_t max_body_bytes = 65536;
    /// Memory and descriptors of an entry VM as its settings file states them; 0: not stated.
    std::size_t memory_mb = 0;
    std::size_t max_fds = 0;
  };

  explicit entry_deployment(const options& chosen);

  /// Starts another entry VM in the same deployment; callers' requests of this class go to the
  /// first.
  child_process& AddEntry(const std::string& name);
  /// Starts the entry VM `index` again, at its addresses, after its process ended.
  void RestartEntry(std::size_t index);
  /// Starts a runner again, under its id, after its process ended.
  void RestartRunner(std::size_t index);
  /// Entry VMs by index: the first one, then those that were added.
  child_process& Entry(std::size_t index) { return *entries_.at(index).process; }
  std::string CallerAddress(std::size_t index) const { return entries_.at(index).caller_address; }
  /// The proxy before the store, the plain service or a runner. Only with `options::proxies`.
  child_process& ProxyOf(const std::string& name) { return *proxies_.at(name); }
  /// Writes a record of the operators; an empty value removes the key.
  void WriteOperatorRecord(const std::string& key, const std::string& value);
  /// Writes an entry among the registrations of servers.
  void WriteRegistration(const std::string& key, const std::string& value);
  /// The configuration of these tests with another version.
  nlohmann::json Configuration(std::uint64_t version) const;
  void WriteConfiguration(const nlohmann::json& configuration);
  /// Waits until the entry VM is ready and streams are answered.
  void WaitUntilServing();

  /// Sends a request with a fresh id; the id is in the answer.
  result<http_answer> Call(const std::string& method, const std::string& path,
                           header_list headers = {}, const std::string& body = {}) const {
    return CallAt(0, method, path, std::move(headers), body);
  }
  /// The same through the entry VM `index`.
  result<http_answer> CallAt(std::size_t index, const std::string& method, const std::string& path,
                             header_list headers = {}, const std::string& body = {}) const;
  /// Sends a stream request for the model.
  result<http_answer> Stream(std::size_t entry = 0) const { return StreamOf("", entry); }
  /// The same for a prompt with these parts, as ID:TOKENS entries; empty: none are stated.
  result<http_answer> StreamOf(const std::string& parts, std::size_t entry = 0) const;

  void SetFault(child_process& stand_in, const std::string& name, const nlohmann::json& value);
  nlohmann::json Records(child_process& stand_in, const std::string& list);
  /// The runner that heads the open group.
  child_process& Head();
  /// A runner that is a member of the open group and not its head.
  child_process& Member();
  /// Runs of one request at all runners and the service.
  std::size_t RunsOf(const std::string& request);
  /// The events' numbers in a stream's body.
  static std::vector<std::string> EventIds(const std::string& body);
  /// Lines of the entry VM's log for one event.
  std::vector<nlohmann::json> LogLines(const std::string& event,
                                       const std::string& entry = "entry") const;

  child_process& entry() { return Entry(0); }
  child_process& store() { return *store_; }
  /// The duty interface. Only with `options::duties`.
  child_process& duties() { return *duties_; }
  child_process& service() { return *services_.front(); }
  std::vector<std::unique_ptr<child_process>>& services() { return services_; }
  std::vector<std::unique_ptr<child_process>>& runners() { return runners_; }
  std::size_t events() const { return options_.events; }
  std::string ready_address() const { return entries_.front().ready_address; }
  /// Where the first entry VM listens for the other VMs.
  std::string LinkAddress() const;

 private:
  struct entry_vm {
    std::string name;
    std::string caller_address;
    std::string ready_address;
    nlohmann::json settings;
    std::unique_ptr<child_process> process;
  };

  nlohmann::json Settings(const std::string& vm, const std::string& caller_address,
                          const std::string& ready_address) const;
  void WriteRecord(const std::string& topic, const std::string& key, const std::string& value);
  child_process& AddEntryVm(const std::string& name, const std::string& vm);
  std::unique_ptr<child_process> StartEntry(const std::string& name,
                                            const nlohmann::json& settings);
  std::unique_ptr<child_process> StartServer(const std::string& id,
                                             const std::vector<std::string>& flags);
  std::unique_ptr<child_process> StartRunner(std::size_t index);
  /// Starts a proxy and returns its address.
  std::string StartProxy(const std::string& name, const std::string& target);
  child_process& RunnerInState(const std::string& state, std::size_t rank);

  temporary_folder folder_;
  const options options_;
  std::unique_ptr<child_process> store_;
  std::unique_ptr<child_process> duties_;
  /// The store as entry VMs reach it.
  std::string store_address_;
  std::map<std::string, std::unique_ptr<child_process>> proxies_;
  std::uint64_t server_lives_ = 0;
  std::vector<std::unique_ptr<child_process>> services_;
  std::vector<std::unique_ptr<child_process>> runners_;
  std::vector<entry_vm> entries_;
};

}  // namespace waxwingwing::integration
