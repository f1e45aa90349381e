#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/directory/server_directory.h"
#include "waxwingwing/directory/traffic_configuration.h"

namespace waxwingwing {

/// A backend server to which requests for a service, or for one of its models, may be sent.
struct dispatch_candidate {
  backend_server_id server;
  /// Unix time in milliseconds at which this incarnation of the server started.
  std::uint64_t born = 0;
  std::string address;
  failure_domain_id failure_domain;
  /// Path at which a server of a plain service answers health checks; empty when there is none.
  std::string health_path = {};
  /// The group that the server heads; empty for plain services.
  server_group_id group;
  /// Number of requests that the server or its group runs concurrently.
  std::size_t slots = 1;
  /// End of the time for which the server is cold.
  time_point cold_until{};
  /// Requests a second that all entry VMs together may send to the server while it is cold.
  double cold_rate = 0;
  /// Identifies the servers of the service or the groups of the model, of which a VM may use a
  /// subset; 0 when it uses all.
  std::uint64_t pool = 0;
};

/// Sorts the candidates so that the first ones are the subset of the VM, of any size. The order
/// differs between VMs, and a candidate that comes or goes does not change the order of the others.
void SortForSubset(std::vector<dispatch_candidate>& candidates, const vm_id& vm);

/// Index of the candidates by service and model. Immutable; built from scratch when the directory
/// or the configuration changes.
class dispatch_map {
 public:
  dispatch_map() = default;
  /// `vm`: this VM.
  dispatch_map(const server_directory& directory, const traffic_configuration& configuration,
               const vm_id& vm = {});

  /// Returns the servers of a plain service, or the open groups of `model` for a service with
  /// models.
  const std::vector<dispatch_candidate>& Candidates(const service_id& service,
                                                    const std::string& model) const;
  /// Returns the candidates of all services and models.
  std::vector<dispatch_candidate> AllCandidates() const;
  /// Returns the number of candidates of each service and model, as text for log lines.
  std::string Describe() const;

 private:
  void AddPlainServer(const server_directory::entry& known,
                      const traffic_configuration& configuration);
  void AddGroup(const group_view& group, const server_directory& directory,
                const traffic_configuration& configuration);

  std::map<std::pair<service_id, std::string>, std::vector<dispatch_candidate>> candidates_;
  std::set<service_id> with_models_;
};

}  // namespace waxwingwing
