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

/// Computes how many groups of each model every fabric domain should hold.
///
/// Each domain first gets one group of every model that fits, in descending order of share. The
/// servers that remain beyond `reserve` spares go to the models with the fewest groups relative to
/// their share.
std::map<fabric_domain_id, group_counts> ComputeFormationTargets(
    const std::vector<model_settings>& models,
    const std::map<fabric_domain_id, std::size_t>& usable_servers, std::size_t reserve);

}  // namespace waxwingwing
