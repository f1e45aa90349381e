#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "waxwingwing/forward/call_codec.h"

namespace waxwingwing {

/// Removes the connection-specific (hop-by-hop) headers, including those that `Connection` names.
void RemoveConnectionFields(http_fields& fields);

/// Serialises a request's head; `fields` are written unchanged, followed by a `Content-Length`
/// where the request has a body, whose size is `body_size` bytes.
std::string WriteRequestHead(std::string_view method, std::string_view target,
                             const http_fields& fields, std::size_t body_size);

/// Serialises the status line and headers of a response. Without `length` the body uses chunked
/// transfer encoding.
std::string WriteResponseHead(unsigned status, std::string_view reason, const http_fields& fields,
                              std::optional<std::size_t> length, bool keep_alive);

/// Serialises one chunk of a body in chunked transfer encoding.
std::string WriteChunk(std::string_view bytes);

/// Terminates a body in chunked transfer encoding.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace waxwingwing
