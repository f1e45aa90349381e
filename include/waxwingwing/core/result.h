#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace waxwingwing {

/// Holds either a value or the reason why the operation that should have returned it failed.
///
/// Usage: `result<int> port = ParsePort(text); if (!port) return port.reason();`
template <typename value_type>
class [[nodiscard]] result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): implicit, so that functions can return a value.
  result(value_type value) : value_(std::move(value)) {}

  /// Creates a result without a value. `reason` must not be empty.
  static result Failure(std::string reason) {
    assert(!reason.empty());
    return result(std::nullopt, std::move(reason));
  }

  explicit operator bool() const { return value_.has_value(); }
  bool has_value() const { return value_.has_value(); }
  const std::string& reason() const { return reason_; }

  value_type& operator*() {
    assert(value_.has_value());
    return *value_;
  }
  const value_type& operator*() const {
    assert(value_.has_value());
    return *value_;
  }
  value_type* operator->() { return &**this; }
  const value_type* operator->() const { return &**this; }

 private:
  result(std::nullopt_t, std::string reason) : reason_(std::move(reason)) {}

  std::optional<value_type> value_;
  std::string reason_;
};

}  // namespace waxwingwing
