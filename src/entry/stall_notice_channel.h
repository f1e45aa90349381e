#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "entry/entry_state.h"
#include "platform/store_client.h"
#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// Reports groups whose streams have stalled to the controller through the store, the fallback when
/// there is no direct link. Use from one thread.
class stall_notice_channel {
 public:
  stall_notice_channel(entry_context& entry, store_client& store,
                       std::function<bool()> is_controller,
                       std::function<void(const server_group_id&)> on_stall);

  /// Reads the notices of other VMs while this VM is the controller.
  awaitable<void> Run();
  /// Reports that the streams of a group have stalled on this VM; limits repeated reports.
  void Report(const server_group_id& group);

 private:
  awaitable<void> Send(server_group_id group);

  entry_context& entry_;
  store_client& store_;
  const std::function<bool()> is_controller_;
  const std::function<void(const server_group_id&)> on_stall_;
  std::map<server_group_id, time_point> reported_;
  std::optional<store_position> position_;
};

}  // namespace waxwingwing
