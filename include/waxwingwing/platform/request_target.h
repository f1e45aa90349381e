#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingwing {

/// Builds the target of an HTTP request from values that may hold any bytes.
///
/// Values are percent-encoded (RFC 3986, section 2.1): every byte but the unreserved ones, so that
/// no value can end the target or add a parameter to it.
class request_target {
 public:
  /// `path` is written as it is: a literal that begins with a slash.
  explicit request_target(std::string_view path) : text_(path) {}

  /// Appends a slash and one segment of the path.
  request_target& Segment(std::string_view segment);
  /// Appends a parameter of the query.
  request_target& Parameter(std::string_view name, std::string_view value);
  request_target& Parameter(std::string_view name, std::uint64_t value);

  const std::string& str() const { return text_; }

 private:
  std::string text_;
  bool has_query_ = false;
};

/// Whether `target` can be written into a request line: it begins with a slash and consists of
/// visible ASCII characters.
bool IsValidRequestTarget(std::string_view target);

}  // namespace waxwingwing
