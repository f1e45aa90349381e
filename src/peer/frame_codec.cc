#include "waxwingwing/peer/frame_codec.h"

#include <msgpack.hpp>
#include <utility>

namespace waxwingwing {
namespace {

// msgpack reserves 24 bytes for each element that an array declares, before it reads them, so
// the declared size is limited; a status holds tens of reports, a log page at most 512 records.
constexpr std::size_t kMaxArrayElements = 8192;
constexpr std::size_t kMaxDepth = 16;

decoded_frame Fail(frame_error error, std::string reason) {
  return {std::nullopt, error, std::move(reason)};
}

msgpack::unpack_limit Limits() { return {kMaxArrayElements, 0, kMaxFrameBytes, 0, 0, kMaxDepth}; }

template <std::size_t index>
peer_message ConvertTo(const msgpack::object& object) {
  return object.as<std::variant_alternative_t<index, peer_message>>();
}

using converter = peer_message (*)(const msgpack::object&);

template <std::size_t... indices>
constexpr auto MakeConverters(std::index_sequence<indices...> /*unused*/) {
  return std::array<converter, sizeof...(indices)>{&ConvertTo<indices>...};
}

constexpr auto kConverters =
    MakeConverters(std::make_index_sequence<std::variant_size_v<peer_message>>());

decoded_frame DecodePayload(std::string_view payload, converter convert) {
  try {
    std::size_t used = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(payload.data(), payload.size(), used, nullptr, nullptr, Limits());
    if (used != payload.size())
      return Fail(frame_error::kMalformed, "unexpected bytes after the payload");
    if (handle.get().type != msgpack::type::ARRAY) {
      return Fail(frame_error::kMalformed, "the payload is not an array");
    }
    peer_message message = convert(handle.get());
    std::string fault = InvalidMessageReason(message);
    if (!fault.empty()) return Fail(frame_error::kMalformed, std::move(fault));
    return {std::move(message), frame_error::kNone, {}};
  } catch (const std::exception& error) {
    // msgpack-cxx reports malformed input by exceptions only.
    return Fail(frame_error::kMalformed, error.what());
  }
}

}  // namespace

result<std::string> EncodeFrame(const peer_message& message) {
  msgpack::sbuffer payload;
  std::visit([&](const auto& typed) { msgpack::pack(payload, typed); }, message);
  const std::size_t length = payload.size() + kFrameHeaderBytes;
  if (length > kMaxFrameBytes) {
    return result<std::string>::Failure("the message needs " + std::to_string(length) + " bytes");
  }
  std::string frame;
  frame.reserve(kFrameLengthBytes + length);
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU));
  }
  frame.push_back(static_cast<char>(kFrameVersion));
  frame.push_back(static_cast<char>(message.index() + 1));
  frame.append(payload.data(), payload.size());
  return frame;
}

frame_length DecodeLength(const std::array<unsigned char, kFrameLengthBytes>& prefix,
                          std::size_t limit) {
  std::size_t bytes = 0;
  for (const unsigned char byte : prefix) bytes = (bytes << 8U) | byte;
  if (bytes > limit) return {0, frame_error::kOversized};
  if (bytes < kFrameHeaderBytes) return {0, frame_error::kMalformed};
  return {bytes, frame_error::kNone};
}

decoded_frame DecodeBody(std::string_view body) {
  if (body.size() > kMaxFrameBytes) return Fail(frame_error::kOversized, "the frame is too long");
  if (body.size() < kFrameHeaderBytes)
    return Fail(frame_error::kMalformed, "the frame is too short");
  const auto version = static_cast<unsigned char>(body[0]);
  if (version != kFrameVersion) {
    return Fail(frame_error::kUnknownVersion, "unknown frame version " + std::to_string(version));
  }
  const auto type = static_cast<unsigned char>(body[1]);
  if (type == 0 || type > kConverters.size()) {
    return Fail(frame_error::kUnknownType, "unknown message type " + std::to_string(type));
  }
  return DecodePayload(body.substr(kFrameHeaderBytes), kConverters[type - 1]);
}

}  // namespace waxwingwing
