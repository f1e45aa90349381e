#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "stand_ins/proxy_connection.h"
#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `proxy`: forwards TCP connections to `--target` and disturbs them on demand.
///
/// Faults: `delay_ms` (in each direction), `cut` (bool: closes all connections and refuses new
/// ones), `freeze_to_target` and `freeze_from_target` (bool: accepts bytes and forwards none,
/// without closing; forwards them when the fault is cleared, even if the caller has disconnected in
/// the meantime), `silence_open` (true: the connections that are open at this time forward nothing
/// from then on, new ones work), `refuse_process` and `hang_process` (process id, 0 for none: the
/// connections of that process, open and new ones, are reset, or forward nothing) and
/// `drop_answers` (count: closes the connection when the first byte of an answer arrives).
class proxy final : public stand_in {
 public:
  explicit proxy(asio::io_context& context);

  /// Address at which the proxy accepts the connections that it forwards.
  std::string address() const { return ToAddress(acceptor_.local_endpoint()); }

 private:
  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;

  awaitable<void> Accept();
  awaitable<void> Forward(tcp::socket accepted);
  void CloseAll();
  /// Applies `refuse_process` and `hang_process` to the open connections.
  void DisturbProcess();

  tcp::acceptor acceptor_;
  proxy_faults faults_;
  std::set<std::shared_ptr<proxy_connection>> connections_;
  std::int64_t refused_process_ = 0;
  std::int64_t hung_process_ = 0;
};

}  // namespace waxwingwing::stand_ins
