#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "waxwingwing/directory/server_directory.h"
#include "waxwingwing/directory/traffic_configuration.h"

namespace waxwingwing {

/// A backend server that may take requests of a service, or of one model of it.
struct dispatch_candidate {
  backend_server_id server;
  std::string address;
  failure_domain_id failure_domain;
  /// The group that the server heads; empty for plain services.
  server_group_id group;
  /// Requests that it runs at a time.
  std::size_t slots = 1;
  time_point cold_until{};
  /// Requests a second of all VMs together while it is cold.
  double cold_rate = 0;
};

/// Candidates by service and model, made anew when the directory or the configuration changes.
class dispatch_map {
 public:
  dispatch_map() = default;
  dispatch_map(const server_directory& directory, const traffic_configuration& configuration);

  /// The servers of a service, or the open groups of `model` for services that have models.
  const std::vector<dispatch_candidate>& Candidates(const service_id& service,
                                                    const std::string& model) const;
  /// Number of candidates of each service and model, as text for log lines.
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
