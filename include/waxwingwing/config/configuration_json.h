#pragma once

#include <nlohmann/json_fwd.hpp>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/config/configuration_state.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// JSON of the objects in the format of a release note's `add` section, each with its `revision`.
nlohmann::json ConfigurationToJson(const configuration& objects);
result<configuration> ConfigurationFromJson(const nlohmann::json& value);

/// JSON of the objects as above, together with the revisions that withdrew objects.
nlohmann::json ConfigurationStateToJson(const configuration_state& state);
result<configuration_state> ConfigurationStateFromJson(const nlohmann::json& value);

}  // namespace waxwingwing
