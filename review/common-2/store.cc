#include "store.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string_view>
#include <thread>

namespace waxwingwing::review {
namespace {

using nlohmann::json;

constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::string_view kKeyed = "keyed.";
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kPartitions = 4;
/// Time that each call takes.
constexpr milliseconds kCallTime{2};

std::string BigEndian(std::uint64_t number, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text += static_cast<char>(number >> (8 * (i - 1)) & 0xffU);
  }
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

http_response JsonResponse(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint64_t Number(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

}  // namespace

platform_store::platform_store(std::size_t page_size)
    : page_size_(page_size),
      server_([this](const http_request& request) { return Handle(request); }) {}

platform_store::~platform_store() {
  // Ends the reads that wait for a record.
  TakeAway();
}

void platform_store::Write(const std::string& topic, const std::string& key,
                           const std::string& value) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return !away_; });
  AddRecord(topic, static_cast<char>(key.size()) + key + value);
  changed_.notify_all();
}

void platform_store::WriteAndForget(const std::string& topic, const std::string& key,
                                    const std::string& value) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return waiting_reads_[topic] == 0; });
  AddRecord(topic, static_cast<char>(key.size()) + key + value);
  auto& target = content_.topics[topic];
  target.first = target.End();
  target.records.clear();
}

void platform_store::SaveCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = content_;
}

void platform_store::TakeAway() {
  const std::lock_guard lock(mutex_);
  away_ = true;
  changed_.notify_all();
}

void platform_store::Restore() {
  const std::lock_guard lock(mutex_);
  content_ = copy_;
  ++era_;
  away_ = false;
  changed_.notify_all();
}

http_response platform_store::Handle(const http_request& request) {
  std::this_thread::sleep_for(kCallTime);
  std::unique_lock lock(mutex_);
  http_response response;
  if (away_) {
    response.status = 503;
  } else if (request.path == "/v1/log-append") {
    response = Append(request);
  } else if (request.path == "/v1/log-read") {
    response = Read(request, lock);
  } else if (request.path == "/v1/log-newest") {
    response = Newest(request);
  } else if (request.path == "/v1/log-join") {
    response = Join(request);
  } else if (request.path == "/v1/log-leave") {
    response = Leave(request);
  } else {
    response.status = 404;
  }
  response.headers["Store-Era"] = std::to_string(era_);
  return response;
}

void platform_store::AddRecord(const std::string& name, const std::string& record) {
  topic& target = content_.topics[name];
  if (name.starts_with(kKeyed) && !record.empty()) {
    const std::size_t length = static_cast<unsigned char>(record.front());
    const std::string key = record.substr(1, length);
    const std::string value = record.substr(std::min(1 + length, record.size()));
    if (value.empty()) {
      target.newest.erase(key);
    } else {
      target.newest[key] = {target.End(), value};
    }
  }
  target.records.push_back(record);
}

http_response platform_store::Append(const http_request& request) {
  const std::string name = request.Query("topic");
  const std::uint64_t offset = content_.topics[name].End();
  const std::string condition = request.Query("at");
  if (!condition.empty() && Number(condition) != offset) {
    return JsonResponse(412, {{"end", offset}});
  }
  std::string_view body = request.body;
  while (body.size() >= kLengthBytes) {
    const std::uint64_t length = FromBigEndian(body.substr(0, kLengthBytes));
    body.remove_prefix(kLengthBytes);
    if (body.size() < length) break;
    AddRecord(name, std::string(body.substr(0, length)));
    body.remove_prefix(length);
  }
  changed_.notify_all();
  return JsonResponse(200, {{"offset", offset}, {"end", content_.topics[name].End()}});
}

http_response platform_store::Read(const http_request& request,
                                   std::unique_lock<std::mutex>& lock) {
  const std::string name = request.Query("topic");
  const std::uint64_t from = Number(request.Query("from"));
  const auto deadline = Now() + milliseconds(Number(request.Query("wait_ms")));
  const std::uint64_t era = era_;
  ++waiting_reads_[name];
  changed_.wait_until(lock, deadline,
                      [&] { return away_ || era_ != era || content_.topics[name].End() != from; });
  --waiting_reads_[name];
  changed_.notify_all();
  if (away_) return {503, {}, {}};
  const topic& source = content_.topics[name];
  const std::uint64_t end = source.End();
  if (from > end || from < source.first) return JsonResponse(410, {{"first", source.first}});
  std::string body = BigEndian(end, kOffsetBytes) + BigEndian(source.first, kOffsetBytes);
  for (std::uint64_t offset = from; offset < end; ++offset) {
    const std::string& record = source.records[offset - source.first];
    body += BigEndian(record.size(), kLengthBytes) + record;
  }
  return {200, {}, std::move(body)};
}

http_response platform_store::Newest(const http_request& request) {
  const topic& source = content_.topics[request.Query("topic")];
  json answer = {{"items", json::array()}, {"has_more", false}, {"end", source.End()}};
  const std::string after = request.Query("after");
  auto next = after.empty() ? source.newest.begin() : source.newest.upper_bound(after);
  for (; next != source.newest.end() && answer["items"].size() < page_size_; ++next) {
    const auto& [offset, value] = next->second;
    answer["items"].push_back(
        {{"key", next->first}, {"value", ToBase64(value)}, {"offset", offset}});
  }
  answer["has_more"] = next != source.newest.end();
  return JsonResponse(200, answer);
}

http_response platform_store::Join(const http_request& request) {
  const json call = json::parse(request.body);
  auto& members = content_.members;
  const std::size_t before = members.size();
  std::erase_if(members, [](const auto& item) { return item.second.expires_at < Now(); });
  const std::string name = call.at("member").get<std::string>();
  const bool is_new = !members.contains(name);
  members[name] = {Now() + milliseconds(call.at("ttl_ms").get<std::int64_t>())};
  if (is_new || members.size() != before) ++content_.generation;
  const auto place = static_cast<std::size_t>(std::distance(members.begin(), members.find(name)));
  json parts = json::array();
  std::size_t number = 0;
  for (const json& topic_name : call.at("topics")) {
    for (std::size_t part = 0; part < kPartitions; ++part, ++number) {
      if (number % members.size() == place) parts.push_back(json::array({topic_name, part, 0}));
    }
  }
  return JsonResponse(200, {{"generation", content_.generation}, {"parts", std::move(parts)}});
}

http_response platform_store::Leave(const http_request& request) {
  const json call = json::parse(request.body);
  if (content_.members.erase(call.at("member").get<std::string>()) > 0) ++content_.generation;
  return JsonResponse(200, json::object());
}

}  // namespace waxwingwing::review
