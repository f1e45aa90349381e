#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gateway/session.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Accepts callers' connections on the first request thread and assigns them to all request threads
/// in turn.
class listener {
 public:
  listener(gateway_core& core, const filter_chain& filters,
           const std::vector<std::unique_ptr<worker>>& workers);

  /// Binds the configured address and returns the bound one. Call before the threads start.
  result<std::string> Open();
  /// Accepts until `Close`; runs on the first request thread.
  awaitable<void> Run();
  /// Accepts the connections that are already queued, then stops listening. Runs on the first
  /// request thread.
  void Close();

 private:
  void Serve(worker& request_worker, tcp::socket socket);
  worker& NextWorker();

  gateway_core& core_;
  const filter_chain& filters_;
  const std::vector<std::unique_ptr<worker>>& workers_;
  tcp::acceptor acceptor_;
  std::size_t next_ = 0;
};

}  // namespace waxwingwing
