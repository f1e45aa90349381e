#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Parses untrusted JSON text. Fails on malformed text and on nesting deeper than 64, because
/// printing a value is recursive and a deeply nested one would overflow the stack.
result<nlohmann::json> ParseJson(std::string_view text);

/// Prints a value on one line; invalid UTF-8 is replaced.
std::string PrintJson(const nlohmann::json& value);

/// Reads typed fields of one JSON object and collects the errors with their location.
///
/// Each read of a field that is missing or has another type adds a finding and gives an empty
/// value. `object` and `findings` must outlive the reader.
class json_fields {
 public:
  json_fields(const nlohmann::json& object, std::string place, finding_list& findings);

  /// A required text that must not be empty.
  std::string Text(const char* key);
  /// A text that may be missing, null or empty.
  std::string OptionalText(const char* key);
  /// A required whole number from 0 up to `limit`.
  std::uint64_t Number(const char* key, std::uint64_t limit = UINT64_MAX);
  std::uint64_t OptionalNumber(const char* key, std::uint64_t limit = UINT64_MAX);
  /// A required number that is finite and not negative.
  double NonNegativeNumber(const char* key);
  bool Flag(const char* key);
  /// A required array; an empty one after a finding.
  const nlohmann::json& Array(const char* key);
  /// The value of a field, or null when it is missing.
  const nlohmann::json& Value(const char* key) const;
  /// Whether there is a value other than null.
  bool Has(const char* key) const { return !Value(key).is_null(); }
  /// Whether the field is there, also when it is null.
  bool Contains(const char* key) const { return object_.is_object() && object_.contains(key); }

  void AddFinding(const char* key, std::string message);
  std::string FieldPath(const char* key) const { return place_ + "." + key; }

 private:
  const nlohmann::json& object_;
  std::string place_;
  finding_list& findings_;
};

}  // namespace waxwingwing
