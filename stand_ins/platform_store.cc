#include "stand_ins/platform_store.h"

#include <algorithm>
#include <array>
#include <utility>

#include "stand_ins/flags.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr const char* kServers = "keyed.servers";
constexpr const char* kEraHeader = "Store-Era";
/// Bytes of an answer that are sent at once when answers share a rate.
constexpr std::size_t kSliceBytes = std::size_t{16} * 1024;
/// Three heartbeat intervals of the model runner stand-in.
constexpr std::int64_t kRegistrationLifetimeUs = 900'000;

std::string BigEndian(std::uint64_t number, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i)
    text += static_cast<char>(number >> (8 * (i - 1)) & 0xffU);
  return text;
}

std::uint64_t FromBigEndian(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char byte : bytes) number = number << 8U | static_cast<unsigned char>(byte);
  return number;
}

std::string ToBase64(std::string_view bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kBase64Alphabet[group >> (6 * (3 - j)) & 63U] : '=';
    }
  }
  return text;
}

}  // namespace

platform_store::platform_store(asio::io_context& context) : stand_in(context) {}

awaitable<void> platform_store::HandleRequest(http_exchange& exchange) {
  using handler = awaitable<void> (platform_store::*)(http_exchange&);
  static const std::map<std::string, handler> kHandlers = {
      {"/v1/log-append", &platform_store::Append}, {"/v1/log-read", &platform_store::Read},
      {"/v1/log-newest", &platform_store::Newest}, {"/v1/log-join", &platform_store::Join},
      {"/v1/log-owners", &platform_store::Owners}, {"/v1/log-leave", &platform_store::Leave}};
  const auto found = kHandlers.find(exchange.path());
  // A read may wait while the store is restored, so that its answer states the era of its end.
  if (exchange.path() != "/v1/log-read") exchange.AddHeader(kEraHeader, std::to_string(era_));
  if (found == kHandlers.end()) {
    co_await exchange.Answer(404, json::object());
    co_return;
  }
  co_await (this->*found->second)(exchange);
}

bool platform_store::SetFault(const std::string& name, const json& value) {
  if (name == "miss_wakes") {
    miss_wakes_ = value.get<bool>();
    return true;
  }
  if (name == "page_size") {
    page_size_ = value.get<std::size_t>();
    return true;
  }
  if (name == "bytes_per_s") {
    bytes_per_s_ = value.get<std::uint64_t>();
    return true;
  }
  if (name == "lose_answers") {
    lose_answers_ = value.get<std::uint64_t>();
    return true;
  }
  if (name == "save_copy") {
    copy_ = {topics_, members_, generation_};
    return true;
  }
  if (name == "restore") {
    Restore();
    return true;
  }
  if (name == "forget_registrations") {
    forgets_registrations_ = value.get<bool>();
    return true;
  }
  if (name != "drop_history") return stand_in::SetFault(name, value);
  for (auto& [topic_name, kept] : topics_) DropHistory(kept);
  return true;
}

void platform_store::DropHistory(topic& kept) {
  kept.first = kept.end();
  kept.records.clear();
}

void platform_store::Restore() {
  topics_ = copy_.topics;
  members_ = copy_.members;
  generation_ = copy_.generation;
  for (const auto& [key, newest] : topics_[kServers].newest) {
    registered_at_us_[key] = MonotonicMicros();
  }
  ++era_;
  changed_.Notify();
}

void platform_store::AddRecord(const std::string& name, const std::string& record) {
  topic& target = topics_[name];
  if (IsKeyed(name) && !record.empty()) {
    const std::size_t length = static_cast<unsigned char>(record.front());
    const std::string key = record.substr(1, length);
    const std::string value = record.substr(std::min(1 + length, record.size()));
    if (value.empty()) {
      target.newest.erase(key);
    } else {
      target.newest[key] = {target.end(), value};
      if (name == kServers) registered_at_us_[key] = MonotonicMicros();
    }
  }
  target.records.push_back(record);
}

void platform_store::ExpireRegistrations() {
  const std::int64_t oldest = MonotonicMicros() - kRegistrationLifetimeUs;
  std::vector<std::string> expired;
  for (const auto& [key, registered_at_us] : registered_at_us_) {
    if (registered_at_us < oldest) expired.push_back(key);
  }
  for (const std::string& key : expired) {
    registered_at_us_.erase(key);
    AddRecord(kServers, static_cast<char>(key.size()) + key);
  }
}

awaitable<void> platform_store::Append(http_exchange& exchange) {
  const std::string name = exchange.QueryText("topic");
  const std::uint64_t offset = topics_[name].end();
  if (!exchange.QueryText("at").empty() && exchange.QueryNumber("at", 0) != offset) {
    const json conflict = {{"end", offset}};
    co_await exchange.Answer(412, conflict);
    co_return;
  }
  std::string_view body = exchange.request().body();
  while (body.size() >= kLengthBytes) {
    const std::uint64_t length = FromBigEndian(body.substr(0, kLengthBytes));
    body.remove_prefix(kLengthBytes);
    if (body.size() < length) break;
    AddRecord(name, std::string(body.substr(0, length)));
    body.remove_prefix(length);
  }
  ExpireRegistrations();
  if (forgets_registrations_) DropHistory(topics_[kServers]);
  changed_.Notify();
  if (lose_answers_ > 0) {
    --lose_answers_;
    exchange.Close();
    co_return;
  }
  const json answer = {{"offset", offset}, {"end", topics_[name].end()}};
  co_await exchange.Answer(200, answer);
}

awaitable<void> platform_store::Read(http_exchange& exchange) {
  const std::string name = exchange.QueryText("topic");
  const std::uint64_t from = exchange.QueryNumber("from", 0);
  const auto wait = milliseconds(exchange.QueryNumber("wait_ms", 0));
  const time_point deadline = std::chrono::steady_clock::now() + wait;
  const bool waits = topics_[name].end() <= from;
  const auto has_record = [&] { return topics_[name].end() > from && !miss_wakes_; };
  const std::uint64_t era = era_;
  while (waits && !has_record() && era == era_ && std::chrono::steady_clock::now() < deadline) {
    co_await changed_.Wait(deadline);
  }
  exchange.AddHeader(kEraHeader, std::to_string(era_));
  const topic& source = topics_[name];
  if (from < source.first || from > source.end()) {
    const json answer = {{"first", source.first}};
    co_await exchange.Answer(410, answer);
    co_return;
  }
  std::string body = BigEndian(source.end(), kOffsetBytes) + BigEndian(source.first, kOffsetBytes);
  for (std::uint64_t offset = from; offset < source.end(); ++offset) {
    const std::string& record = source.records[offset - source.first];
    body += BigEndian(record.size(), kLengthBytes) + record;
  }
  co_await AnswerRecords(exchange, std::move(body));
}

awaitable<void> platform_store::AnswerRecords(http_exchange& exchange, std::string body) {
  if (bytes_per_s_ == 0) {
    header_list headers;
    co_await exchange.AnswerText(200, std::move(body), std::move(headers));
    co_return;
  }
  const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n" + kEraHeader + ": " + std::to_string(era_) + "\r\n\r\n" + body;
  for (std::size_t place = 0; place < bytes.size(); place += kSliceBytes) {
    std::string slice = bytes.substr(place, kSliceBytes);
    const std::chrono::duration<double> takes(static_cast<double>(slice.size()) /
                                              static_cast<double>(bytes_per_s_));
    const time_point now = std::chrono::steady_clock::now();
    sent_until_ = std::max(sent_until_, now) + std::chrono::duration_cast<duration>(takes);
    co_await Sleep(sent_until_ - now);
    const bool is_sent = co_await exchange.WriteBytes(std::move(slice));
    if (!is_sent) co_return;
  }
}

awaitable<void> platform_store::Newest(http_exchange& exchange) {
  const topic& source = topics_[exchange.QueryText("topic")];
  json answer = {{"items", json::array()}, {"has_more", false}, {"end", source.end()}};
  const std::string after = exchange.QueryText("after");
  auto next = after.empty() ? source.newest.begin() : source.newest.upper_bound(after);
  for (; next != source.newest.end() && answer["items"].size() < page_size_; ++next) {
    const auto& [offset, value] = next->second;
    answer["items"].push_back(
        {{"key", next->first}, {"value", ToBase64(value)}, {"offset", offset}});
  }
  answer["has_more"] = next != source.newest.end();
  co_await exchange.Answer(200, answer);
}

void platform_store::ExpireMembers() {
  const std::int64_t now = MonotonicMicros();
  const std::size_t before = members_.size();
  std::erase_if(members_, [&](const auto& item) {
    return now - item.second.last_seen_us > item.second.lifetime_us;
  });
  if (members_.size() != before) ++generation_;
}

awaitable<void> platform_store::Join(http_exchange& exchange) {
  ExpireMembers();
  const json call = exchange.Body();
  const std::string name = call.at("member").get<std::string>();
  if (!members_.contains(name)) ++generation_;
  members_[name] = {MonotonicMicros(), call.at("ttl_ms").get<std::int64_t>() * 1000};
  partitioned_topics_ = call.at("topics").get<std::vector<std::string>>();
  const auto position = std::distance(members_.begin(), members_.find(name));
  json parts = json::array();
  std::size_t number = 0;
  for (const json& topic_name : call.at("topics")) {
    for (std::size_t part = 0; part < FLAGS_partitions; ++part, ++number) {
      if (number % members_.size() == static_cast<std::size_t>(position)) {
        parts.push_back(json::array({topic_name, part, 0}));
      }
    }
  }
  const json answer = {{"generation", generation_}, {"parts", std::move(parts)}};
  co_await exchange.Answer(200, answer);
}

awaitable<void> platform_store::Owners(http_exchange& exchange) {
  ExpireMembers();
  json rows = json::array();
  std::size_t number = 0;
  for (const std::string& topic_name : partitioned_topics_) {
    for (std::size_t part = 0; part < FLAGS_partitions && !members_.empty(); ++part, ++number) {
      const auto position = static_cast<std::ptrdiff_t>(number % members_.size());
      rows.push_back(
          json::array({topic_name, part, std::next(members_.begin(), position)->first, 0}));
    }
  }
  const json answer = {{"parts", std::move(rows)}};
  co_await exchange.Answer(200, answer);
}

awaitable<void> platform_store::Leave(http_exchange& exchange) {
  if (members_.erase(exchange.Body().at("member").get<std::string>()) > 0) ++generation_;
  co_await exchange.Answer(200, json::object());
}

}  // namespace waxwingwing::stand_ins
