#pragma once

#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/dispatch/server_notices.h"
#include "waxwingwing/dispatch/server_requests.h"
#include "waxwingwing/duty/usage_table.h"
#include "waxwingwing/peer/messages.h"
#include "waxwingwing/quarantine/prompt_quarantine.h"
#include "waxwingwing/relay/relay_tree.h"

namespace waxwingwing {

// Conversions between the types of the decision modules and the messages between entry VMs. Times
// travel as ages, since clocks of VMs differ.

std::vector<server_requests_message> ToMessage(const server_requests& requests);
server_requests FromMessage(const std::vector<server_requests_message>& message);

std::vector<rate_limit_message> ToMessage(const std::vector<rate_limit_statement>& statements,
                                          time_point now);
std::vector<rate_limit_statement> FromMessage(const std::vector<rate_limit_message>& message,
                                              time_point now);

crash_evidence_message ToMessage(const std::vector<part_evidence>& evidence, time_point now);
std::vector<part_evidence> FromMessage(const crash_evidence_message& message, time_point now);

std::vector<usage_entry_message> ToMessage(const std::vector<usage_entry>& entries);
std::vector<usage_entry> FromMessage(const std::vector<usage_entry_message>& message);

relay_node_message ToMessage(const relay_node& node);
relay_node FromMessage(const relay_node_message& message);

}  // namespace waxwingwing
