#include "waxwingwing/directory/traffic_configuration.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {

const model_settings* service_settings::ModelByName(std::string_view name) const {
  const auto found = std::find_if(models.begin(), models.end(),
                                  [&](const model_settings& model) { return model.name == name; });
  return found == models.end() ? nullptr : &*found;
}

void traffic_configuration::AddRoute(traffic_route route) {
  for (const service_share& share : route.services) {
    route_priorities_[share.service].insert(route.priority);
  }
  std::vector<traffic_route>& routes = routes_by_host_[route.host];
  const auto position = std::find_if(routes.begin(), routes.end(), [&](const traffic_route& other) {
    return other.path_prefix.size() < route.path_prefix.size();
  });
  routes.insert(position, std::move(route));
  ++route_count_;
}

void traffic_configuration::AddService(service_settings service) {
  services_.push_back(std::move(service));
}

void traffic_configuration::AddOrganisation(caller_organisation organisation,
                                            const std::vector<std::string>& keys) {
  RequireKeys();
  for (const std::string& key : keys) organisation_by_key_[key] = organisations_.size();
  organisations_.push_back(std::move(organisation));
}

const traffic_route* traffic_configuration::Match(std::string_view host,
                                                  std::string_view path) const {
  const auto routes = routes_by_host_.find(std::string(host));
  if (routes == routes_by_host_.end()) return nullptr;
  const auto found =
      std::find_if(routes->second.begin(), routes->second.end(),
                   [&](const traffic_route& route) { return path.starts_with(route.path_prefix); });
  return found == routes->second.end() ? nullptr : &*found;
}

const caller_organisation* traffic_configuration::OrganisationOf(std::string_view key) const {
  // A request without a key has an empty one.
  if (key.empty()) return nullptr;
  const auto found = organisation_by_key_.find(std::string(key));
  return found == organisation_by_key_.end() ? nullptr : &organisations_[found->second];
}

const service_settings* traffic_configuration::ServiceById(const service_id& id) const {
  const auto found =
      std::find_if(services_.begin(), services_.end(),
                   [&](const service_settings& service) { return service.id == id; });
  return found == services_.end() ? nullptr : &*found;
}

bool traffic_configuration::HasPriorities(const service_id& service) const {
  const auto known = route_priorities_.find(service);
  return known != route_priorities_.end() && known->second.size() > 1;
}

}  // namespace waxwingwing
