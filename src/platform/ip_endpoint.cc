#include "waxwingwing/platform/ip_endpoint.h"

#include <charconv>
#include <string>

namespace waxwingwing {
namespace {

using endpoint = boost::asio::ip::tcp::endpoint;

result<endpoint> Fail(std::string_view text) {
  const std::size_t printed_length = 64;
  return result<endpoint>::Failure("not an address of the form ip:port: '" +
                                   std::string(text.substr(0, printed_length)) + "'");
}

bool ParsePort(std::string_view text, std::uint16_t& port) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

result<endpoint> ParseIpEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return Fail(text);
  std::uint16_t port = 0;
  if (!ParsePort(text.substr(colon + 1), port)) return Fail(text);

  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || address.is_v6() != bracketed) return Fail(text);
  return endpoint(address, port);
}

}  // namespace waxwingwing
