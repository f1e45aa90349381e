#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "waxwingwing/forward/call_codec.h"

namespace waxwingwing {

/// Removes the headers that concern one connection only, including those that `Connection` names.
void RemoveConnectionFields(http_fields& fields);

/// A request's head and body as bytes; `fields` are written as they are, with a length for the
/// body.
std::string WriteRequest(std::string_view method, std::string_view target,
                         const http_fields& fields, std::string_view body);

/// The head of an answer. Without a length the body is sent in chunks.
std::string WriteAnswerHead(unsigned status, std::string_view reason, const http_fields& fields,
                            std::optional<std::size_t> length, bool keep_alive);

/// One chunk of a body that is sent in chunks.
std::string WriteChunk(std::string_view bytes);

/// The end of a body that is sent in chunks.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace waxwingwing
