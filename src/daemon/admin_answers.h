#pragma once

#include <nlohmann/json_fwd.hpp>

#include "daemon/backend_catalog.h"
#include "daemon/control_context.h"
#include "waxwingwing/gateway/control_access.h"

namespace waxwingwing {

/// Builds the JSON bodies of the administrative endpoints. Used on the control thread only.
class admin_answers {
 public:
  admin_answers(const control_context& context, const backend_catalog& catalog)
      : context_(context), catalog_(catalog) {}

  /// The configuration, replicas, services, nodes and leases that this node knows, and the refusals
  /// and retries that it has counted since it started.
  admin_answer Status() const;
  /// The verdict on a release note, and for each failure domain how many nodes have it in force.
  admin_answer ReleaseNote(const note_id& note) const;
  /// The response to a release note that cannot be parsed, with every finding.
  static admin_answer MalformedNote(const finding_list& findings);
  /// An error response in the format of the callers' interface.
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
