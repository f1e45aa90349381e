#include "tests/integration/serving_deployment.h"

#include <algorithm>
#include <stdexcept>

#include "stand_ins/answer_tokens.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {

using nlohmann::json;

namespace {

bool AllWarm(const json& status, std::size_t replicas) {
  const auto& groups = status.at("configuration").at("model_groups");
  std::size_t warm = 0;
  for (const json& replica : status.at("replicas")) {
    if (!replica.at("serving").get<bool>()) continue;
    for (const json& group : groups) {
      if (group.at("id") != replica.at("model_group")) continue;
      if (replica.at("request_limit") == group.at("max_requests")) ++warm;
    }
  }
  return warm >= replicas;
}

}  // namespace

deployment_settings ThreeDomains(std::size_t engines, std::size_t entry_vms) {
  deployment_settings settings;
  for (const char* id : {"abeokuta", "ifo", "sagamu"}) {
    domain_settings domain;
    domain.id = id;
    domain.region = "ogun-west";
    domain.engines = engines;
    domain.services = 1;
    domain.entry_vms = entry_vms;
    settings.domains.push_back(domain);
  }
  settings.engine_flags = {"--load_bytes=1000000", "--ms_per_token=2", "--warm_up_ms=1000"};
  settings.weight_store_flags = {"--bytes_per_second=50000000"};
  settings.entry_flags = {"--drain_grace_ms=500"};
  return settings;
}

json NoteWithModelGroup(const deployment& running, const std::string& note_id,
                        const json& overrides) {
  json note = running.BaseReleaseNote(note_id);
  json domains = json::array();
  for (const json& domain : note.at("add").at("failure_domains")) domains.push_back(domain["id"]);
  json group = {{"id", "orders"},     {"model", "m1"},        {"failure_domains", domains},
                {"replicas", 2},      {"vms_per_replica", 2}, {"spares", 0},
                {"priority", 1},      {"max_requests", 16},   {"cold_requests", 2},
                {"warm_up_ms", 1000}, {"kv_tokens", 65536}};
  if (!overrides.is_null()) group.update(overrides);
  note["add"]["model_groups"] = json::array({group});
  return note;
}

void StartServing(deployment& running, const json& note, std::size_t replicas, bool warm) {
  http_answer answer;
  const bool applied = WaitFor(
      [&] {
        answer = running.ApplyReleaseNote(note);
        return answer.status == 200;
      },
      kStartBound);
  if (!applied) throw std::runtime_error("release note not applied: " + answer.body);
  if (answer.Json().at("state") != "accepted") throw std::runtime_error(answer.body);
  const auto entries = running.VmIds("entry");
  const bool serving = WaitFor(
      [&] {
        return std::all_of(entries.begin(), entries.end(), [&](const std::string& id) {
          if (ServingReplicas(running, id) < replicas) return false;
          return !warm || AllWarm(StatusOf(running, id), replicas);
        });
      },
      kStartBound);
  if (!serving) {
    throw std::runtime_error("not serving in time: " + StatusOf(running, entries.at(0)).dump(1));
  }
}

json StatusOf(deployment& running, const std::string& entry_vm) {
  return http_client(running.CallerAddress(entry_vm)).Get("/v1/admin/status").Json();
}

std::size_t ServingReplicas(deployment& running, const std::string& entry_vm) {
  const json status = StatusOf(running, entry_vm);
  const json& replicas = status.at("replicas");
  return static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(),
                    [](const json& replica) { return replica.at("serving").get<bool>(); }));
}

json ChatBody(const std::string& text, std::uint64_t max_tokens, bool stream) {
  return {{"model", "orders"},
          {"messages", json::array({{{"role", "user"}, {"content", text}}})},
          {"max_tokens", max_tokens},
          {"stream", stream}};
}

header_list CallerHeaders(const std::string& organisation) {
  return {{"X-Organisation", organisation}};
}

stream_answer Chat(deployment& running, const std::string& entry_vm, const std::string& text,
                   std::uint64_t max_tokens) {
  event_stream stream(running.CallerAddress(entry_vm), "/v1/chat/completions", CallerHeaders(),
                      ChatBody(text, max_tokens));
  return stream.ReadAll();
}

std::vector<std::string> ExpectedTokens(const std::string& text, std::uint64_t count) {
  std::vector<std::string> tokens;
  for (std::uint64_t index = 0; index < count; ++index) {
    tokens.push_back(stand_ins::AnswerToken(text, index));
  }
  return tokens;
}

bool IsWhole(const stream_answer& answer, const std::string& text, std::uint64_t count) {
  return answer.done && answer.tokens == ExpectedTokens(text, count);
}

result<http_answer> CallDesk(deployment& running, const std::string& entry_vm,
                             const std::string& key, const std::string& body) {
  http_call call;
  call.method = "POST";
  call.path = "/v1/services/desk/confirmations";
  call.headers = {
      {"X-Organisation", "acme"}, {"Idempotency-Key", key}, {"Content-Type", "application/json"}};
  call.body = body;
  return http_client(running.CallerAddress(entry_vm)).Send(call);
}

}  // namespace waxwingwing::integration
