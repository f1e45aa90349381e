#pragma once

#include <string>
#include <vector>

#include "waxwingwing/config/configuration.h"
#include "waxwingwing/core/ids.h"

namespace waxwingwing {

/// New values for some members of an object.
template <typename object>
struct object_change {
  /// Holds the id and the members named in `members`; the other members are unspecified.
  object value;
  /// JSON names of the members that change.
  std::vector<std::string> members;

  bool operator==(const object_change&) const = default;
};

/// The changes of a release note to the objects of one kind.
template <typename object>
struct object_changes {
  std::vector<object> add;
  std::vector<object_change<object>> change;
  std::vector<decltype(object::id)> withdraw;

  bool operator==(const object_changes&) const = default;
};

/// A set of changes that operators publish and that takes effect as a whole or not at all.
struct release_note {
  note_id id;
  /// Newest revision that the author knew; the note conflicts with every later change of its
  /// objects.
  log_offset base_revision;
  object_changes<failure_domain_config> failure_domains;
  object_changes<organisation_config> organisations;
  object_changes<model_group_config> model_groups;
  object_changes<service_config> services;

  bool operator==(const release_note&) const = default;
};

}  // namespace waxwingwing
