#include "stand_ins/model_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <utility>

#include "stand_ins/flags.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr milliseconds kJoinTime{60};
constexpr milliseconds kOpenTime{40};
constexpr milliseconds kHeartbeatInterval{300};
constexpr milliseconds kEventInterval{20};
/// Exit code after a crash.
constexpr int kCrashed = 70;
/// Size, in bytes, from which on bytes that are written again and again are sent.
constexpr std::size_t kEndlessWriteSize = 16384;

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

/// Replaces each `{id}` in `text`.
std::string WithId(std::string text, const std::string& id) {
  static const std::string kPlaceholder = "{id}";
  std::size_t position = 0;
  while ((position = text.find(kPlaceholder, position)) != std::string::npos) {
    text.replace(position, kPlaceholder.size(), id);
    position += id.size();
  }
  return text;
}

std::string CopyOfRefusal(unsigned status, const header_list& headers) {
  std::string bytes = fmt::format("HTTP/1.1 {} Refused\r\n", status);
  for (const auto& [name, value] : headers) bytes += fmt::format("{}: {}\r\n", name, value);
  return bytes + "Content-Length: 2\r\n\r\n{}";
}

/// Encodes a keyed record for an append to the store: length (4 bytes, big-endian), key length (1
/// byte), key and value.
std::string KeyedRecord(const std::string& key, const std::string& value) {
  const std::string content = static_cast<char>(key.size()) + key + value;
  std::string record;
  for (int shift = 24; shift >= 0; shift -= 8) {
    record += static_cast<char>(content.size() >> static_cast<unsigned>(shift) & 0xffU);
  }
  return record + content;
}

awaitable<bool> WriteEvent(http_exchange& exchange, std::string event, bool framed) {
  if (framed) return exchange.WriteChunk(event);
  return exchange.WriteBytes(std::move(event));
}

awaitable<void> AppendToStore(std::string record) {
  tcp::socket socket(EventLoop());
  error_code error;
  co_await socket.async_connect(ParseEndpoint(FLAGS_store_address),
                                asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  http_request request(http::verb::post, "/v1/log-append?topic=keyed.servers&part=0", 11);
  request.set(http::field::host, FLAGS_store_address);
  request.body() = std::move(record);
  request.prepare_payload();
  co_await http::async_write(socket, request, asio::redirect_error(asio::use_awaitable, error));
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (!error) {
    co_await http::async_read(socket, buffer, response,
                              asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace

model_runner::model_runner(asio::io_context& context)
    : stand_in(context), born_(UnixMilliseconds()) {}

void model_runner::Start(const std::string& address) {
  address_ = address;
  asio::co_spawn(context(), RegisterPeriodically(), asio::detached);
}

json model_runner::Registration() const {
  json registration = {{"service", FLAGS_service},
                       {"addr", address_},
                       {"zone", FLAGS_failure_domain},
                       {"version", "v1"},
                       {"slots", FLAGS_max_requests},
                       {"state", draining_ ? "draining" : "ready"},
                       {"cold_left_ms", 0},
                       {"domain", FLAGS_fabric},
                       {"staged", json::array()},
                       {"born", born_},
                       {"models", json::array()}};
  if (!model_.empty()) registration["models"].push_back({{"name", model_}, {"version", 1}});
  if (membership_) {
    registration["group"] = {{"name", membership_->group},
                             {"epoch", membership_->epoch},
                             {"rank", membership_->rank},
                             {"state", membership_->state}};
  }
  return registration;
}

awaitable<void> model_runner::RegisterPeriodically() {
  for (;;) {
    co_await Register();
    co_await Sleep(kHeartbeatInterval);
  }
}

awaitable<void> model_runner::Register() {
  if (frozen()) co_return;
  json registration = Registration();
  registration["seq"] = ++revision_;
  co_await AppendToStore(KeyedRecord(FLAGS_vm_id, registration.dump()));
}

bool model_runner::SetFault(const std::string& name, const json& value) {
  const std::map<std::string, std::uint64_t*> counts = {{"break_after", &break_after_},
                                                        {"reject", &reject_},
                                                        {"extra", &extra_},
                                                        {"drop_answers", &drop_answers_}};
  const auto count = counts.find(name);
  if (count != counts.end()) {
    *count->second = value.get<std::uint64_t>();
    return true;
  }
  const std::map<std::string, std::string*> texts = {
      {"bytes_before", &bytes_before_}, {"bytes_after", &bytes_after_},
      {"answer_bytes", &answer_bytes_}, {"endless_bytes", &endless_bytes_},
      {"deadly_part", &deadly_part_},   {"advertise", &address_},
      {"retry_after", &retry_after_},   {"rate_limit", &rate_limit_}};
  const auto text = texts.find(name);
  if (text != texts.end()) {
    *text->second = value.get<std::string>();
    return true;
  }
  const std::map<std::string, bool*> flags = {
      {"stall", &stall_},     {"drain", &draining_},
      {"leaving", &leaving_}, {"copy_refusals", &copy_refusals_},
      {"crash", &crash_},     {"unframed", &unframed_}};
  const auto flag = flags.find(name);
  if (flag == flags.end()) return stand_in::SetFault(name, value);
  *flag->second = value.get<bool>();
  return true;
}

void model_runner::OnFaultsSet() { asio::co_spawn(context(), Register(), asio::detached); }

awaitable<void> model_runner::HandleRequest(http_exchange& exchange) {
  const std::string expected = exchange.Header("Expect-Instance");
  if (!expected.empty() && expected != FLAGS_vm_id) {
    co_await Reject(exchange, 421);
    co_return;
  }
  if (exchange.path() == "/v1/report") {
    json report = Registration();
    report["seq"] = orders_;
    header_list headers = {{"Request-Id", exchange.Header("Request-Id")}};
    co_await exchange.AnswerText(200, report.dump(), std::move(headers));
    co_return;
  }
  if (exchange.path() == "/healthz") {
    co_await exchange.Answer(200, json::object());
    co_return;
  }
  if (exchange.path() == "/v1/order") {
    co_await HandleOrder(exchange);
    co_return;
  }
  records().Add("arrivals",
                {{"at_us", MonotonicMicros()}, {"request", exchange.Header("Request-Id")}});
  const bool is_head = !FLAGS_streams || (membership_ && membership_->rank == 0);
  const bool open = !FLAGS_streams || (is_head && membership_->state == "open");
  if (!is_head) {
    co_await Reject(exchange, 421);
  } else if (!open || reject_ > 0) {
    if (reject_ > 0) --reject_;
    co_await Reject(exchange, 503);
    co_await WriteOnce(exchange, bytes_after_);
  } else if (!answer_bytes_.empty()) {
    co_await AnswerRaw(exchange);
  } else {
    co_await Run(exchange);
    co_await WriteOnce(exchange, bytes_after_);
  }
}

awaitable<void> model_runner::WriteLateBytes(http_exchange& exchange) {
  if (exchange.late_bytes().empty()) co_return;
  std::string written = std::exchange(exchange.late_bytes(), {});
  co_await exchange.WriteBytes(std::move(written));
}

awaitable<void> model_runner::WriteOnce(http_exchange& exchange, std::string& bytes) {
  if (bytes.empty()) co_return;
  std::string written = WithId(std::exchange(bytes, {}), exchange.Header("Request-Id"));
  co_await exchange.WriteBytes(std::move(written));
}

awaitable<void> model_runner::AnswerRaw(http_exchange& exchange) {
  const std::string id = exchange.Header("Request-Id");
  std::string repeated;
  while (!endless_bytes_.empty() && repeated.size() < kEndlessWriteSize) {
    repeated += endless_bytes_;
  }
  records().Add("raw_answers", {{"at_us", MonotonicMicros()}, {"request", id}});
  std::string first = WithId(answer_bytes_, id);
  bool written = co_await exchange.WriteBytes(std::move(first));
  while (written && !repeated.empty()) written = co_await exchange.WriteBytes(repeated);
  if (crash_) std::_Exit(kCrashed);
  exchange.Close();
}

unsigned model_runner::Join(const json& order) {
  const auto epoch = order.at("epoch").get<std::uint64_t>();
  const auto group = order.at("group").get<std::string>();
  const auto members = order.at("members").get<std::vector<std::string>>();
  if (membership_ && epoch < membership_->epoch) return 412;
  if (membership_ && membership_->group == group && membership_->epoch == epoch) {
    return membership_->members == members ? 200 : 412;
  }
  const auto position = std::find(members.begin(), members.end(), FLAGS_vm_id);
  if (position == members.end()) return 409;
  if (membership_ && membership_->state == "open") {
    records().Add("violations", {{"at_us", MonotonicMicros()}, {"kind", "joined_while_open"}});
  }
  membership_ = membership{group, epoch, static_cast<std::size_t>(position - members.begin()),
                           "joining", members};
  model_ = order.at("model").get<std::string>();
  asio::co_spawn(context(), FinishJoin(epoch), asio::detached);
  return 202;
}

awaitable<void> model_runner::FinishJoin(std::uint64_t epoch) {
  co_await Register();
  co_await Sleep(kJoinTime);
  if (!membership_ || membership_->epoch != epoch) co_return;
  membership_->state = "ready";
  co_await Register();
}

awaitable<void> model_runner::FinishOpen(std::uint64_t epoch) {
  co_await Sleep(kOpenTime);
  if (!membership_ || membership_->epoch != epoch) co_return;
  membership_->state = "open";
  co_await Register();
}

awaitable<void> model_runner::HandleOrder(http_exchange& exchange) {
  const json order = exchange.Body();
  records().Add("orders", {{"at_us", MonotonicMicros()}, {"order", order}});
  ++orders_;
  const auto op = order.at("op").get<std::string>();
  unsigned status = 409;
  const bool is_current_group = membership_ && order.contains("epoch") &&
                                membership_->group == order.at("group").get<std::string>() &&
                                membership_->epoch == order.at("epoch").get<std::uint64_t>();
  if (op == "join") status = Join(order);
  if (op == "stage") status = 202;
  if (op == "open" && is_current_group && membership_->state == "ready") {
    status = 202;
    asio::co_spawn(context(), FinishOpen(membership_->epoch), asio::detached);
  }
  if (op == "close" && is_current_group) {
    status = 202;
    membership_->state = "ready";
    asio::co_spawn(context(), Register(), asio::detached);
  }
  if (op == "leave" && is_current_group) {
    status = 200;
    membership_.reset();
    asio::co_spawn(context(), Register(), asio::detached);
  }
  header_list headers = {{"Request-Id", exchange.Header("Request-Id")}};
  co_await exchange.AnswerText(status, "{}", std::move(headers));
}

awaitable<void> model_runner::Reject(http_exchange& exchange, unsigned status) {
  header_list headers = {{"Not-Executed", "1"},
                         {"Instance-Id", FLAGS_vm_id},
                         {"Request-Id", exchange.Header("Request-Id")}};
  if (status == 503 && !retry_after_.empty()) headers.emplace_back("Retry-After", retry_after_);
  AddNotices(headers);
  co_await WriteLateBytes(exchange);
  if (copy_refusals_) exchange.late_bytes() = CopyOfRefusal(status, headers);
  co_await exchange.AnswerText(status, "{}", std::move(headers));
}

header_list model_runner::AnswerHeaders(const http_exchange& exchange) const {
  header_list headers = {{"Request-Id", exchange.Header("Request-Id")},
                         {"Response-Signature", FLAGS_vm_id + "." + exchange.Header("Request-Id")}};
  AddNotices(headers);
  return headers;
}

void model_runner::AddNotices(header_list& headers) const {
  if (leaving_) headers.emplace_back("Server-Leaving", "1");
  if (!rate_limit_.empty()) headers.emplace_back("Server-Limit", rate_limit_);
}

awaitable<void> model_runner::Run(http_exchange& exchange) {
  const std::size_t run = records().Add("runs", {{"at_us", MonotonicMicros()},
                                                 {"request", exchange.Header("Request-Id")},
                                                 {"method", exchange.Method()},
                                                 {"path", exchange.path()},
                                                 {"organisation", exchange.Header("Tenant")},
                                                 {"has_key", !exchange.Header("Api-Key").empty()},
                                                 {"deadline_ms", exchange.Header("Deadline-Ms")},
                                                 {"after", exchange.Header("Last-Event-Id")},
                                                 {"body", exchange.request().body()}});
  co_await WriteOnce(exchange, bytes_before_);
  co_await WriteLateBytes(exchange);
  if (FLAGS_streams) {
    co_await Stream(exchange, run);
    co_return;
  }
  co_await Sleep(milliseconds(FLAGS_service_ms));
  if (drop_answers_ > 0) {
    --drop_answers_;
    exchange.Close();
    co_return;
  }
  const std::string body = "answer to " + exchange.Header("Request-Id");
  if (unframed_) {
    const bool begun = co_await exchange.BeginUnframed("text/plain", AnswerHeaders(exchange));
    if (begun) co_await exchange.WriteBytes(body);
    exchange.Close();
    co_return;
  }
  co_await exchange.AnswerText(200, body, AnswerHeaders(exchange));
  if (extra_ == 0) co_return;
  --extra_;
  co_await exchange.AnswerText(200, "forged", AnswerHeaders(exchange));
}

awaitable<void> model_runner::Stream(http_exchange& exchange, std::size_t run) {
  const std::string after = exchange.Header("Last-Event-Id");
  std::uint64_t next = after.empty() ? 1 : std::stoull(after) + 1;
  const std::uint64_t break_at = std::exchange(break_after_, 0);
  std::uint64_t sent = 0;
  const bool framed = !unframed_;
  if (framed) {
    co_await exchange.BeginChunks("text/event-stream", AnswerHeaders(exchange));
  } else {
    co_await exchange.BeginUnframed("text/event-stream", AnswerHeaders(exchange));
  }
  const bool is_deadly =
      !deadly_part_.empty() &&
      exchange.Header("Prefix-Hash").find(deadly_part_ + ":") != std::string::npos;
  if (is_deadly) std::_Exit(kCrashed);
  for (; next <= FLAGS_events; ++next) {
    co_await Sleep(kEventInterval);
    while (stall_ && !exchange.IsClosed()) co_await Sleep(kEventInterval);
    if (exchange.IsClosed()) {
      records().Update("runs", run, {{"cancelled_at_us", MonotonicMicros()}});
      co_return;
    }
    const std::string event =
        "id: " + std::to_string(next) + "\ndata: token " + std::to_string(next) + "\n\n";
    if (break_at > 0 && sent == break_at) {
      co_await WriteEvent(exchange, event.substr(0, event.size() / 2), framed);
      exchange.Close();
      co_return;
    }
    co_await WriteEvent(exchange, event, framed);
    ++sent;
  }
  if (framed) {
    co_await exchange.EndChunks();
  } else {
    exchange.Close();
  }
  records().Update("runs", run, {{"ended_at_us", MonotonicMicros()}});
}

}  // namespace waxwingwing::stand_ins
