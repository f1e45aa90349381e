#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>

#include "waxwingwing/core/strong_type.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/membership/backend_report.h"

/// msgpack adaptors for the strong types of `core`: ids as text, numbers and durations as integers.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename tag>
  struct convert<waxwingwing::strong_id<tag>> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      waxwingwing::strong_id<tag>& to) const {
      to = waxwingwing::strong_id<tag>(from.as<std::string>());
      return from;
    }
  };

  template <typename tag>
  struct pack<waxwingwing::strong_id<tag>> {
    template <typename stream>
    msgpack::packer<stream>& operator()(msgpack::packer<stream>& to,
                                        const waxwingwing::strong_id<tag>& from) const {
      return to.pack(from.str());
    }
  };

  template <typename tag, typename representation>
  struct convert<waxwingwing::strong_number<tag, representation>> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      waxwingwing::strong_number<tag, representation>& to) const {
      to = waxwingwing::strong_number<tag, representation>(from.as<representation>());
      return from;
    }
  };

  template <typename tag, typename representation>
  struct pack<waxwingwing::strong_number<tag, representation>> {
    template <typename stream>
    msgpack::packer<stream>& operator()(
        msgpack::packer<stream>& to,
        const waxwingwing::strong_number<tag, representation>& from) const {
      return to.pack(from.get());
    }
  };

  /// Durations on the wire are not negative and fit 32 bits (49 days), so that arithmetic on them
  /// cannot overflow; `pack` limits them to that range.
  template <>
  struct convert<waxwingwing::milliseconds> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      waxwingwing::milliseconds& to) const {
      to = waxwingwing::milliseconds(from.as<std::uint32_t>());
      return from;
    }
  };

  template <>
  struct pack<waxwingwing::milliseconds> {
    template <typename stream>
    msgpack::packer<stream>& operator()(msgpack::packer<stream>& to,
                                        const waxwingwing::milliseconds& from) const {
      const auto most = waxwingwing::milliseconds(std::numeric_limits<std::uint32_t>::max());
      const auto bounded = std::clamp(from, waxwingwing::milliseconds(0), most);
      return to.pack(static_cast<std::uint32_t>(bounded.count()));
    }
  };

  template <>
  struct convert<waxwingwing::backend_state> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      waxwingwing::backend_state& to) const {
      const auto number = from.as<std::uint8_t>();
      if (number > static_cast<std::uint8_t>(waxwingwing::backend_state::kReady)) {
        throw msgpack::type_error();
      }
      to = static_cast<waxwingwing::backend_state>(number);
      return from;
    }
  };

  template <>
  struct pack<waxwingwing::backend_state> {
    template <typename stream>
    msgpack::packer<stream>& operator()(msgpack::packer<stream>& to,
                                        const waxwingwing::backend_state& from) const {
      return to.pack(static_cast<std::uint8_t>(from));
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack
