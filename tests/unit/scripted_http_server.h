#pragma once

#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace waxwingwing {

/// HTTP server on loopback that answers each request with the next step of a script. Use from one
/// `io_context`; must outlive the runs of the context.
class scripted_http_server {
 public:
  /// Action for one request.
  struct step {
    std::uint32_t status = 200;
    std::string body = {};
    /// Closes the connection without an answer.
    bool close_unanswered = false;
    /// Keeps the connection open and answers nothing.
    bool stay_silent = false;
    /// Closes the connection after the answer, also after a raw one, without announcing it.
    bool close_after = false;
    /// Written as they are instead of an answer and followed by `kEndlessBytes` zeros; the
    /// connection then stays open.
    std::string endless_bytes = {};
    /// Written as they are in front of the answer.
    std::string bytes_before = {};
    /// Written as they are instead of an answer.
    std::string raw_answer = {};
    /// Time before the answer in `slow_parts`.
    std::chrono::milliseconds delay{0};
    /// Written one after the other, with pauses between them, instead of an answer.
    std::vector<std::string> slow_parts = {};
    std::chrono::milliseconds part_pause{0};
    /// Headers of the answer.
    std::vector<std::pair<std::string, std::string>> headers = {};
    /// Name of a request header that the answer repeats, if the request has it.
    std::string echoed_header = {};
    /// Writes the previous answer on the connection a second time in front of this one.
    bool copy_previous_answer = false;
  };
  /// Size of what is sent where the client should not wait for its end.
  static constexpr std::size_t kEndlessBytes = std::size_t{32} << 20U;

  struct seen_request {
    std::string method;
    std::string target;
    std::string body = {};
    /// Value of the header that the answer repeats.
    std::string echoed_value = {};
  };

  explicit scripted_http_server(boost::asio::io_context& context)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}) {
    boost::asio::co_spawn(context, Accept(), boost::asio::detached);
  }
  scripted_http_server(const scripted_http_server&) = delete;
  scripted_http_server& operator=(const scripted_http_server&) = delete;

  void Add(step next) { script_.push_back(std::move(next)); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int connections() const { return connections_; }
  const std::vector<seen_request>& seen() const { return seen_; }

 private:
  using socket = boost::asio::ip::tcp::socket;
  using error_code = boost::system::error_code;

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      error_code error;
      socket peer = co_await acceptor_.async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) co_return;
      ++connections_;
      auto kept = std::make_shared<socket>(std::move(peer));
      boost::asio::co_spawn(acceptor_.get_executor(), Serve(kept), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(std::shared_ptr<socket> peer) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    for (;;) {
      http::request<http::string_body> request;
      error_code error;
      co_await http::async_read(*peer, buffer, request,
                                boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error || script_.empty()) co_return;
      const step next = std::move(script_.front());
      script_.pop_front();
      const std::string echoed_value =
          next.echoed_header.empty() ? "" : std::string(request[next.echoed_header]);
      seen_.push_back({std::string(request.method_string()), std::string(request.target()),
                       request.body(), echoed_value});
      if (next.close_unanswered) co_return;
      if (!next.endless_bytes.empty()) {
        const std::string bytes = next.endless_bytes + std::string(kEndlessBytes, '0');
        silent_.push_back(peer);
        co_await boost::asio::async_write(
            *peer, boost::asio::buffer(bytes),
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        co_return;
      }
      if (next.stay_silent) silent_.push_back(peer);
      if (next.stay_silent) co_return;

      if (next.delay.count() > 0) {
        boost::asio::steady_timer pause(acceptor_.get_executor(), next.delay);
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
      }
      for (const std::string& part : next.slow_parts) {
        co_await boost::asio::async_write(
            *peer, boost::asio::buffer(part),
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        boost::asio::steady_timer pause(acceptor_.get_executor(), next.part_pause);
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
      }
      if (!next.slow_parts.empty()) continue;

      const std::string raw = next.bytes_before + next.raw_answer;
      co_await boost::asio::async_write(
          *peer, boost::asio::buffer(raw),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (!next.raw_answer.empty() && next.close_after) co_return;
      if (!next.raw_answer.empty()) continue;

      if (next.copy_previous_answer) {
        co_await http::async_write(*peer, response,
                                   boost::asio::redirect_error(boost::asio::use_awaitable, error));
      }
      response = {};
      response.result(next.status);
      if (!echoed_value.empty()) response.set(next.echoed_header, echoed_value);
      response.body() = next.body;
      for (const auto& [name, value] : next.headers) response.set(name, value);
      response.prepare_payload();
      co_await http::async_write(*peer, response,
                                 boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error || next.close_after) co_return;
    }
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::deque<step> script_;
  std::vector<seen_request> seen_;
  std::vector<std::shared_ptr<socket>> silent_;
  int connections_ = 0;
};

}  // namespace waxwingwing
