#include "waxwingwing/peer/frame_codec.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>

#include "tests/unit/mutation.h"

namespace waxwingwing {
namespace {

backend_report Report() {
  backend_report report;
  report.vm = vm_id("e1");
  report.failure_domain = failure_domain_id("ifo");
  report.incarnation = incarnation(UINT64_MAX);
  report.sequence = 77;
  report.uptime = milliseconds(77);
  report.state = backend_state::kReady;
  report.checks_fencing = true;
  report.fencing = fencing_number(5);
  report.assignment = {
      replica_id("r"), model_group_id("g"), generation(3), 1, {vm_id("e0"), vm_id("e1")}};
  report.running = request_count(4);
  report.kv_tokens_used = token_count(100);
  report.kv_tokens_limit = token_count(200);
  report.ms_per_token = 31.5;
  report.taken_at = manual_clock().Now();
  return report;
}

node_status_message Status() {
  node_status_message status;
  status.vm = vm_id("n1");
  status.incarnation = incarnation(9);
  status.failure_domain = failure_domain_id("ifo");
  status.sequence = 12;
  status.control_offset = log_offset(345);
  status.draining = true;
  status.caller_address = "127.0.0.1:80";
  status.backends.push_back(ToMessage(Report(), Report().taken_at));
  status.backends.push_back(status.backends[0]);
  status.backends[1].assignment.reset();
  status.forward = true;
  return status;
}

std::vector<peer_message> Samples() {
  const hello_message hello{"c", vm_id("n1"), failure_domain_id("ifo"), incarnation(1), 1};
  log_records_message records{8, "control", log_offset(3), {}, "{\"state\":1}", log_offset(5)};
  records.records.push_back({log_offset(3), append_id("a"), "{}"});
  records.records.push_back({log_offset(4), append_id("b"), "null"});
  credit_request_message demands{4, failure_domain_id("ifo"), {}};
  demands.demands.push_back({replica_id("r"), generation(1), incarnation(2), request_count(3),
                             token_count(4), request_count(5), token_count(6)});
  credit_grant_message grant{4, fencing_number(7), {}};
  grant.credits.push_back({replica_id("r"), generation(1), incarnation(2), request_count(3),
                           token_count(4), milliseconds(3000)});
  return {hello,
          Status(),
          log_fetch_message{8, "control", log_offset(3), 100, true},
          records,
          demands,
          grant,
          vm_load_message{{{"s1", 4, milliseconds(30), 504, token_count(3368)}},
                          {{"s1", 17, 4.5, milliseconds(30)}},
                          {"n1", "10.0.0.1:7340", "ifo", 0.5},
                          3,
                          77,
                          relay_node_message{"n2", "10.0.0.2:7340", "ifo", 0.25},
                          {{5, 353445120, {{"first", 412}}}},
                          "10.0.0.1:7341",
                          2,
                          {{"n3", "10.0.0.3:7341", "ifo", 0.5}}},
          directory_feed_message{7,
                                 9,
                                 PackChanges({{"s1", "{}"}}),
                                 milliseconds(20),
                                 {{"s1", 6}},
                                 {{"s1", 17, std::nullopt, milliseconds(30)}},
                                 "n1/p/10.0.0.1:7340",
                                 41,
                                 3,
                                 {{"n2", "10.0.0.2:7340", "ifo", 0.25}},
                                 12,
                                 milliseconds(40),
                                 milliseconds(70),
                                 {{1234567, 77}},
                                 4,
                                 5,
                                 6,
                                 false,
                                 1,
                                 {{"n3", "10.0.0.3:7341", "ifo", 0.5}}},
          stall_message{"g", "s1"},
          crash_evidence_message{
              {{"part", {{"s1", milliseconds(30)}}, milliseconds(20), std::nullopt}}},
          operators_request_message{3, 12},
          operators_records_message{3, std::nullopt, 14, 99, 1, 2, 700, "packed"}};
}

TEST_CASE("registration changes survive packing, and broken ones are rejected", "[peer]") {
  const std::vector<keyed_record_message> changes = {
      {"s1", std::string(500, 'x')}, {"s2", std::nullopt}, {"s3", "{}"}};
  const packed_changes packed = PackChanges(changes);
  CHECK(packed.bytes.size() < 100);
  const auto unpacked = UnpackChanges(packed);
  REQUIRE(unpacked);
  CHECK(*unpacked == changes);
  CHECK(UnpackChanges(PackChanges({}))->empty());

  packed_changes huge = packed;
  huge.unpacked_bytes = 1U << 30U;
  CHECK(!UnpackChanges(huge));
  for (std::size_t i = 0; i < packed.bytes.size(); ++i) {
    packed_changes broken = packed;
    broken.bytes[i] = static_cast<char>(broken.bytes[i] ^ 0x55);
    // Unpacking never throws; the checksum detects almost all corruption.
    const auto read = UnpackChanges(broken);
    if (!read) CHECK(!read.reason().empty());
  }
}

std::string Encoded(const peer_message& message) {
  auto frame = EncodeFrame(message);
  REQUIRE(frame);
  return *std::move(frame);
}

decoded_frame DecodeAll(const std::string& frame) { return DecodeBody(frame.substr(4)); }

TEST_CASE("every message survives encoding and decoding", "[peer]") {
  REQUIRE(Samples().size() == std::variant_size_v<peer_message>);
  for (const peer_message& message : Samples()) {
    INFO(TypeName(message));
    const std::string frame = Encoded(message);
    const decoded_frame decoded = DecodeAll(frame);
    REQUIRE(decoded.message);
    REQUIRE(*decoded.message == message);
  }
}

// Guards against a change of the frame layout, which would disconnect peers during a rolling
// update.
TEST_CASE("the frame starts with big-endian length, version and type", "[peer]") {
  const std::string frame = Encoded(Samples()[2]);
  const std::array<unsigned char, 4> prefix{0, 0, static_cast<unsigned char>(frame[2]),
                                            static_cast<unsigned char>(frame[3])};
  REQUIRE(DecodeLength(prefix).bytes == frame.size() - 4);
  REQUIRE(frame[4] == 1);
  REQUIRE(frame[5] == 3);
}

TEST_CASE("frame faults are reported as distinct errors", "[peer]") {
  CHECK(DecodeLength({0, 4, 0, 1}).error == frame_error::kOversized);
  CHECK(DecodeLength({0, 4, 0, 0}).error == frame_error::kNone);
  CHECK(DecodeLength({255, 255, 255, 255}).error == frame_error::kOversized);
  CHECK(DecodeLength({0, 0, 0, 1}).error == frame_error::kMalformed);
  const std::string frame = Encoded(Samples()[0]);
  const auto with_byte = [&](std::size_t at, char value) {
    std::string changed = frame;
    changed[at] = value;
    return DecodeAll(changed).error;
  };
  CHECK(with_byte(4, 2) == frame_error::kUnknownVersion);
  CHECK(with_byte(5, 0) == frame_error::kUnknownType);
  CHECK(with_byte(5, static_cast<char>(std::variant_size_v<peer_message> + 1)) ==
        frame_error::kUnknownType);
  CHECK(with_byte(6, 0) == frame_error::kMalformed);
  CHECK(DecodeAll(frame + "x").error == frame_error::kMalformed);
  CHECK(DecodeAll(frame.substr(0, frame.size() - 1)).error == frame_error::kMalformed);
  CHECK(DecodeBody(std::string(kMaxFrameBytes + 1, 'x')).error == frame_error::kOversized);
}

/// Requests at a server as VMs of an earlier version state them.
struct earlier_message {
  std::string server;
  std::uint32_t running = 0;
  MSGPACK_DEFINE(server, running)
};

// Guards against VMs that cannot read each other's loads during a rolling update.
TEST_CASE("requests at a server are read from a VM that states no work, and by one that reads none",
          "[peer]") {
  msgpack::sbuffer old_bytes;
  msgpack::pack(old_bytes, earlier_message{"s1", 4});
  const auto old_entry = msgpack::unpack(old_bytes.data(), old_bytes.size());
  CHECK(old_entry.get().as<server_requests_message>() == server_requests_message{"s1", 4});
  msgpack::sbuffer new_bytes;
  msgpack::pack(new_bytes, server_requests_message{"s1", 4, milliseconds(30), 504, token_count(9)});
  const auto new_entry = msgpack::unpack(new_bytes.data(), new_bytes.size());
  CHECK(new_entry.get().as<earlier_message>().running == 4);
}

TEST_CASE("messages with inconsistent fields are malformed", "[peer]") {
  CHECK(DecodeAll(Encoded(hello_message{})).error == frame_error::kMalformed);
  node_status_message status = Status();
  status.backends[0].assignment->rank = 2;
  CHECK(DecodeAll(Encoded(status)).error == frame_error::kMalformed);
  log_records_message records{1, "control", log_offset(3), {}, {}, log_offset(4)};
  records.records.push_back({log_offset(2), append_id("a"), "1"});
  CHECK(DecodeAll(Encoded(records)).error == frame_error::kMalformed);
}

// Guards against reserving 100 GB for an array whose header declares 2^32 - 1 elements.
// Guards against a process that one malformed report of another takes down: capacities are sorted,
// and ages are subtracted from times.
TEST_CASE("reports with numbers out of range are malformed", "[peer]") {
  vm_load_message load;
  load.node = {"n1", "10.0.0.1:7340", "ifo", 0.5};
  CHECK(InvalidMessageReason(load).empty());
  for (const double capacity : {std::nan(""), HUGE_VAL, -1.0}) {
    vm_load_message odd = load;
    odd.node.capacity = capacity;
    CHECK(!InvalidMessageReason(odd).empty());
    odd = load;
    odd.successor = relay_node_message{"n2", "10.0.0.2:7340", "ifo", capacity};
    CHECK(!InvalidMessageReason(odd).empty());
  }
  vm_load_message odd_usage = load;
  odd_usage.usage = {{5, 1, {{"first", UINT64_MAX}}}};
  CHECK(!InvalidMessageReason(odd_usage).empty());
  odd_usage.usage = {{5, 1, {{"", 1}}}};
  CHECK(!InvalidMessageReason(odd_usage).empty());
  load.vms = UINT64_MAX;
  CHECK(!InvalidMessageReason(load).empty());
  directory_feed_message feed;
  feed.vms = UINT64_MAX;
  CHECK(!InvalidMessageReason(feed).empty());
  feed = {};
  feed.operators_age = feed.operators_age_bound = milliseconds(INT64_MAX);
  CHECK(!InvalidMessageReason(feed).empty());
}

TEST_CASE("a declared array size reserves no memory", "[peer]") {
  const std::string declared_array("\x01\x02\xdd\xff\xff\xff\xff", 7);
  REQUIRE(DecodeBody(declared_array).error == frame_error::kMalformed);
}

TEST_CASE("a message above the frame limit is not encoded", "[peer]") {
  log_records_message records;
  records.stream = "control";
  records.snapshot = std::string(kMaxFrameBytes, 's');
  REQUIRE_FALSE(EncodeFrame(records));
}

TEST_CASE("ages replace time points and grow with holding time", "[peer]") {
  const backend_report report = Report();
  const time_point sent = report.taken_at + microseconds(1500);
  node_status_message status = Status();
  status.backends = {ToMessage(report, sent)};
  // The age is rounded up, so that a report never appears more recent than it is.
  REQUIRE(status.backends[0].age == milliseconds(2));
  AddRelayDelay(status, milliseconds(30));
  const time_point received = sent + milliseconds(500);
  backend_report arrived = FromMessage(status.backends[0], received);
  REQUIRE(arrived.taken_at == received - milliseconds(32));
  arrived.taken_at = report.taken_at;
  REQUIRE(arrived == report);
}

TEST_CASE("an excessive age is limited", "[peer]") {
  backend_report_message message = ToMessage(Report(), Report().taken_at);
  message.age = milliseconds(INT64_MAX);
  const time_point now = manual_clock().Now();
  REQUIRE(FromMessage(message, now).taken_at < now);
  REQUIRE(FromMessage(message, now).taken_at > time_point());
}

TEST_CASE("mutated frames never make the codec throw", "[peer][fuzz]") {
  random_source random(424242);
  const std::vector<peer_message> samples = Samples();
  for (int i = 0; i < 60000; ++i) {
    const std::string body = Encoded(samples[random.Below(samples.size())]).substr(4);
    decoded_frame decoded;
    REQUIRE_NOTHROW(decoded = DecodeBody(Mutate(body, random)));
    if (decoded.message.has_value() != (decoded.error == frame_error::kNone)) {
      FAIL("a frame gave neither a message nor an error");
    }
  }
}

}  // namespace
}  // namespace waxwingwing
