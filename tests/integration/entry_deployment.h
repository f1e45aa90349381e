#pragma once

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
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
    std::size_t group_size = 2;
    std::size_t events = 10;
  };

  explicit entry_deployment(const options& chosen);

  /// Starts another entry VM in the same deployment; callers' requests of this class go to the
  /// first.
  child_process& AddEntry(const std::string& name);
  /// Writes a record of the operators; an empty value removes the key.
  void WriteOperatorRecord(const std::string& key, const std::string& value);
  /// The configuration of these tests with another version.
  nlohmann::json Configuration(std::uint64_t version) const;
  void WriteConfiguration(const nlohmann::json& configuration);
  /// Waits until the entry VM is ready and streams are answered.
  void WaitUntilServing();

  /// Sends a request with a fresh id; the id is in the answer.
  result<http_answer> Call(const std::string& method, const std::string& path,
                           header_list headers = {}, const std::string& body = {}) const;
  /// Sends a stream request for the model.
  result<http_answer> Stream() const;

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

  child_process& entry() { return *entry_; }
  child_process& store() { return *store_; }
  child_process& service() { return *service_; }
  std::vector<std::unique_ptr<child_process>>& runners() { return runners_; }
  std::string ready_address() const { return ready_address_; }

 private:
  nlohmann::json Settings(const std::string& vm, const std::string& caller_address,
                          const std::string& ready_address) const;
  std::unique_ptr<child_process> StartEntry(const std::string& name,
                                            const nlohmann::json& settings);
  child_process& RunnerInState(const std::string& state, std::size_t rank);

  temporary_folder folder_;
  const options options_;
  std::string caller_address_;
  std::string ready_address_;
  std::unique_ptr<child_process> store_;
  std::unique_ptr<child_process> service_;
  std::vector<std::unique_ptr<child_process>> runners_;
  std::unique_ptr<child_process> entry_;
  std::vector<std::unique_ptr<child_process>> more_entries_;
};

}  // namespace waxwingwing::integration
