#pragma once

#include "gateway/request_context.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Answers requests of operators and of the load balancer in front of the entry VMs: health,
/// metrics and administration.
///
/// Returns false when the request is for another endpoint; the context then holds no answer.
awaitable<bool> AnswerBuiltinEndpoint(request_context& context);

}  // namespace waxwingwing
