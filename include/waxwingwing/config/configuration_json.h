#pragma once

#include <nlohmann/json_fwd.hpp>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/config/configuration_state.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// The objects in the shape of a release note's `add`, each with its `revision`.
nlohmann::json ConfigurationToJson(const configuration& objects);
result<configuration> ConfigurationFromJson(const nlohmann::json& value);

/// The same with the revisions that withdrew objects.
nlohmann::json ConfigurationStateToJson(const configuration_state& state);
result<configuration_state> ConfigurationStateFromJson(const nlohmann::json& value);

}  // namespace waxwingwing
