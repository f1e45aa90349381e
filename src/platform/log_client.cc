#include "waxwingwing/platform/log_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "waxwingwing/platform/json_fields.h"
#include "waxwingwing/platform/request_target.h"

namespace waxwingwing {
namespace {

using boost::asio::awaitable;

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kGone = 410;
constexpr std::uint32_t kUnavailable = 503;
// Holds a page of records and the largest snapshot expected at the target size.
constexpr byte_count kMaxPageBytes{std::uint64_t{16} << 20U};

request_target RecordsTarget(const std::string& stream) {
  return request_target("/v1/streams").Segment(stream).Segment("records");
}

read_answer FailedRead(std::string reason) {
  read_answer answer;
  answer.reason = std::move(reason);
  return answer;
}

append_answer FailedAppend(append_state state, std::string reason) {
  return {state, log_offset(), std::move(reason)};
}

read_answer ParseTrimmed(const nlohmann::json& body) {
  finding_list findings;
  json_fields fields(body, "$", findings);
  read_answer answer;
  answer.first_offset = log_offset(fields.Number("first_offset"));
  if (!findings.empty()) return FailedRead("malformed log answer: " + findings.ToText());
  answer.state = read_state::kTrimmed;
  return answer;
}

stream_record ParseRecord(const nlohmann::json& row, const std::string& place,
                          finding_list& findings) {
  json_fields fields(row, place, findings);
  stream_record record;
  record.offset = log_offset(fields.Number("offset"));
  // A record that another writer appended without an id must not block the reader.
  record.append_id = append_id(fields.OptionalText("append_id"));
  if (row.is_object() && !row.contains("payload")) fields.AddFinding("payload", "is missing");
  record.payload = PrintJson(fields.Value("payload"));
  return record;
}

read_answer ParsePage(const nlohmann::json& body, log_offset from) {
  finding_list findings;
  json_fields fields(body, "$", findings);
  stream_page page;
  page.first_offset = log_offset(fields.Number("first_offset"));
  page.next_offset = log_offset(fields.Number("next_offset"));
  log_offset lowest = std::max(from, page.first_offset);
  for (const nlohmann::json& row : fields.Array("records")) {
    const std::string place = fmt::format("$.records[{}]", page.records.size());
    stream_record record = ParseRecord(row, place, findings);
    if (record.offset < lowest || record.offset >= page.next_offset) {
      findings.Add(place + ".offset", "is out of order or outside the page");
    }
    if (!findings.empty()) break;
    lowest = record.offset.Next();
    page.records.push_back(std::move(record));
  }
  if (page.next_offset < page.first_offset) {
    findings.Add("$.next_offset", "lies before first_offset");
  }
  if (!findings.empty()) return FailedRead("malformed log answer: " + findings.ToText());
  read_answer answer;
  answer.state = read_state::kPage;
  answer.page = std::move(page);
  return answer;
}

}  // namespace

append_answer ParseAppendAnswer(const http_exchange& exchange) {
  if (!exchange.reply) {
    const auto state = exchange.not_sent ? append_state::kNotAppended : append_state::kUnknown;
    return FailedAppend(state, exchange.reply.reason());
  }
  const http_reply& reply = *exchange.reply;
  if (reply.status == kUnavailable) {
    return FailedAppend(append_state::kNotAppended, "the log answered 503");
  }
  if (reply.status != kOk) {
    return FailedAppend(append_state::kUnknown, fmt::format("the log answered {}", reply.status));
  }
  const auto body = ParseJson(reply.body);
  if (!body) return FailedAppend(append_state::kUnknown, body.reason());
  finding_list findings;
  json_fields fields(*body, "$", findings);
  const log_offset offset(fields.Number("offset"));
  if (!findings.empty()) {
    return FailedAppend(append_state::kUnknown, "malformed log answer: " + findings.ToText());
  }
  return {append_state::kAppended, offset, {}};
}

read_answer ParseReadAnswer(const http_reply& reply, log_offset from) {
  if (reply.status != kOk && reply.status != kGone) {
    return FailedRead(fmt::format("the log answered {}", reply.status));
  }
  const auto body = ParseJson(reply.body);
  if (!body) return FailedRead(body.reason());
  return reply.status == kGone ? ParseTrimmed(*body) : ParsePage(*body, from);
}

log_client::log_client(http_client& http, std::string address, milliseconds timeout)
    : http_(http), address_(std::move(address)), timeout_(timeout) {}

awaitable<append_answer> log_client::Append(std::string stream, append_id id, std::string payload) {
  auto value = ParseJson(payload);
  if (!value) co_return FailedAppend(append_state::kNotAppended, "payload: " + value.reason());
  nlohmann::json body;
  body["append_id"] = id.str();
  body["payload"] = std::move(*value);

  http_request request;
  request.address = address_;
  request.service = "log";
  request.method = "POST";
  request.target = RecordsTarget(stream).str();
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = PrintJson(body);
  request.timeout = timeout_;
  const http_exchange exchange = co_await http_.Exchange(std::move(request));
  co_return ParseAppendAnswer(exchange);
}

awaitable<read_answer> log_client::Read(std::string stream, stream_range range) {
  http_request request;
  request.address = address_;
  request.service = "log";
  request.target =
      RecordsTarget(stream)
          .Parameter("from", range.from.get())
          .Parameter("limit", range.limit)
          .Parameter("wait_ms",
                     static_cast<std::uint64_t>(std::max(range.wait, milliseconds(0)).count()))
          .str();
  request.timeout = timeout_ + range.wait;
  request.body_limit = kMaxPageBytes;
  const result<http_reply> reply = co_await http_.Send(std::move(request));
  if (!reply) co_return FailedRead(reply.reason());
  co_return ParseReadAnswer(*reply, range.from);
}

}  // namespace waxwingwing
