#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"

namespace waxwingwing::integration {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_call {
  std::string method = "GET";
  std::string path;
  header_list headers;
  std::string body;
};

struct http_answer {
  unsigned status = 0;
  header_list headers;
  std::string body;

  /// Value of a header, compared without case; empty when there is none.
  std::string Header(const std::string& name) const;
  /// The body as JSON; throws nlohmann::json::exception.
  nlohmann::json Json() const { return nlohmann::json::parse(body); }
};

/// Blocking HTTP client that uses a new connection for each call. Safe for use by several threads.
class http_client {
 public:
  static constexpr milliseconds kDefaultTimeout{10000};

  /// `address` is `ip:port`; `timeout` bounds each call as a whole.
  explicit http_client(std::string address, milliseconds timeout = kDefaultTimeout)
      : address_(std::move(address)), timeout_(timeout) {}

  /// Fails with a reason when the connection failed or the time ran out.
  result<http_answer> Send(const http_call& call) const;

  /// As `Send`, but throw std::runtime_error instead of failing.
  http_answer Get(const std::string& path, const header_list& headers = {}) const;
  http_answer Post(const std::string& path, const nlohmann::json& body,
                   const header_list& headers = {}) const;
  http_answer Delete(const std::string& path) const;

  const std::string& address() const { return address_; }

 private:
  http_answer SendOrThrow(const http_call& call) const;

  std::string address_;
  milliseconds timeout_;
};

}  // namespace waxwingwing::integration
