#pragma once

#include <memory>

#include "gateway/filter_chain.h"
#include "gateway/limits_filter.h"

namespace waxwingwing {

/// Serves the requests of one caller connection in sequence.
class session {
 public:
  session(gateway_core& core, worker& request_worker, const filter_chain& filters,
          tcp::socket socket);
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  ~session();

  /// Runs until the connection ends.
  awaitable<void> Run();

 private:
  /// Returns true when the connection stays open.
  awaitable<bool> ServeRequest();
  awaitable<void> Answer(request_context& context);

  gateway_core& core_;
  worker& request_worker_;
  const filter_chain& filters_;
  std::shared_ptr<caller_connection> caller_;
  limits_filter limits_;
};

}  // namespace waxwingwing
