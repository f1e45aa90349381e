#include "gateway/session.h"

#include "gateway/builtin_endpoints.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing {
namespace {

// Long enough to receive a body of the largest size over a slow network.
constexpr milliseconds kLingerTimeout{2000};

}  // namespace

session::session(gateway_core& core, worker& request_worker, const filter_chain& filters,
                 tcp::socket socket)
    : core_(core),
      request_worker_(request_worker),
      filters_(filters),
      caller_(std::make_shared<caller_connection>(std::move(socket), core.settings.max_header)) {
  request_worker_.Add(*caller_);
}

session::~session() {
  // The pending wait for the caller's disconnect keeps the connection alive, so it is closed here.
  caller_->Close();
  request_worker_.Remove(*caller_);
  core_.connections.fetch_sub(1);
}

awaitable<void> session::Run() {
  bool open = true;
  while (open) {
    open = co_await caller_->WaitForRequest(core_.settings.idle_timeout);
    if (open) open = co_await ServeRequest();
  }
  caller_->Close();
}

awaitable<bool> session::ServeRequest() {
  core_.running.fetch_add(1);
  const scope_guard ended([this] { core_.running.fetch_sub(1); });
  request_context context(core_, request_worker_, caller_);
  context.snapshot = request_worker_.Snapshot();
  const filter_step step = co_await limits_.Apply(context);
  if (step == filter_step::kNext) {
    caller_->Watch();
    co_await Answer(context);
    caller_->StopWatching();
  }
  if (context.answer_sent) co_return context.keep_alive && !caller_->gone();
  if (core_.shutting_down) context.keep_alive = false;
  const bool written = co_await caller_->WriteAnswer(
      context.answer, context.id.str(), context.keep_alive, core_.settings.caller_write_timeout);
  if (!written) co_return false;
  if (!context.parser.is_done()) co_await caller_->Linger(kLingerTimeout);
  co_return context.keep_alive && !caller_->gone();
}

awaitable<void> session::Answer(request_context& context) {
  const bool answered = co_await AnswerBuiltinEndpoint(context);
  if (!answered) co_await filters_.Apply(context);
}

}  // namespace waxwingwing
