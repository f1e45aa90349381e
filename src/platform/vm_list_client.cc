#include "waxwingwing/platform/vm_list_client.h"

#include <fmt/format.h>

#include <optional>
#include <set>
#include <utility>

#include "waxwingwing/platform/ip_endpoint.h"
#include "waxwingwing/platform/json_fields.h"

namespace waxwingwing {
namespace {

constexpr std::uint32_t kOk = 200;
// 3,100 runners at the target size take about 0.8 MiB of rows.
constexpr byte_count kMaxListBytes{std::uint64_t{8} << 20U};

vm_role ParseRole(json_fields& fields) {
  const std::string text = fields.Text("role");
  if (text == "entry") return vm_role::kEntry;
  if (text == "service") return vm_role::kService;
  if (text != "engine") fields.AddFinding("role", "must be engine, entry or service");
  return vm_role::kEngine;
}

vm_state ParseState(json_fields& fields) {
  const std::string text = fields.Text("state");
  if (text == "leaving") return vm_state::kLeaving;
  if (text != "live") fields.AddFinding("state", "must be live or leaving");
  return vm_state::kLive;
}

vm_entry ParseFields(json_fields& fields) {
  vm_entry entry;
  entry.id = vm_id(fields.Text("id"));
  entry.role = ParseRole(fields);
  entry.service = service_id(fields.OptionalText("service"));
  entry.failure_domain = failure_domain_id(fields.Text("failure_domain"));
  entry.fabric_domain = fabric_domain_id(fields.OptionalText("fabric_domain"));
  entry.address = fields.Text("address");
  entry.accelerators =
      static_cast<std::uint32_t>(fields.OptionalNumber("accelerators", UINT32_MAX));
  entry.state = ParseState(fields);
  return entry;
}

/// Parses a row; returns no entry when the row is invalid.
std::optional<vm_entry> ParseRow(const nlohmann::json& row, const std::string& place,
                                 finding_list& faults) {
  finding_list row_faults;
  json_fields fields(row, place, row_faults);
  vm_entry entry = ParseFields(fields);
  if (entry.role == vm_role::kService && entry.service.empty()) {
    fields.AddFinding("service", "must name the service");
  }
  const auto endpoint = ParseIpEndpoint(entry.address);
  if (!endpoint) fields.AddFinding("address", endpoint.reason());
  for (const finding& fault : row_faults.all()) faults.Add(fault.place, fault.message);
  if (!row_faults.empty()) return std::nullopt;
  return entry;
}

}  // namespace

result<vm_list> ParseVmList(std::string_view text) {
  const auto body = ParseJson(text);
  if (!body) return result<vm_list>::Failure("VM list: " + body.reason());
  finding_list findings;
  json_fields fields(*body, "$", findings);
  const nlohmann::json& rows = fields.Array("vms");
  if (!findings.empty()) return result<vm_list>::Failure("VM list: " + findings.ToText());

  vm_list list;
  std::set<vm_id> seen;
  std::size_t index = 0;
  for (const nlohmann::json& row : rows) {
    const std::string place = fmt::format("$.vms[{}]", index++);
    auto entry = ParseRow(row, place, list.faults);
    if (!entry) continue;
    if (!seen.insert(entry->id).second) {
      list.faults.Add(place + ".id", "occurs twice");
      continue;
    }
    list.entries.push_back(*std::move(entry));
  }
  return list;
}

vm_list_client::vm_list_client(http_client& http, std::string address, milliseconds timeout)
    : http_(http), address_(std::move(address)), timeout_(timeout) {}

boost::asio::awaitable<result<vm_list>> vm_list_client::Read() {
  http_request request;
  request.address = address_;
  request.service = "vm_list";
  request.target = "/v1/vms";
  request.timeout = timeout_;
  request.body_limit = kMaxListBytes;
  const result<http_reply> reply = co_await http_.Send(std::move(request));
  if (!reply) co_return result<vm_list>::Failure(reply.reason());
  if (reply->status != kOk) {
    co_return result<vm_list>::Failure(fmt::format("the VM list answered {}", reply->status));
  }
  co_return ParseVmList(reply->body);
}

}  // namespace waxwingwing
