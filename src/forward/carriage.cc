#include "forward/carriage.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <cmath>

namespace waxwingwing {
namespace {

constexpr const char* kConfiguration = "Waxwingwing-Configuration";
constexpr const char* kPossibleRuns = "Waxwingwing-Possible-Runs";
constexpr const char* kAge = "Waxwingwing-Age-Ms";
constexpr const char* kRefusal = "Waxwingwing-Refusal";
constexpr const char* kServer = "Waxwingwing-Server";
constexpr const char* kServerBorn = "Waxwingwing-Server-Born";
/// Longest age that is believed; no request is older.
constexpr std::uint64_t kMaxAgeMs = 3'600'000;
constexpr std::uint64_t kMaxRuns = 1000;

/// Refusals of which another VM may know better, or for which it may have the means.
constexpr std::array<std::string_view, 9> kCarrierReasons = {
    "stopping",   "no_configuration", "stale_keys",  "stale_configuration", "old_configuration",
    "paths_lost", "memory",           "connections", "overloaded"};

std::string Take(http_fields& fields, std::string_view name) {
  const auto value = fields[{name.data(), name.size()}];
  std::string text(value.data(), value.size());
  fields.erase({name.data(), name.size()});
  return text;
}

std::uint64_t TakeNumber(http_fields& fields, std::string_view name, std::uint64_t limit) {
  const std::string text = Take(fields, name);
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return is_whole ? std::min(number, limit) : 0;
}

}  // namespace

void WriteCarriage(http_fields& fields, const carriage& told) {
  fields.set(kConfiguration, std::to_string(told.configuration));
  fields.set(kPossibleRuns, std::to_string(told.possible_runs));
  fields.set(kAge, std::to_string(std::max<milliseconds::rep>(told.age.count(), 0)));
}

carriage TakeCarriage(http_fields& fields) {
  carriage told;
  told.configuration = TakeNumber(fields, kConfiguration, UINT64_MAX);
  told.possible_runs = TakeNumber(fields, kPossibleRuns, kMaxRuns);
  told.age = milliseconds(TakeNumber(fields, kAge, kMaxAgeMs));
  return told;
}

void WriteRefusal(http_fields& fields, std::string_view reason) {
  fields.set(kRefusal, {reason.data(), reason.size()});
}

void WriteServer(http_fields& fields, const backend_server_id& server, std::uint64_t born) {
  // A server must not pass for the carrier.
  fields.erase(kRefusal);
  fields.set(kServer, server.str());
  fields.set(kServerBorn, std::to_string(born));
}

carried_answer TakeCarriedAnswer(http_fields& fields) {
  carried_answer told;
  const std::string reason = Take(fields, kRefusal);
  if (!reason.empty()) {
    const bool is_of_carrier =
        std::find(kCarrierReasons.begin(), kCarrierReasons.end(), reason) != kCarrierReasons.end();
    told.refusal = carrier_refusal{reason, is_of_carrier};
  }
  told.server = backend_server_id(Take(fields, kServer));
  told.born = TakeNumber(fields, kServerBorn, UINT64_MAX);
  return told;
}

}  // namespace waxwingwing
