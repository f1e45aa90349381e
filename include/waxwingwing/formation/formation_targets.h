#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "waxwingwing/core/ids.h"
#include "waxwingwing/directory/traffic_configuration.h"

namespace waxwingwing {

/// Number of groups of each model, by model name.
using group_counts = std::map<std::string, std::size_t>;

/// Decides how many groups of which model each fabric domain should hold.
///
/// Each domain gets one group of every model that fits, largest share first; what is left beyond
/// `reserve` spare servers goes to the models with the least groups for their share.
std::map<fabric_domain_id, group_counts> ComputeFormationTargets(
    const std::vector<model_settings>& models,
    const std::map<fabric_domain_id, std::size_t>& usable_servers, std::size_t reserve);

}  // namespace waxwingwing
