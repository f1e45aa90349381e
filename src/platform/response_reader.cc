#include "waxwingwing/platform/response_reader.h"

#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <cstddef>
#include <iterator>
#include <string>

namespace waxwingwing {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kEndOfStatuses = 600;
constexpr auto kMaxFieldCount = static_cast<std::ptrdiff_t>(kMaxResponseFields);

class response_category final : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "waxwingwing.response"; }

  std::string message(int value) const override {
    static constexpr std::array kTexts = {"no error",
                                          "the status is not valid",
                                          "unexpected switch of protocols",
                                          "a body is announced for a status that has none",
                                          "too many interim responses",
                                          "too many header fields"};
    return kTexts.at(static_cast<std::size_t>(value));
  }
};

const boost::system::error_category& Category() {
  static const response_category kCategory;
  return kCategory;
}

/// Whether the headers announce a body for a status that has none. An interim response with a
/// length of zero is included: it is likely an answer with a garbled status, and nothing would
/// follow it.
bool AnnouncesUnexpectedBody(unsigned status, const http::fields& fields) {
  const bool interim = status < kFirstFinalStatus;
  if (!interim && status != static_cast<unsigned>(http::status::no_content)) return false;
  if (fields.find(http::field::transfer_encoding) != fields.end()) return true;
  const auto length = fields.find(http::field::content_length);
  return length != fields.end() && (interim || length->value() != "0");
}

}  // namespace

error_code ToErrorCode(response_error error) { return {static_cast<int>(error), Category()}; }

bool IsResponseError(const error_code& error) { return error.category() == Category(); }

response_kind ClassifyResponse(unsigned status, const http::fields& fields, error_code& error) {
  if (status < kFirstInterimStatus || status >= kEndOfStatuses) {
    error = ToErrorCode(response_error::kInvalidStatus);
  } else if (status == static_cast<unsigned>(http::status::switching_protocols)) {
    error = ToErrorCode(response_error::kUnexpectedSwitch);
  } else if (std::distance(fields.begin(), fields.end()) > kMaxFieldCount) {
    error = ToErrorCode(response_error::kTooManyFields);
  } else if (AnnouncesUnexpectedBody(status, fields)) {
    error = ToErrorCode(response_error::kUnexpectedBody);
  }
  return status < kFirstFinalStatus ? response_kind::kInterim : response_kind::kFinal;
}

}  // namespace waxwingwing
