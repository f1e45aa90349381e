#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace waxwingwing {

/// Text identifier with a type of its own, so that different kinds of identifiers do not mix.
///
/// Declare one with a tag type: `using vm_id = strong_id<struct vm_id_tag>;`. An empty value means
/// "not set".
template <typename tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  // NOLINTNEXTLINE(modernize-use-nullptr): reported for comparisons that the compiler rewrites.
  auto operator<=>(const strong_id&) const = default;

 private:
  std::string text_;
};

/// Number with a type of its own for one quantity, such as a log offset or a count of tokens.
///
/// Arithmetic is possible only between values of the same type.
template <typename tag, typename representation = std::uint64_t>
class strong_number {
 public:
  using representation_type = representation;

  constexpr strong_number() = default;
  constexpr explicit strong_number(representation number) : number_(number) {}

  constexpr representation get() const { return number_; }

  // NOLINTNEXTLINE(modernize-use-nullptr): reported for comparisons that the compiler rewrites.
  constexpr auto operator<=>(const strong_number&) const = default;
  constexpr strong_number operator+(strong_number other) const {
    return strong_number(number_ + other.number_);
  }
  constexpr strong_number operator-(strong_number other) const {
    return strong_number(number_ - other.number_);
  }
  constexpr strong_number& operator+=(strong_number other) {
    number_ += other.number_;
    return *this;
  }
  constexpr strong_number& operator-=(strong_number other) {
    number_ -= other.number_;
    return *this;
  }
  constexpr strong_number Next() const { return strong_number(number_ + 1); }

 private:
  representation number_{};
};

template <typename tag>
std::ostream& operator<<(std::ostream& stream, const strong_id<tag>& id) {
  return stream << id.str();
}

template <typename tag, typename representation>
std::ostream& operator<<(std::ostream& stream, strong_number<tag, representation> number) {
  return stream << number.get();
}

}  // namespace waxwingwing

template <typename tag>
struct std::hash<waxwingwing::strong_id<tag>> {
  std::size_t operator()(const waxwingwing::strong_id<tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};

template <typename tag, typename representation>
struct std::hash<waxwingwing::strong_number<tag, representation>> {
  std::size_t operator()(waxwingwing::strong_number<tag, representation> number) const noexcept {
    return std::hash<representation>{}(number.get());
  }
};
