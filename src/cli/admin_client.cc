#include "cli/admin_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <thread>
#include <utility>

#include "waxwingwing/platform/json_fields.h"

namespace waxwingwing {
namespace {

// An entry VM replies to a submitted release note only after the note was accepted or refused, up
// to 5 s later.
constexpr milliseconds kRequestTimeout{8000};
constexpr milliseconds kPollInterval{200};
constexpr byte_count kMaxReplyBytes{std::uint64_t{16} << 20U};
constexpr std::uint32_t kFirstServerError = 500;

boost::asio::awaitable<void> StoreReply(http_client& http, http_request request,
                                        std::optional<result<http_reply>>& reply) {
  reply.emplace(co_await http.Send(std::move(request)));
}

}  // namespace

admin_client::admin_client(std::vector<std::string> addresses, time_point deadline,
                           std::ostream& err)
    : addresses_(std::move(addresses)), deadline_(deadline), err_(err) {}

bool admin_client::DeadlinePassed() const { return std::chrono::steady_clock::now() >= deadline_; }

void admin_client::WaitPollInterval() const { std::this_thread::sleep_for(kPollInterval); }

void admin_client::PrintErrorOnce(const std::string& error) {
  if (!printed_errors_.insert(error).second) return;
  err_ << error << "\n";
}

std::optional<admin_reply> admin_client::RequestFrom(const std::string& address,
                                                     const std::string& method,
                                                     const std::string& target,
                                                     const std::string& body) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline_ - std::chrono::steady_clock::now());
  http_request request;
  request.address = address;
  request.method = method;
  request.target = target;
  request.body = body;
  request.timeout = std::clamp(left, milliseconds(1), kRequestTimeout);
  request.body_limit = kMaxReplyBytes;
  if (!body.empty()) request.headers.push_back({"Content-Type", "application/json"});

  std::optional<result<http_reply>> reply;
  boost::asio::co_spawn(context_, StoreReply(http_, std::move(request), reply),
                        boost::asio::detached);
  context_.restart();
  context_.run();
  if (!reply || !*reply) {
    PrintErrorOnce(reply ? reply->reason() : address + ": no reply");
    return std::nullopt;
  }
  auto value = ParseJson((*reply)->body);
  if (!value || !value->is_object()) {
    PrintErrorOnce(address + ": the answer is not a JSON object");
    return std::nullopt;
  }
  return admin_reply{(*reply)->status, *std::move(value)};
}

std::optional<admin_reply> admin_client::SendRequest(const std::string& method,
                                                     const std::string& target,
                                                     const std::string& body) {
  std::optional<admin_reply> server_error;
  for (const std::string& address : addresses_) {
    auto reply = RequestFrom(address, method, target, body);
    if (reply && reply->status < kFirstServerError) return reply;
    if (reply) {
      PrintErrorOnce(address + ": answered " + std::to_string(reply->status));
      server_error = std::move(reply);
    }
    if (DeadlinePassed()) break;
  }
  return server_error;
}

}  // namespace waxwingwing
