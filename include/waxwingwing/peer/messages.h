#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/membership/backend_report.h"
#include "waxwingwing/peer/msgpack_types.h"

namespace waxwingwing {

// Messages between entry VMs. Fields are packed by position: add new ones at the end only. A reader
// that knows fewer fields ignores the rest; one that knows more keeps its default values.

/// Identifies the sender. First frame in both directions; also sent to acknowledge other frames.
struct hello_message {
  std::string cluster;
  vm_id vm;
  failure_domain_id failure_domain;
  waxwingwing::incarnation incarnation;
  /// Version of the message format that the sender uses.
  std::uint32_t version = 0;

  bool operator==(const hello_message&) const = default;
  MSGPACK_DEFINE(cluster, vm, failure_domain, incarnation, version)
};

/// The replica that an engine is a member of, its generation and the engine's rank in it.
struct assignment_message {
  replica_id replica;
  model_group_id model_group;
  waxwingwing::generation generation;
  std::uint32_t rank = 0;
  std::vector<vm_id> members;

  bool operator==(const assignment_message&) const = default;
  MSGPACK_DEFINE(replica, model_group, generation, rank, members)
};

/// A backend report that carries an age in place of a time point, since clocks are not comparable
/// between VMs.
struct backend_report_message {
  vm_id vm;
  failure_domain_id failure_domain;
  waxwingwing::incarnation incarnation;
  std::uint64_t sequence = 0;
  milliseconds uptime{0};
  backend_state state = backend_state::kIdle;
  bool checks_fencing = false;
  fencing_number fencing;
  std::optional<assignment_message> assignment;
  request_count running;
  token_count kv_tokens_used;
  token_count kv_tokens_limit;
  double ms_per_token = 0;
  /// Time since the poll was sent; excludes the transmission time of this message.
  milliseconds age{0};
  milliseconds ready_for{0};

  bool operator==(const backend_report_message&) const = default;
  MSGPACK_DEFINE(vm, failure_domain, incarnation, sequence, uptime, state, checks_fencing, fencing,
                 assignment, running, kv_tokens_used, kv_tokens_limit, ms_per_token, age, ready_for)
};

/// Status of an entry VM and the backend reports that it holds.
struct node_status_message {
  vm_id vm;
  waxwingwing::incarnation incarnation;
  failure_domain_id failure_domain;
  /// Counts the sender's status messages; orders them within an incarnation.
  std::uint64_t sequence = 0;
  log_offset control_offset;
  bool draining = false;
  /// Address at which the sender accepts requests of callers, `ip:port`.
  std::string caller_address;
  std::vector<backend_report_message> backends;
  /// Whether the receiver is to pass the message on within its failure domain.
  bool forward = false;
  /// Set by the lease holder of a failure domain: replicas that get no new requests because they
  /// will be released.
  std::vector<replica_id> draining_replicas;

  bool operator==(const node_status_message&) const = default;
  MSGPACK_DEFINE(vm, incarnation, failure_domain, sequence, control_offset, draining,
                 caller_address, backends, forward, draining_replicas)
};

/// Requests records of a log stream, and optionally a snapshot, from a peer.
struct log_fetch_message {
  /// Request id that the sender assigns; the reply repeats it.
  std::uint64_t request = 0;
  std::string stream;
  log_offset from;
  std::uint32_t limit = 0;
  bool wants_snapshot = false;

  bool operator==(const log_fetch_message&) const = default;
  MSGPACK_DEFINE(request, stream, from, limit, wants_snapshot)
};

/// One record of a log stream.
struct log_record_message {
  log_offset offset;
  waxwingwing::append_id append_id;
  /// JSON text; not checked here.
  std::string payload;

  bool operator==(const log_record_message&) const = default;
  MSGPACK_DEFINE(offset, append_id, payload)
};

/// Limits the memory that the receiver needs for a snapshot that is sent in parts.
inline constexpr std::uint32_t kMaxSnapshotParts = 256;

/// Reply to `log_fetch_message`. Records ascend from `first_offset`.
struct log_records_message {
  std::uint64_t request = 0;
  std::string stream;
  log_offset first_offset;
  std::vector<log_record_message> records;
  /// A snapshot, or the part of it with the index `snapshot_part` of `snapshot_parts`.
  std::optional<std::string> snapshot;
  /// Offset up to which the sender has applied the stream.
  log_offset sender_offset;
  std::uint32_t snapshot_part = 0;
  std::uint32_t snapshot_parts = 1;

  bool operator==(const log_records_message&) const = default;
  MSGPACK_DEFINE(request, stream, first_offset, records, snapshot, sender_offset, snapshot_part,
                 snapshot_parts)
};

/// The credit that a failure domain wants and uses at one replica.
struct credit_demand_message {
  replica_id replica;
  waxwingwing::generation generation;
  waxwingwing::incarnation incarnation;
  request_count wanted_requests;
  token_count wanted_kv_tokens;
  request_count used_requests;
  token_count used_kv_tokens;

  bool operator==(const credit_demand_message&) const = default;
  MSGPACK_DEFINE(replica, generation, incarnation, wanted_requests, wanted_kv_tokens, used_requests,
                 used_kv_tokens)
};

/// Requests credit at replicas on behalf of a failure domain.
struct credit_request_message {
  std::uint64_t request = 0;
  failure_domain_id failure_domain;
  std::vector<credit_demand_message> demands;

  bool operator==(const credit_request_message&) const = default;
  MSGPACK_DEFINE(request, failure_domain, demands)
};

/// Credit granted at one replica; it expires after `ttl`.
struct credit_message {
  replica_id replica;
  waxwingwing::generation generation;
  waxwingwing::incarnation incarnation;
  request_count requests;
  token_count kv_tokens;
  milliseconds ttl{0};

  bool operator==(const credit_message&) const = default;
  MSGPACK_DEFINE(replica, generation, incarnation, requests, kv_tokens, ttl)
};

/// Reply to `credit_request_message`.
struct credit_grant_message {
  std::uint64_t request = 0;
  fencing_number fencing;
  std::vector<credit_message> credits;

  bool operator==(const credit_grant_message&) const = default;
  MSGPACK_DEFINE(request, fencing, credits)
};

/// Requests running at one backend server, and the work that they have still to cause there.
struct server_requests_message {
  std::string server;
  std::uint32_t running = 0;
  milliseconds prefill{0};
  std::uint32_t decode_steps = 0;
  token_count memory{};

  bool operator==(const server_requests_message&) const = default;
  MSGPACK_DEFINE(server, running, prefill, decode_steps, memory)
};

/// A backend server's last statement about the rate of requests that it takes from all VMs
/// together.
struct rate_limit_message {
  std::string server;
  /// Unix time in milliseconds at which the server's incarnation started.
  std::uint64_t born = 0;
  /// Requests a second; empty: the server no longer states a limit.
  std::optional<double> rate;
  /// Time since the statement.
  milliseconds age{0};

  bool operator==(const rate_limit_message&) const = default;
  MSGPACK_DEFINE(server, born, rate, age)
};

/// A VM that passes messages on between the controller and other VMs, or could do so.
struct relay_node_message {
  std::string vm;
  /// `ip:port`.
  std::string address;
  std::string failure_domain;
  double capacity = 0;

  bool operator==(const relay_node_message&) const = default;
  MSGPACK_DEFINE(vm, address, failure_domain, capacity)
};

/// Number of requests of an organisation.
struct organisation_count_message {
  std::string organisation;
  std::uint64_t count = 0;

  bool operator==(const organisation_count_message&) const = default;
  MSGPACK_DEFINE(organisation, count)
};

/// Requests that one process has counted so far in a window of the usage reports.
struct usage_entry_message {
  /// Random number of the process that counted.
  std::uint64_t counter = 0;
  std::uint64_t window = 0;
  std::vector<organisation_count_message> counts;

  bool operator==(const usage_entry_message&) const = default;
  MSGPACK_DEFINE(counter, window, counts)
};

/// The requests at each backend server of a VM and of those that follow it, and the limits that it
/// knows of; sent to the VM that it follows at short intervals.
struct vm_load_message {
  std::vector<server_requests_message> servers;
  std::vector<rate_limit_message> limits;
  relay_node_message node;
  /// Number of VMs whose requests the message contains.
  std::uint64_t vms = 1;
  /// Increases with each message.
  std::uint64_t sequence = 0;
  /// The best suited VM among those that follow the sender.
  std::optional<relay_node_message> successor;
  /// Counts that have changed, of the sender and of those that follow it.
  std::vector<usage_entry_message> usage;
  /// `ip:port` on which the sender takes over requests of VMs that do not reach the backend
  /// servers; empty while it takes none.
  std::string carrier_address;
  /// Number of VMs that do not reach the servers, among the sender and those that follow it.
  std::uint64_t cut_off_vms = 0;
  /// Some of the VMs that follow the sender and take requests over, with the addresses for them;
  /// only while any VM does not reach the servers.
  std::vector<relay_node_message> carriers;

  bool operator==(const vm_load_message&) const = default;
  MSGPACK_DEFINE(servers, limits, node, vms, sequence, successor, usage, carrier_address,
                 cut_off_vms, carriers)
};

/// The last `vm_load_message` of a VM that the sender of a feed has received. It shows the VM that
/// the feed was not sent before that message.
struct load_receipt_message {
  /// Hash of the VM's id.
  std::uint64_t vm = 0;
  std::uint64_t sequence = 0;

  bool operator==(const load_receipt_message&) const = default;
  MSGPACK_DEFINE(vm, sequence)
};

/// A record as the store keeps it; no value means that the key was removed.
struct keyed_record_message {
  std::string key;
  std::optional<std::string> value;

  bool operator==(const keyed_record_message&) const = default;
  MSGPACK_DEFINE(key, value)
};

/// A list of `keyed_record_message`, packed with msgpack and compressed with zlib.
struct packed_changes {
  std::uint32_t unpacked_bytes = 0;
  std::string bytes;

  bool operator==(const packed_changes&) const = default;
  MSGPACK_DEFINE(unpacked_bytes, bytes)
};

/// Limits the memory that the receiver needs for packed records: registrations of 4,000 servers.
inline constexpr std::uint32_t kMaxUnpackedBytes = 4U << 20U;

/// Packs the changes with msgpack and compresses them.
packed_changes PackChanges(const std::vector<keyed_record_message>& changes);
/// Reverses `PackChanges`. Fails when the bytes are not in its format.
result<std::vector<keyed_record_message>> UnpackChanges(const packed_changes& packed);

/// From the controller to all VMs, passed on by relays: changed registrations of backend servers,
/// and the number of requests that all VMs together have running at each server.
struct directory_feed_message {
  /// Offsets of the store's records that the message covers: from the first to the one after the
  /// last. Records that change nothing are left out.
  std::uint64_t from = 0;
  std::uint64_t next = 0;
  /// Compressed, since the controller sends them to every VM: see `PackChanges`.
  packed_changes changes;
  /// Time since the controller sent its query to the store.
  milliseconds age{0};
  std::vector<server_requests_message> servers;
  /// The limits that any VM knows of.
  std::vector<rate_limit_message> limits;
  /// The controller's lease: the name of its holder, and the offset after its newest record.
  std::string lease_holder;
  std::uint64_t lease_end = 0;
  /// Number of VMs whose requests `servers` contains.
  std::uint64_t vms = 0;
  std::vector<relay_node_message> relays;
  /// Offset after the newest of the operators' records, when that was confirmed, and the longest
  /// time that may have passed since then; empty when not known.
  std::uint64_t operators_next = 0;
  std::optional<milliseconds> operators_age;
  std::optional<milliseconds> operators_age_bound;
  /// One for each VM that follows the sender.
  std::vector<load_receipt_message> receipts;
  /// Eras of the store in which the offsets of the registrations, of the lease and of the
  /// operators' records count.
  std::uint64_t era = 0;
  std::uint64_t lease_era = 0;
  std::uint64_t operators_era = 0;
  /// Whether the changes were found by comparing lists, since records were deleted. They lead on
  /// only from exactly `from`: a VM that has read some of the records in between must read the
  /// list.
  bool is_comparison = false;
  /// Number of VMs that do not reach the backend servers, and, while there are any, VMs that take
  /// their requests over, with the addresses for them.
  std::uint64_t cut_off_vms = 0;
  std::vector<relay_node_message> carriers;

  bool operator==(const directory_feed_message&) const = default;
  MSGPACK_DEFINE(from, next, changes, age, servers, limits, lease_holder, lease_end, vms, relays,
                 operators_next, operators_age, operators_age_bound, receipts, era, lease_era,
                 operators_era, is_comparison, cut_off_vms, carriers)
};

/// Asks the VM that the sender follows for the operators' records.
struct operators_request_message {
  /// The place up to which the sender knows them; without an offset it knows none.
  std::uint64_t era = 0;
  std::optional<std::uint64_t> from;

  bool operator==(const operators_request_message&) const = default;
  MSGPACK_DEFINE(era, from)
};

/// Limits the memory that the receiver needs for records that are sent in parts.
inline constexpr std::uint32_t kMaxRecordParts = 128;

/// A part of the operators' records as a VM has read them from the store: the newest of each key
/// that has changed between two places, or of all keys when there is no first place.
struct operators_records_message {
  std::uint64_t era = 0;
  std::optional<std::uint64_t> from;
  std::uint64_t next = 0;
  /// Hash of the records.
  std::uint64_t checksum = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  /// Bytes of the part, of records that are packed as in `packed_changes`.
  std::uint32_t unpacked_bytes = 0;
  std::string bytes;

  bool operator==(const operators_records_message&) const = default;
  MSGPACK_DEFINE(era, from, next, checksum, part, parts, unpacked_bytes, bytes)
};

/// Reports to the controller that the streams of a group have stalled, as observed by one VM.
struct stall_message {
  std::string group;
  /// Backend server at the head of the group.
  std::string server;

  bool operator==(const stall_message&) const = default;
  MSGPACK_DEFINE(group, server)
};

/// A backend server that crashed, and the time since.
struct server_crash_message {
  std::string server;
  milliseconds age{0};

  bool operator==(const server_crash_message&) const = default;
  MSGPACK_DEFINE(server, age)
};

/// What is known about a part of prompts on which servers have crashed.
struct part_evidence_message {
  std::string part;
  std::vector<server_crash_message> crashes;
  /// Time since an answer to a request with the part succeeded; empty when none is remembered.
  std::optional<milliseconds> answered_age;
  /// Time since the part was quarantined; empty when it is not.
  std::optional<milliseconds> quarantined_age;

  bool operator==(const part_evidence_message&) const = default;
  MSGPACK_DEFINE(part, crashes, answered_age, quarantined_age)
};

/// From a VM to the controller: its own observations; from the controller: those of all VMs.
struct crash_evidence_message {
  std::vector<part_evidence_message> parts;

  bool operator==(const crash_evidence_message&) const = default;
  MSGPACK_DEFINE(parts)
};

/// The position in the list is the type byte of a frame: 1 for `hello_message` and so on.
using peer_message =
    std::variant<hello_message, node_status_message, log_fetch_message, log_records_message,
                 credit_request_message, credit_grant_message, vm_load_message,
                 directory_feed_message, stall_message, crash_evidence_message,
                 operators_request_message, operators_records_message>;

/// Name of the message's type, for metrics.
std::string_view TypeName(const peer_message& message);

/// Validates an unpacked message. Returns the reason why it is invalid, or an empty text.
std::string InvalidMessageReason(const peer_message& message);

/// Converts a report to a message that is sent at `now`; the age is rounded up.
backend_report_message ToMessage(const backend_report& report, time_point now);
/// Converts a message that arrived at `received_at` to a report.
backend_report FromMessage(const backend_report_message& message, time_point received_at);
/// Adds the time that a relay held the message to the ages of its reports.
void AddRelayDelay(node_status_message& status, milliseconds held);

}  // namespace waxwingwing
