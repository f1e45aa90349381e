#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gateway/session.h"
#include "waxwingwing/core/result.h"

namespace waxwingwing {

/// Accepts callers' connections on the first request thread and gives them to all in turn.
class listener {
 public:
  listener(gateway_core& core, const filter_chain& filters,
           const std::vector<std::unique_ptr<worker>>& workers);

  /// Binds the address; returns the one that is bound. Call before the threads run.
  result<std::string> Open();
  /// Accepts until `Close`; runs on the first request thread.
  awaitable<void> Run();
  /// Accepts what already waits, then refuses connections. Runs on the first request thread.
  void Close();

 private:
  void Serve(worker& home, tcp::socket socket);
  worker& NextWorker();

  gateway_core& core_;
  const filter_chain& filters_;
  const std::vector<std::unique_ptr<worker>>& workers_;
  tcp::acceptor acceptor_;
  std::size_t next_ = 0;
};

}  // namespace waxwingwing
