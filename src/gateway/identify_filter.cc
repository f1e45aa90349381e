#include "gateway/identify_filter.h"

#include <charconv>
#include <chrono>

#include "gateway/chat_request.h"
#include "waxwingwing/core/hash.h"

namespace waxwingwing {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/v1/services/";

bool SetDeadline(request_context& context) {
  const gateway_settings& settings = context.core.settings;
  milliseconds wait = settings.default_deadline;
  const std::string_view text = context.Header("X-Deadline-Ms");
  if (!text.empty()) {
    milliseconds::rep value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0) return false;
    wait = std::min(milliseconds(value), settings.max_deadline);
  }
  context.deadline = context.arrived + wait;
  return true;
}

bool FindOrganisation(request_context& context) {
  const organisation_id id{std::string(context.Header("X-Organisation"))};
  const auto& organisations = context.snapshot->configuration.organisations;
  const auto found = organisations.find(id);
  if (found == organisations.end()) return false;
  context.organisation = &found->second.value;
  return true;
}

bool FindModelGroup(request_context& context, const std::string& model) {
  const auto& groups = context.snapshot->configuration.model_groups;
  const auto found = groups.find(model_group_id(model));
  if (found == groups.end()) return false;
  context.model_group = &found->second.value;
  context.group = context.core.groups.Find(dispatch_group::kind::kModelGroup, model);
  return true;
}

filter_step IdentifyChat(request_context& context) {
  if (context.parser.get().method() != http::verb::post) {
    context.Refuse({"method_not_allowed", "use POST"});
    return filter_step::kAnswered;
  }
  auto parsed =
      ParseChatRequest(context.parser.get().body(), context.core.settings.affinity_prefix);
  if (!parsed) {
    context.Refuse({"malformed_body", parsed.reason()});
    return filter_step::kAnswered;
  }
  if (!FindModelGroup(context, parsed->model)) {
    context.Refuse({"unknown_model", "there is no model group with this id"});
    return filter_step::kAnswered;
  }
  if (parsed->max_tokens > kMaxAnswerTokens || parsed->kv_cost > context.model_group->kv_tokens) {
    context.Refuse({"request_too_large", "prompt and max_tokens exceed what a replica can hold"});
    return filter_step::kAnswered;
  }
  context.stream = parsed->stream;
  context.placement_input.kv_cost = parsed->kv_cost;
  context.placement_input.prefix_hash = parsed->prefix_hash;
  context.engine_body = std::move(parsed->engine_body);
  // Frees the original body, which can be 1 MiB, since only `engine_body` is sent.
  std::string().swap(context.parser.get().body());
  context.core.metrics.CountRequest(context.organisation->id, "model", parsed->model);
  return filter_step::kNext;
}

filter_step IdentifyService(request_context& context, std::string_view rest) {
  const std::size_t end = rest.find_first_of("/?");
  const std::string name(rest.substr(0, end));
  const auto& services = context.snapshot->configuration.services;
  const auto found = services.find(service_id(name));
  if (found == services.end()) {
    context.Refuse({"unknown_service", "there is no service with this id"});
    return filter_step::kAnswered;
  }
  context.service = &found->second.value;
  context.earlier_call_may_have_run =
      context.earlier_call_may_have_run && !context.service->repeatable;
  context.group = context.core.groups.Find(dispatch_group::kind::kService, name);
  // Service calls have no prompt prefix to share, so a random hash spreads them.
  context.placement_input.prefix_hash = StableHash(context.id.str());
  std::string target;
  if (end != std::string_view::npos) target = rest.substr(end);
  if (target.empty() || target.front() != '/') target.insert(target.begin(), '/');
  context.service_target = std::move(target);
  context.core.metrics.CountRequest(context.organisation->id, "service", name);
  return filter_step::kNext;
}

}  // namespace

awaitable<filter_step> identify_filter::Apply(request_context& context) const {
  const std::string_view target = context.parser.get().target();
  const bool is_service = target.starts_with(kServicePrefix);
  context.earlier_call_may_have_run = is_service && !context.Header("Idempotency-Key").empty();
  if (!context.snapshot->has_configuration) {
    context.Refuse({"no_configuration", "no configuration has arrived yet",
                    execution_status::kNotRun, milliseconds(1000)});
    co_return filter_step::kAnswered;
  }
  if (!FindOrganisation(context)) {
    context.Refuse({"unknown_organisation", "X-Organisation does not name an organisation"});
    co_return filter_step::kAnswered;
  }
  if (!SetDeadline(context)) {
    context.Refuse({"malformed_header", "X-Deadline-Ms must be a number of milliseconds"});
    co_return filter_step::kAnswered;
  }
  if (is_service) co_return IdentifyService(context, target.substr(kServicePrefix.size()));
  if (target.substr(0, target.find('?')) == kChatPath) co_return IdentifyChat(context);
  context.Refuse({"not_found", "there is no such endpoint"});
  co_return filter_step::kAnswered;
}

}  // namespace waxwingwing
