#include "gateway/builtin_endpoints.h"

#include <chrono>

#include "gateway/callback_wait.h"

namespace waxwingwing {
namespace {

constexpr std::string_view kAdminPrefix = "/v1/admin/";
constexpr std::string_view kNotes = "/v1/admin/release_notes";
// A release note is answered only when it is stored in the log, which may be slow.
constexpr milliseconds kControlTimeout{30000};

void AnswerText(request_context& context, unsigned status, std::string text) {
  context.answer.status = status;
  context.answer.content_type = "text/plain; version=0.0.4";
  context.answer.body = std::move(text);
}

void AnswerReady(request_context& context) {
  const bool ready = context.snapshot->ready && !context.core.shutting_down;
  AnswerText(context, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

void AnswerMetrics(request_context& context) {
  gateway_core& core = context.core;
  core.accounts.Export(core.metrics);
  core.metrics.connections().Set(core.connections);
  core.metrics.running().Set(core.running);
  AnswerText(context, 200, core.metrics.ToText());
}

/// Passes an administrative request to the control thread; false when no such endpoint exists.
bool StartAdmin(request_context& context, std::string_view path,
                std::function<void(admin_answer)> done) {
  control_access& control = context.core.control;
  auto& request = context.parser.get();
  const bool get = request.method() == http::verb::get;
  const std::string notes_prefix = std::string(kNotes) + "/";
  if (path == "/v1/admin/status" && get) {
    control.GetStatus(std::move(done));
  } else if (path == kNotes && request.method() == http::verb::post) {
    control.SubmitReleaseNote(std::move(request.body()), std::move(done));
  } else if (path.starts_with(notes_prefix) && get) {
    std::string name(path.substr(notes_prefix.size()));
    const note_id note(std::move(name));
    control.GetReleaseNote(note, std::move(done));
  } else {
    return false;
  }
  return true;
}

awaitable<void> AnswerAdmin(request_context& context, std::string_view path) {
  callback_wait<admin_answer> wait(context.executor(), context.request_worker.worker_mailbox());
  if (!StartAdmin(context, path, wait.Callback())) {
    context.Refuse({"not_found", "there is no such administrative endpoint"});
    co_return;
  }
  const time_point deadline = std::chrono::steady_clock::now() + kControlTimeout;
  const auto answer = co_await wait.WaitUntil(deadline);
  if (!answer) {
    context.Refuse({"control_unavailable", "the control thread did not answer in time",
                    execution_status::kUnknown});
    co_return;
  }
  context.answer.status = answer->status;
  context.answer.body = answer->json;
}

}  // namespace

awaitable<bool> AnswerBuiltinEndpoint(request_context& context) {
  const std::string target(context.parser.get().target());
  const std::string_view whole = target;
  const std::string_view path = whole.substr(0, whole.find('?'));
  if (path == "/healthz") {
    AnswerText(context, 200, "alive\n");
  } else if (path == "/readyz") {
    AnswerReady(context);
  } else if (path == "/metrics") {
    AnswerMetrics(context);
  } else if (path.starts_with(kAdminPrefix)) {
    co_await AnswerAdmin(context, path);
  } else {
    co_return false;
  }
  co_return true;
}

}  // namespace waxwingwing
