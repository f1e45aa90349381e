#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

/// An additional header field of an answer.
struct header_field {
  std::string name;
  std::string value;
};

/// An answer with its complete body, as opposed to a streamed one.
struct whole_answer {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<header_field> headers;
};

}  // namespace waxwingwing
