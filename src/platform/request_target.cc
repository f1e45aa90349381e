#include "waxwingwing/platform/request_target.h"

#include <algorithm>

namespace waxwingwing {
namespace {

constexpr std::string_view kUnreservedPunctuation = "-._~";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr unsigned kDigitBits = 4;
constexpr unsigned kDigitMask = 0xf;

/// Whether a byte is unreserved. Independent of the locale, unlike `isalnum`.
bool IsUnreserved(char byte) {
  return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= '0' && byte <= '9') ||
         kUnreservedPunctuation.find(byte) != std::string_view::npos;
}

void AppendEncoded(std::string& target, std::string_view value) {
  for (const char byte : value) {
    if (IsUnreserved(byte)) {
      target += byte;
      continue;
    }
    const auto code = static_cast<unsigned char>(byte);
    target += '%';
    target += kHexDigits[code >> kDigitBits];
    target += kHexDigits[code & kDigitMask];
  }
}

}  // namespace

request_target& request_target::Segment(std::string_view segment) {
  text_ += '/';
  AppendEncoded(text_, segment);
  return *this;
}

request_target& request_target::Parameter(std::string_view name, std::string_view value) {
  text_ += has_query_ ? '&' : '?';
  has_query_ = true;
  AppendEncoded(text_, name);
  text_ += '=';
  AppendEncoded(text_, value);
  return *this;
}

request_target& request_target::Parameter(std::string_view name, std::uint64_t value) {
  return Parameter(name, std::to_string(value));
}

bool IsValidRequestTarget(std::string_view target) {
  return target.starts_with('/') && std::all_of(target.begin(), target.end(), [](char byte) {
           return byte > ' ' && byte < '\x7f';
         });
}

}  // namespace waxwingwing
