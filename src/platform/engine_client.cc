#include "waxwingwing/platform/engine_client.h"

#include <fmt/format.h>

#include <utility>

#include "waxwingwing/core/hash.h"
#include "waxwingwing/platform/json_fields.h"

namespace waxwingwing {
namespace {

using boost::asio::awaitable;

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kConflict = 409;
constexpr std::uint64_t kMaxUptimeMs = std::uint64_t{1} << 53U;

http_request PostRequest(std::string address, std::string target, std::string body,
                         milliseconds timeout) {
  http_request request;
  request.address = std::move(address);
  request.service = "backend";
  request.method = "POST";
  request.target = std::move(target);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = std::move(body);
  request.timeout = timeout;
  return request;
}

backend_state ParseState(json_fields& fields) {
  const std::string text = fields.Text("state");
  if (text == "loading") return backend_state::kLoading;
  if (text == "ready") return backend_state::kReady;
  if (text != "idle") fields.AddFinding("state", "must be idle, loading or ready");
  return backend_state::kIdle;
}

std::vector<vm_id> ParseMembers(json_fields& fields) {
  std::vector<vm_id> members;
  for (const nlohmann::json& member : fields.Array("members")) {
    if (!member.is_string()) fields.AddFinding("members", "must hold texts only");
    if (member.is_string()) members.emplace_back(member.get<std::string>());
  }
  return members;
}

std::optional<backend_assignment> ParseAssignment(json_fields& status, finding_list& findings) {
  if (!status.Has("assignment")) return std::nullopt;
  json_fields fields(status.Value("assignment"), status.FieldPath("assignment"), findings);
  backend_assignment assignment;
  assignment.replica = replica_id(fields.Text("replica"));
  assignment.model_group = model_group_id(fields.Text("model_group"));
  assignment.generation = generation(fields.Number("generation"));
  assignment.rank = static_cast<std::uint32_t>(fields.Number("rank", UINT32_MAX));
  assignment.members = ParseMembers(fields);
  if (assignment.rank >= assignment.members.size()) {
    fields.AddFinding("rank", "must be below the number of members");
  }
  return assignment;
}

void ParseLoad(json_fields& fields, backend_report& report) {
  report.running =
      request_count(static_cast<std::uint32_t>(fields.OptionalNumber("running", UINT32_MAX)));
  report.kv_tokens_used = token_count(fields.OptionalNumber("kv_tokens_used"));
  report.kv_tokens_limit = token_count(fields.OptionalNumber("kv_tokens_limit"));
  if (fields.Has("ms_per_token")) report.ms_per_token = fields.NonNegativeNumber("ms_per_token");
}

backend_report ParseReport(const nlohmann::json& body, finding_list& findings) {
  json_fields fields(body, "$", findings);
  backend_report report;
  report.vm = vm_id(fields.Text("vm"));
  report.incarnation = incarnation(fields.Number("incarnation"));
  report.sequence = fields.Number("uptime_ms", kMaxUptimeMs);
  report.uptime = milliseconds(static_cast<milliseconds::rep>(report.sequence));
  report.ready_for =
      milliseconds(static_cast<milliseconds::rep>(fields.OptionalNumber("ready_ms", kMaxUptimeMs)));
  report.state = ParseState(fields);
  report.checks_fencing = fields.Has("checks_fencing") && fields.Flag("checks_fencing");
  report.fencing = fencing_number(fields.OptionalNumber("fencing_number"));
  report.assignment = ParseAssignment(fields, findings);
  ParseLoad(fields, report);
  return report;
}

order_answer FailedOrder(order_state state, std::string reason) {
  return {state, std::nullopt, std::move(reason)};
}

nlohmann::json MembersOf(const replica_order& order) {
  nlohmann::json members = nlohmann::json::array();
  for (const replica_member& member : order.members) {
    members.push_back({{"vm", member.vm.str()}, {"address", member.address}});
  }
  return members;
}

}  // namespace

result<backend_report> ParseStatus(std::string_view text, const vm_id& expected_vm,
                                   const failure_domain_id& failure_domain, time_point taken_at) {
  const auto body = ParseJson(text);
  if (!body) return result<backend_report>::Failure("status: " + body.reason());
  finding_list findings;
  backend_report report = ParseReport(*body, findings);
  if (findings.empty() && report.vm != expected_vm) {
    findings.Add("$.vm", "another VM answers at the address of " + expected_vm.str());
  }
  if (!findings.empty()) {
    return result<backend_report>::Failure("status: " + findings.ToText());
  }
  report.failure_domain = failure_domain;
  report.taken_at = taken_at;
  return report;
}

std::string PrintOrder(const replica_order& order) {
  nlohmann::json body;
  body["fencing_number"] = order.fencing_number.get();
  body["kind"] = order.kind == order_kind::kAssign ? "assign" : "release";
  body["replica"] = order.replica.str();
  body["model_group"] = order.model_group.str();
  body["generation"] = order.generation.get();
  body["rank"] = order.rank;
  body["model"] = order.model;
  body["members"] = MembersOf(order);
  const std::string content = order.target.str() + PrintJson(body);
  body["order_id"] = fmt::format("{:016x}", StableHash(content));
  return PrintJson(body);
}

engine_client::engine_client(http_client& http, const runtime_clock& clock)
    : http_(http), clock_(clock) {}

awaitable<result<backend_report>> engine_client::Status(vm_entry vm, milliseconds timeout) {
  http_request request;
  request.address = vm.address;
  request.service = "backend";
  request.target = "/v1/status";
  request.timeout = timeout;
  const time_point sent_at = clock_.Now();
  const result<http_reply> reply = co_await http_.Send(std::move(request));
  if (!reply) co_return result<backend_report>::Failure(reply.reason());
  if (reply->status != kOk) {
    co_return result<backend_report>::Failure(fmt::format("status answered {}", reply->status));
  }
  co_return ParseStatus(reply->body, vm.id, vm.failure_domain, sent_at);
}

awaitable<order_answer> engine_client::SendOrder(replica_order order,
                                                 failure_domain_id failure_domain,
                                                 milliseconds timeout) {
  http_request request =
      PostRequest(order.target_address, "/v1/orders", PrintOrder(order), timeout);
  const time_point sent_at = clock_.Now();
  const result<http_reply> reply = co_await http_.Send(std::move(request));
  if (!reply) co_return FailedOrder(order_state::kFailed, reply.reason());
  if (reply->status == kConflict) {
    co_return FailedOrder(order_state::kStale, "the engine has seen a newer fencing number");
  }
  if (reply->status != kOk) {
    co_return FailedOrder(order_state::kFailed, fmt::format("order answered {}", reply->status));
  }
  auto report = ParseStatus(reply->body, order.target, failure_domain, sent_at);
  if (!report) co_return FailedOrder(order_state::kFailed, report.reason());
  co_return order_answer{order_state::kAccepted, *std::move(report), {}};
}

awaitable<result<bool>> engine_client::Cancel(std::string address, attempt_id attempt,
                                              milliseconds timeout) {
  nlohmann::json body;
  body["attempt_id"] = attempt.str();
  http_request request = PostRequest(std::move(address), "/v1/cancel", PrintJson(body), timeout);
  const result<http_reply> reply = co_await http_.Send(std::move(request));
  if (!reply) co_return result<bool>::Failure(reply.reason());
  const bool cancelled = reply->status == kOk;
  if (cancelled || reply->status == kNotFound) co_return cancelled;
  co_return result<bool>::Failure(fmt::format("cancel answered {}", reply->status));
}

}  // namespace waxwingwing
