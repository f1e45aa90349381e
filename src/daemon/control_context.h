#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <vector>

#include "waxwingwing/control/control_state.h"
#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/ids.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/daemon/settings.h"
#include "waxwingwing/membership/peer_table.h"
#include "waxwingwing/membership/report_table.h"
#include "waxwingwing/membership/vm_entry.h"
#include "waxwingwing/metrics/metrics_registry.h"
#include "waxwingwing/platform/http_client.h"

namespace waxwingwing {

/// State that the controllers share. Used on the control thread only.
struct control_context {
  control_context(const daemon_settings& settings, const runtime_clock& clock,
                  metrics_registry& metrics)
      : settings(settings),
        clock(clock),
        metrics(metrics),
        random(random_source::FromDevice()),
        own_incarnation(random.Next() >> 1U),
        peers(settings.vm, settings.failure_domain) {}
  control_context(const control_context&) = delete;
  control_context& operator=(const control_context&) = delete;

  const daemon_settings settings;
  const runtime_clock& clock;
  metrics_registry& metrics;
  random_source random;
  const incarnation own_incarnation;

  boost::asio::io_context io{1};
  http_client http{&metrics};
  control_state state;
  report_table reports;
  peer_table peers;
  std::vector<vm_entry> vms;
  /// When the log, the VM list or a peer outside this node's failure domain was last heard from.
  time_point platform_contact_at{};
  /// Time up to which the control state is known to be current: when the latest successful read or
  /// fetch of the control stream was sent.
  time_point control_contact_at{};
  bool draining = false;
  /// Replicas of each failure domain that its lease holder will release; they get no new requests.
  std::map<failure_domain_id, std::vector<replica_id>> draining_replicas;
};

}  // namespace waxwingwing
