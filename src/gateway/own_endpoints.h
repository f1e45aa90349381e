#pragma once

#include "gateway/request_context.h"
#include "waxwingwing/platform/coroutine.h"

namespace waxwingwing {

/// Answers the endpoints for the balancer and operators: health, metrics and administration.
///
/// False when the request is for another endpoint; the context then holds no answer.
awaitable<bool> AnswerOwnEndpoint(request_context& context);

}  // namespace waxwingwing
