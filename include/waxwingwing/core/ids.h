#pragma once

#include "waxwingwing/core/strong_type.h"

namespace waxwingwing {

using vm_id = strong_id<struct vm_id_tag>;
using failure_domain_id = strong_id<struct failure_domain_id_tag>;
using fabric_domain_id = strong_id<struct fabric_domain_id_tag>;
using organisation_id = strong_id<struct organisation_id_tag>;
using model_group_id = strong_id<struct model_group_id_tag>;
using service_id = strong_id<struct service_id_tag>;
using replica_id = strong_id<struct replica_id_tag>;
using request_id = strong_id<struct request_id_tag>;
using attempt_id = strong_id<struct attempt_id_tag>;
using append_id = strong_id<struct append_id_tag>;
using note_id = strong_id<struct note_id_tag>;
/// Part of a prompt, such as a system prompt or a document, that several requests may share.
using prompt_part_id = strong_id<struct prompt_part_id_tag>;

/// Random number generated at each process start, which distinguishes the runs of a VM's process.
using incarnation = strong_number<struct incarnation_tag>;
/// Version of a replica's membership; a higher one supersedes every lower one.
using generation = strong_number<struct generation_tag>;
/// Log offset of the lease record that began a controller's term; later terms have higher numbers.
using fencing_number = strong_number<struct fencing_number_tag>;
/// Position of a record in a log stream, counted from 0.
using log_offset = strong_number<struct log_offset_tag>;

}  // namespace waxwingwing
