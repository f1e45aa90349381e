#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/platform/http_client.h"

namespace waxwingwing {

/// The HTTP status and the JSON object of an entry VM's response.
struct admin_reply {
  std::uint32_t status = 0;
  nlohmann::json body;
};

/// Blocking client of the administrative endpoints. Tries the entry VMs in order until one responds
/// with a JSON object and no server error. Not thread-safe.
class admin_client {
 public:
  /// No request lasts beyond `deadline`. Errors of single entry VMs are printed to `err`, which
  /// must outlive the client.
  admin_client(std::vector<std::string> addresses, time_point deadline, std::ostream& err);
  admin_client(const admin_client&) = delete;
  admin_client& operator=(const admin_client&) = delete;

  /// Returns the first usable response, else the last server error, else nothing.
  std::optional<admin_reply> SendRequest(const std::string& method, const std::string& target,
                                         const std::string& body = {});
  bool DeadlinePassed() const;
  /// Blocks for one poll interval.
  void WaitPollInterval() const;

 private:
  std::optional<admin_reply> RequestFrom(const std::string& address, const std::string& method,
                                         const std::string& target, const std::string& body);
  void PrintErrorOnce(const std::string& error);

  boost::asio::io_context context_;
  // Declared after `context_`, which the client's idle connections use when they are closed.
  http_client http_;
  std::vector<std::string> addresses_;
  time_point deadline_;
  std::ostream& err_;
  /// Errors that were printed once and are not printed again when polling repeats them.
  std::set<std::string> printed_errors_;
};

}  // namespace waxwingwing
