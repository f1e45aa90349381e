#include "tests/integration/http_client.h"

#include <strings.h>

#include <chrono>
#include <limits>
#include <stdexcept>

#include "tests/integration/http_connection.h"

namespace waxwingwing::integration {

std::string http_answer::Header(const std::string& name) const {
  for (const auto& [own_name, value] : headers) {
    if (::strcasecmp(own_name.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

result<http_answer> http_client::Send(const http_call& call) const {
  const time_point deadline = std::chrono::steady_clock::now() + timeout_;
  http_connection connection;
  http_connection::parser parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::system::error_code error = connection.Connect(address_, deadline);
  if (!error) error = connection.Write(address_, call, deadline);
  if (!error) error = connection.Read(parser, deadline);
  if (error) {
    return result<http_answer>::Failure(call.method + " " + address_ + call.path + ": " +
                                        error.message());
  }
  return http_connection::ToAnswer(parser);
}

http_answer http_client::SendOrThrow(const http_call& call) const {
  result<http_answer> answer = Send(call);
  if (!answer) throw std::runtime_error(answer.reason());
  return *answer;
}

http_answer http_client::Get(const std::string& path, const header_list& headers) const {
  return SendOrThrow({"GET", path, headers, ""});
}

http_answer http_client::Post(const std::string& path, const nlohmann::json& body,
                              const header_list& headers) const {
  return SendOrThrow({"POST", path, headers, body.dump()});
}

http_answer http_client::Delete(const std::string& path) const {
  return SendOrThrow({"DELETE", path, {}, ""});
}

}  // namespace waxwingwing::integration
