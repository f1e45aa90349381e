#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Body type of Beast that holds a body in a string. Unlike `string_body` it reserves nothing for a
/// length that was only announced.
struct growing_body {
  using value_type = std::string;

  class reader {
   public:
    template <bool is_request, typename fields>
    reader(boost::beast::http::header<is_request, fields>& /*head*/, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, error_code& error) { error = {}; }

    template <typename buffers>
    std::size_t put(const buffers& received, error_code& error) {
      const std::size_t size = boost::asio::buffer_size(received);
      for (auto part = boost::asio::buffer_sequence_begin(received);
           part != boost::asio::buffer_sequence_end(received); ++part) {
        const boost::asio::const_buffer bytes = *part;
        body_.append(static_cast<const char*>(bytes.data()), bytes.size());
      }
      error = {};
      return size;
    }

    void finish(error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace waxwingwing
