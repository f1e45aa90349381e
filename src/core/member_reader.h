#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace waxwingwing {

/// Reads and validates the members of a JSON object that another node wrote. Never throws; the
/// first error is kept, and later reads return empty values.
///
/// Usage: read all members, then check `ok()` once.
class member_reader {
 public:
  /// `value` must outlive the reader.
  explicit member_reader(const nlohmann::json& value);

  bool ok() const { return reason_.empty(); }
  const std::string& reason() const { return reason_; }
  /// Records an error that the caller detected.
  void Fail(const std::string& reason);

  /// Reads a string of 1 to `max_bytes` bytes.
  std::string Text(const char* name, std::size_t max_bytes = 256);
  /// Reads an unsigned integer from `least` to `greatest`.
  std::uint64_t Number(const char* name, std::uint64_t least = 0,
                       std::uint64_t greatest = UINT64_MAX);
  /// Reads an unsigned integer; empty when the member is absent or null.
  std::optional<std::uint64_t> OptionalNumber(const char* name);
  bool Flag(const char* name);
  /// Reads an array; returns an empty one on an error.
  const nlohmann::json& Array(const char* name);
  /// Reads an object; returns an empty one on an error.
  const nlohmann::json& Object(const char* name);

 private:
  const nlohmann::json* Find(const char* name);

  const nlohmann::json& value_;
  std::string reason_;
};

}  // namespace waxwingwing
