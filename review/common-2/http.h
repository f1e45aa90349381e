#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "sockets.h"

namespace waxwingwing::review {

/// Header fields by their names in lower case.
using header_map = std::map<std::string, std::string>;

struct http_request {
  std::string method;
  std::string path;
  /// Parameters of the query, decoded.
  std::map<std::string, std::string> query;
  header_map headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct http_response {
  int status = 200;
  header_map headers;
  std::string body;
};

/// What a caller has seen of an answer.
struct http_answer {
  /// 0: no complete answer.
  int status = 0;
  header_map headers;
  std::string body;
};

/// Serves HTTP/1.1 on a free loopback port, one thread a connection.
class http_server {
 public:
  using handler = std::function<http_response(const http_request&)>;

  explicit http_server(handler serve);
  /// Closes the connections and waits for the calls that are under way.
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  const std::string& address() const { return listener_.address; }

 private:
  void Accept();
  void Serve(const descriptor& socket) const;

  const handler serve_;
  const listener listener_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<int> connections_;
  bool stopping_ = false;
  std::thread accepting_;
};

/// Sends one request on a connection of its own and reads the answer.
http_answer Call(const std::string& address, const std::string& method, const std::string& target,
                 const header_map& headers, const std::string& body, milliseconds limit);

}  // namespace waxwingwing::review
