#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "daemon/control_context.h"
#include "daemon/log_controller.h"

namespace waxwingwing {

/// Claims a roster slot of this node's failure domain, which entitles the node to a static share of
/// each limit. A slot is taken from another VM only when that VM has left the VM list. Runs on the
/// control thread.
class roster_controller {
 public:
  roster_controller(control_context& context, log_controller& log, std::string peer_address);

  void Start();
  /// Releases the slot; call when no request is running any more.
  boost::asio::awaitable<void> Release();

  /// The slot that this VM owns according to the log.
  std::optional<std::uint32_t> OwnSlot() const;

 private:
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<void> Tick();
  std::optional<roster_record> NextClaim(time_point now);
  bool MayTakeSlot(const roster_slot& slot, time_point now);
  const domain_roster* OwnRoster() const;
  /// Whether the log names this incarnation as the owner of the slot.
  bool IsRecorded() const;

  control_context& context_;
  log_controller& log_;
  const std::string peer_address_;
  bool releasing_ = false;
  /// Since when each slot owner that is not on the VM list has been missing.
  std::map<vm_id, time_point> missing_since_;
};

}  // namespace waxwingwing
