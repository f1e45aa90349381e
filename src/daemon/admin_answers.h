#pragma once

#include <nlohmann/json_fwd.hpp>

#include "daemon/backend_catalog.h"
#include "daemon/control_context.h"
#include "waxwingwing/gateway/control_access.h"

namespace waxwingwing {

/// Builds the JSON that operators read.
class admin_answers {
 public:
  admin_answers(const control_context& context, const backend_catalog& catalog)
      : context_(context), catalog_(catalog) {}

  /// Configuration, replicas, nodes and leases as this node knows them, and the refusals and
  /// retries that this node counted since it started.
  admin_answer Status() const;
  /// The verdict on a release note, and which nodes have it in force.
  admin_answer ReleaseNote(const note_id& note) const;
  /// All faults of a release note that could not be read.
  static admin_answer MalformedNote(const finding_list& findings);
  /// An error in the form of the caller interface.
  static admin_answer Error(std::uint32_t status, const std::string& code,
                            const std::string& message);

 private:
  nlohmann::json Replicas() const;
  nlohmann::json Services() const;
  nlohmann::json Nodes() const;
  nlohmann::json Leases() const;
  nlohmann::json InForce(log_offset revision) const;

  const control_context& context_;
  const backend_catalog& catalog_;
};

}  // namespace waxwingwing
