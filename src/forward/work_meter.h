#pragma once

#include <cstddef>
#include <optional>

#include "forward/forward_core.h"
#include "waxwingwing/work/engine_profile.h"
#include "waxwingwing/work/server_backlog.h"

namespace waxwingwing {

/// Expected work of a request at the server to which it is sent.
struct exchange_work {
  engine_profile engine;
  request_cost cost;
  fractional_milliseconds expected_first_event{0};
};

/// Keeps the backlog of a server up to date with the progress of one request, and compares what was
/// expected with what is observed.
class work_meter {
 public:
  work_meter(forward_core& core, const dispatch_candidate& server,
             const std::optional<exchange_work>& work, time_point now);

  /// Records events of the request's stream that arrived together.
  void OnEvents(std::size_t events, time_point now);
  /// Records the end of the request; call it once.
  void End();

 private:
  void RecordFirstEvent(time_point now);
  void RecordStepTime(std::size_t events, time_point now);
  server_load& load() { return core_.selection.LoadOf(server_.server); }

  forward_core& core_;
  const dispatch_candidate& server_;
  /// Null when the cost of the request is not known.
  const exchange_work* work_;
  const time_point sent_at_;
  std::optional<time_point> last_event_at_;
  request_progress progress_;
};

}  // namespace waxwingwing
