#include "waxwingwing/platform/response_reader.h"

#include <boost/beast/http/field.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

struct sample {
  unsigned status;
  http::field field;
  const char* value;
  std::optional<response_error> error;
  response_kind kind = response_kind::kFinal;
};

// Guards against passing on a status that no answer has, or waiting for an answer that has already
// arrived under a garbled status.
TEST_CASE("responses are classified by status and framing", "[platform]") {
  constexpr auto length = http::field::content_length;
  constexpr auto coding = http::field::transfer_encoding;
  constexpr auto other = http::field::server;
  const sample test =
      GENERATE(values<sample>({{0, length, "5", response_error::kInvalidStatus},
                               {99, other, "x", response_error::kInvalidStatus},
                               {100, other, "x", std::nullopt, response_kind::kInterim},
                               {103, other, "x", std::nullopt, response_kind::kInterim},
                               {199, other, "x", std::nullopt, response_kind::kInterim},
                               {100, length, "0", response_error::kUnexpectedBody},
                               {100, length, "5", response_error::kUnexpectedBody},
                               {103, coding, "chunked", response_error::kUnexpectedBody},
                               {101, other, "x", response_error::kUnexpectedSwitch},
                               {200, length, "5", std::nullopt},
                               {204, other, "x", std::nullopt},
                               {204, length, "0", std::nullopt},
                               {204, length, "5", response_error::kUnexpectedBody},
                               {204, coding, "chunked", response_error::kUnexpectedBody},
                               {304, length, "5", std::nullopt},
                               {599, length, "5", std::nullopt},
                               {600, length, "5", response_error::kInvalidStatus},
                               {999, length, "5", response_error::kInvalidStatus}}));
  CAPTURE(test.status, test.value);
  http::fields fields;
  fields.set(test.field, test.value);
  error_code error;
  const response_kind kind = ClassifyResponse(test.status, fields, error);
  CHECK(error == (test.error ? ToErrorCode(*test.error) : error_code()));
  CHECK(IsResponseError(error) == test.error.has_value());
  if (!test.error) CHECK(kind == test.kind);
}

TEST_CASE("a response has a limited number of header fields", "[platform]") {
  http::fields fields;
  for (std::size_t i = 0; i < kMaxResponseFields; ++i) fields.insert("X", "");
  error_code error;
  ClassifyResponse(200, fields, error);
  CHECK_FALSE(error);
  fields.insert("X", "");
  ClassifyResponse(200, fields, error);
  CHECK(error == ToErrorCode(response_error::kTooManyFields));
}

}  // namespace
}  // namespace waxwingwing
