#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingwing/core/result.h"
#include "waxwingwing/peer/messages.h"

namespace waxwingwing {

// A frame is a 4-byte big-endian length of all that follows, a version byte, a type byte and a
// msgpack payload.

constexpr std::size_t kFrameLengthBytes = 4;
constexpr std::size_t kFrameHeaderBytes = 2;
/// Upper limit of the bytes that follow the length field.
constexpr std::size_t kMaxFrameBytes = std::size_t{256} * 1024;
constexpr std::uint8_t kFrameVersion = 1;

enum class frame_error { kNone, kOversized, kUnknownVersion, kUnknownType, kMalformed };

/// Result of decoding a frame body: a message, or an error with its reason.
struct decoded_frame {
  std::optional<peer_message> message;
  frame_error error = frame_error::kNone;
  std::string reason;
};

/// Result of decoding the length field of a frame.
struct frame_length {
  /// Bytes that follow the length field; set only when `error` is `kNone`.
  std::size_t bytes = 0;
  frame_error error = frame_error::kNone;
};

/// Encodes a message as a whole frame. Fails when the message needs more than `kMaxFrameBytes`.
result<std::string> EncodeFrame(const peer_message& message);

/// Checks the length at the start of a frame, before memory is reserved for the rest.
frame_length DecodeLength(const std::array<unsigned char, kFrameLengthBytes>& prefix,
                          std::size_t limit = kMaxFrameBytes);

/// Decodes the bytes that follow the length field: version, type and payload. Never throws.
decoded_frame DecodeBody(std::string_view body);

}  // namespace waxwingwing
