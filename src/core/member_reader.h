#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace waxwingwing {

/// Reads the members of a JSON object that another node wrote. Never throws; the first fault is
/// kept, and reads after it give empty values.
///
/// Usage: read all members, then check `ok()` once.
class member_reader {
 public:
  /// `value` must outlive the reader.
  explicit member_reader(const nlohmann::json& value);

  bool ok() const { return reason_.empty(); }
  const std::string& reason() const { return reason_; }
  /// Records a fault that the caller found.
  void Fail(const std::string& reason);

  /// A string of 1 to `max_bytes` bytes.
  std::string Text(const char* name, std::size_t max_bytes = 256);
  std::uint64_t Number(const char* name, std::uint64_t least = 0,
                       std::uint64_t greatest = UINT64_MAX);
  /// Empty when the member is absent or null.
  std::optional<std::uint64_t> OptionalNumber(const char* name);
  bool Flag(const char* name);
  /// An empty array on a fault.
  const nlohmann::json& Array(const char* name);
  /// An empty object on a fault.
  const nlohmann::json& Object(const char* name);

 private:
  const nlohmann::json* Find(const char* name);

  const nlohmann::json& value_;
  std::string reason_;
};

}  // namespace waxwingwing
