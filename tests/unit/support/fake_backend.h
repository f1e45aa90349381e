#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace waxwingwing::testing {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using text_request = http::request<http::string_body>;
using text_response = http::response<http::string_body>;

/// What the fake does with the next call.
enum class script {
  kWhole,
  /// Closes in the middle of the stream.
  kCut,
  /// Sends the ids of another request.
  kForeignIds,
  /// Sends a part and then nothing more.
  kSilent,
  /// Reads the request and closes without an answer.
  kNoAnswer,
  kConflict,
};

/// A backend server on loopback: streams `t0 t1 ...` as an engine, echoes the body as a service.
class fake_backend {
 public:
  fake_backend();
  fake_backend(const fake_backend&) = delete;
  fake_backend& operator=(const fake_backend&) = delete;
  ~fake_backend();

  std::string address() const;
  /// Sets what happens to the next calls; all after them are answered whole.
  void SetScript(std::vector<script> next);
  /// The calls so far, without status and cancel calls.
  std::vector<text_request> Calls() const;
  std::size_t Cancelled() const;
  std::size_t Probes() const;
  /// Tokens whose events were written whole.
  std::uint64_t TokensWritten() const { return tokens_written_; }
  /// Length of the text of each token.
  void SetTokenSize(std::size_t size) { token_size_ = size; }

 private:
  void Accept();
  void Serve(const std::shared_ptr<tcp::socket>& socket);
  script TakeScript();
  void AnswerCall(tcp::socket& socket, const text_request& request);
  void Stream(tcp::socket& socket, const text_request& request, script kind);
  bool StreamTokens(tcp::socket& socket, const text_request& request, script kind);
  static void Write(tcp::socket& socket, http::status status, const std::string& body);

  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  std::vector<script> scripts_;
  std::vector<text_request> calls_;
  std::size_t cancelled_ = 0;
  std::size_t probes_ = 0;
  std::atomic<std::uint64_t> tokens_written_{0};
  std::atomic<std::size_t> token_size_{0};
  std::atomic<bool> ending_{false};
  std::set<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_thread_;
};

/// Text of token `index`, padded to `size`.
std::string TokenText(std::uint64_t index, std::size_t size = 0);

}  // namespace waxwingwing::testing
