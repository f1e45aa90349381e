#pragma once

// g++ 12 needs <utility> before the header of awaitable, which does not include it itself.
#include <utility>
//
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Why the head of a response cannot belong to an answer, although its text can be parsed.
enum class response_error {
  /// The status is neither that of an interim nor that of a final response.
  kInvalidStatus = 1,
  /// A switch of protocols that no request asks for.
  kUnexpectedSwitch,
  /// A body is announced for a status that has none.
  kUnexpectedBody,
  /// More interim responses than are skipped.
  kTooManyInterimResponses,
  /// More header fields than `kMaxResponseFields`.
  kTooManyFields,
};

error_code ToErrorCode(response_error error);

/// Whether the error is a `response_error`.
bool IsResponseError(const error_code& error);

/// Limits of a response's size, in bytes.
struct response_limits {
  std::uint32_t head = 0;
  /// No limit when absent, for readers that do not keep the body.
  std::optional<std::uint64_t> body;
};

struct head_result {
  error_code error;
  /// Number of bytes that were parsed, including those of skipped interim responses.
  std::size_t bytes = 0;
};

enum class response_kind {
  /// Informational; the final response to the request follows on the connection.
  kInterim,
  kFinal,
};

/// Classifies a response by its status and the framing of its body (RFC 9110, sections 8.6 and 15;
/// RFC 9112, section 6.3). Sets `error` when it is neither kind.
response_kind ClassifyResponse(unsigned status, const boost::beast::http::fields& fields,
                               error_code& error);

/// Maximum number of interim responses that are skipped before the final one.
constexpr int kMaxInterimResponses = 8;
/// Maximum number of header fields of a response. A parsed field takes many times the memory of its
/// shortest text.
constexpr std::size_t kMaxResponseFields = 100;

/// Reads the head of the next final response and skips interim ones, which callers do not get.
/// `parser` is created for the final response and may be used to read its body. `head_only`: the
/// response has no body, whatever its headers say.
///
/// All readers of HTTP responses must use this function: a parser by itself accepts any three
/// digits as a status, and takes an interim response for the whole answer.
template <typename stream_type, typename parser_type>
awaitable<head_result> ReadResponseHead(stream_type& stream, boost::beast::flat_buffer& buffer,
                                        std::optional<parser_type>& parser, response_limits limits,
                                        bool head_only = false) {
  head_result result;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    parser.emplace();
    parser->header_limit(limits.head);
    if (limits.body) {
      parser->body_limit(*limits.body);
    } else {
      parser->body_limit(boost::none);
    }
    parser->skip(head_only);
    result.bytes += co_await boost::beast::http::async_read_header(stream, buffer, *parser,
                                                                   StoreError(result.error));
    if (result.error) co_return result;
    const auto& message = parser->get();
    const response_kind kind = ClassifyResponse(message.result_int(), message.base(), result.error);
    if (result.error || kind == response_kind::kFinal) co_return result;
  }
  result.error = ToErrorCode(response_error::kTooManyInterimResponses);
  co_return result;
}

}  // namespace waxwingwing
