#include "waxwingwing/idempotency/claims_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/member_reader.h"
#include "waxwingwing/core/json_text.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr json_limits kRecordLimits{std::size_t{8} << 20U, 8};
constexpr unsigned kAsciiEnd = 0x80;

/// Encodes each byte as the code point with its value, since JSON text can only contain valid
/// UTF-8, and different keys must not become equal.
std::string BytesToText(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    if (value < kAsciiEnd) {
      text += byte;
      continue;
    }
    text += static_cast<char>(0xC0U | (value >> 6U));
    text += static_cast<char>(0x80U | (value & 0x3FU));
  }
  return text;
}

/// Inverse of `BytesToText`; empty when the text contains a code point above 255.
std::optional<std::string> TextToBytes(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < kAsciiEnd) {
      bytes += text[i];
      continue;
    }
    if ((lead & 0xFCU) != 0xC0U || i + 1 == text.size()) return std::nullopt;
    const auto next = static_cast<unsigned char>(text[++i]);
    bytes += static_cast<char>(((lead & 0x03U) << 6U) | (next & 0x3FU));
  }
  return bytes;
}

json ToJson(const claim_entry& entry) {
  return {{"kind", "claim"},
          {"claim", entry.claim.str()},
          {"organisation", BytesToText(entry.key.organisation.str())},
          {"key", BytesToText(entry.key.key)},
          {"fingerprint", entry.key.fingerprint},
          {"vm", entry.vm.str()},
          {"incarnation", entry.incarnation.get()}};
}

json ToJson(const outcome_entry& entry) {
  json value = {{"kind", "outcome"}, {"claim", entry.claim.str()}};
  if (!entry.outcome || entry.outcome->body.size() > kMaxOutcomeBody) return value;
  value["status"] = entry.outcome->status;
  value["content_type"] = BytesToText(entry.outcome->content_type);
  value["body"] = BytesToText(entry.outcome->body);
  return value;
}

json ToJson(const release_entry& entry) {
  return {{"kind", "release"}, {"claim", entry.claim.str()}};
}

/// Reads a string that may be empty and may encode any bytes; see `BytesToText`.
std::string ReadBytes(const json& value, member_reader& reader, const char* name,
                      std::size_t max_bytes) {
  const auto found = value.find(name);
  if (found == value.end() || !found->is_string()) {
    reader.Fail(std::string(name) + " is no string");
    return {};
  }
  std::optional<std::string> bytes = TextToBytes(found->get_ref<const std::string&>());
  if (bytes && bytes->size() <= max_bytes) return std::move(*bytes);
  reader.Fail(std::string(name) + " is too long or no string of bytes");
  return {};
}

claim_entry ReadClaim(const json& value, member_reader& reader) {
  claim_entry entry;
  entry.claim = append_id(reader.Text("claim"));
  entry.key.organisation = organisation_id(ReadBytes(value, reader, "organisation", 256));
  entry.key.key = ReadBytes(value, reader, "key", kMaxKeyBytes);
  entry.key.fingerprint = reader.Number("fingerprint");
  entry.vm = vm_id(reader.Text("vm"));
  entry.incarnation = incarnation(reader.Number("incarnation"));
  return entry;
}

outcome_entry ReadOutcome(const json& value, member_reader& reader) {
  outcome_entry entry;
  entry.claim = append_id(reader.Text("claim"));
  if (!value.contains("status")) return entry;
  recorded_outcome outcome;
  outcome.status = static_cast<std::uint32_t>(reader.Number("status", 0, 999));
  outcome.content_type = ReadBytes(value, reader, "content_type", kMaxKeyBytes);
  outcome.body = ReadBytes(value, reader, "body", kMaxOutcomeBody);
  entry.outcome = std::move(outcome);
  return entry;
}

claims_entry ReadEntry(const json& value, member_reader& reader) {
  const std::string kind = reader.Text("kind");
  if (kind == "claim") return ReadClaim(value, reader);
  if (kind == "outcome") return ReadOutcome(value, reader);
  if (kind != "release") reader.Fail("kind is unknown");
  return release_entry{append_id(reader.Text("claim"))};
}

}  // namespace

std::string EncodeClaimsRecord(const claims_record& record) {
  json entries = json::array();
  for (const claims_entry& entry : record.entries) {
    entries.push_back(std::visit([](const auto& kind) { return ToJson(kind); }, entry));
  }
  return ToJsonText({{"based_on", record.based_on.get()}, {"entries", std::move(entries)}});
}

result<claims_record> DecodeClaimsRecord(std::string_view payload) {
  using outcome = result<claims_record>;
  const result<json> value = ParseJsonText(payload, kRecordLimits);
  if (!value) return outcome::Failure(value.reason());
  member_reader reader(*value);
  claims_record record;
  record.based_on = log_offset(reader.Number("based_on"));
  for (const json& item : reader.Array("entries")) {
    member_reader entry_reader(item);
    if (entry_reader.ok()) record.entries.push_back(ReadEntry(item, entry_reader));
    if (!entry_reader.ok()) return outcome::Failure(entry_reader.reason());
  }
  if (!reader.ok()) return outcome::Failure(reader.reason());
  return record;
}

}  // namespace waxwingwing
