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
  /// Continues with the oldest record that is left, or looks up the end of the stream anew.
  void SkipDeleted(const store_page& page);

  entry_context& entry_;
  store_client& store_;
  const std::function<bool()> is_controller_;
  const std::function<void(const server_group_id&)> on_stall_;
  std::map<server_group_id, time_point> reported_;
  /// Where the next read begins; none until the end of the stream is known.
  std::optional<store_position> position_;
  /// Offset from which the end of the stream is looked up; no earlier record is left.
  std::uint64_t oldest_ = 0;
};

}  // namespace waxwingwing
