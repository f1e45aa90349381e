#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string>

#include "config/value_reader.h"
#include "waxwingwing/config/configuration.h"
#include "waxwingwing/config/release_note.h"
#include "waxwingwing/config/release_note_verdict.h"

namespace waxwingwing {

/// One JSON member of a configured object.
template <typename object>
struct object_member {
  const char* name;
  /// Whether the member must be given when the object is added.
  bool required;
  number_range range;
  void (*read)(const nlohmann::json& value, const value_context& context, object& target);
  nlohmann::json (*write)(const object& from);
  void (*copy)(const object& from, object& target);
};

/// Schema of one kind of configured object. `Members()` does not include the id.
template <typename object>
struct object_schema;

template <>
struct object_schema<failure_domain_config> {
  static constexpr object_kind kKind = object_kind::kFailureDomain;
  static std::span<const object_member<failure_domain_config>> Members();
  static auto& Of(auto& holder) { return holder.failure_domains; }
};

template <>
struct object_schema<organisation_config> {
  static constexpr object_kind kKind = object_kind::kOrganisation;
  static std::span<const object_member<organisation_config>> Members();
  static auto& Of(auto& holder) { return holder.organisations; }
};

template <>
struct object_schema<model_group_config> {
  static constexpr object_kind kKind = object_kind::kModelGroup;
  static std::span<const object_member<model_group_config>> Members();
  static auto& Of(auto& holder) { return holder.model_groups; }
};

template <>
struct object_schema<service_config> {
  static constexpr object_kind kKind = object_kind::kService;
  static std::span<const object_member<service_config>> Members();
  static auto& Of(auto& holder) { return holder.services; }
};

/// Calls `visitor.template operator()<object>()` for each kind of object; failure domains first.
template <typename function>
void ForEachKind(const function& visitor) {
  visitor.template operator()<failure_domain_config>();
  visitor.template operator()<organisation_config>();
  visitor.template operator()<model_group_config>();
  visitor.template operator()<service_config>();
}

/// Checks rules that span several members of one object.
template <typename object>
void CheckObject(const object& /*value*/, const std::string& /*place*/, finding_list& /*faults*/) {}
void CheckObject(const model_group_config& value, const std::string& place, finding_list& findings);

}  // namespace waxwingwing
