#pragma once

#include <optional>
#include <string>

#include "gateway/gateway_core.h"
#include "gateway/http_types.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Process identity that a backend server reports in its responses.
struct backend_identity {
  waxwingwing::incarnation incarnation;
  milliseconds uptime{0};
};

/// Sends `GET /v1/status` over a new connection. Empty when no valid response arrives in
/// the probe time-out.
awaitable<std::optional<backend_identity>> ProbeBackend(const asio::any_io_executor& executor,
                                                        const gateway_settings& settings,
                                                        const std::string& address);

/// Sends a cancellation of the attempt to the engine in the background.
void CancelAttempt(const asio::any_io_executor& executor, gateway_core& core,
                   const std::string& address, const attempt_id& attempt);

/// Reads the identity from response headers; empty when they carry none.
std::optional<backend_identity> ParseBackendIdentity(const http::fields& headers);

/// Reports the identity to the control thread if its incarnation differs from the routing snapshot.
void ReportIdentity(control_access& control, const backend_view& view,
                    const backend_identity& seen);

}  // namespace waxwingwing
