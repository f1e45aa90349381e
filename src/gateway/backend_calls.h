#pragma once

#include <optional>
#include <string>

#include "gateway/gateway_core.h"
#include "gateway/http_types.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// What a backend server says of itself in an answer.
struct backend_identity {
  waxwingwing::incarnation incarnation;
  milliseconds uptime{0};
};

/// Asks `GET /v1/status` over a new connection; nothing when no answer came in the probe time-out.
awaitable<std::optional<backend_identity>> ProbeBackend(const asio::any_io_executor& executor,
                                                        const gateway_settings& settings,
                                                        const std::string& address);

/// Tells the engine that an attempt is abandoned, without waiting for the answer.
void CancelAttempt(const asio::any_io_executor& executor, gateway_core& core,
                   const std::string& address, const attempt_id& attempt);

/// The identity in the headers of a response; nothing when it carries none.
std::optional<backend_identity> IdentityIn(const http::fields& headers);

/// Reports an identity that differs from the one in the routing snapshot.
void ReportIdentity(control_access& control, const backend_view& view,
                    const backend_identity& seen);

}  // namespace waxwingwing
