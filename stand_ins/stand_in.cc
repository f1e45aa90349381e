#include "stand_ins/stand_in.h"

#include "stand_ins/flags.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr milliseconds kFreezePollInterval{5};

}  // namespace

stand_in::stand_in(asio::io_context& context) : context_(context), records_(FLAGS_records_file) {}

awaitable<void> stand_in::Handle(http_exchange& exchange) {
  if (exchange.path().starts_with("/v1/test/")) {
    co_await HandleTest(exchange);
    co_return;
  }
  const bool passed = co_await ApplyFaults(exchange);
  if (passed) co_await HandleRequest(exchange);
}

awaitable<void> stand_in::HandleTest(http_exchange& exchange) {
  if (exchange.path() == "/v1/test/records") {
    co_await exchange.Answer(200, records_.lists());
  } else if (exchange.path() == "/v1/test/faults" && exchange.Method() == "POST") {
    const json unknown = SetFaults(exchange.Body());
    const json answer = {{"unknown_faults", unknown}};
    const unsigned status = unknown.empty() ? 200 : 400;
    co_await exchange.Answer(status, answer);
  } else {
    co_await HandleRequest(exchange);
  }
}

awaitable<bool> stand_in::ApplyFaults(http_exchange& exchange) {
  if (delay_.count() > 0) co_await Sleep(delay_);
  while (freeze_) {
    if (exchange.IsClosed()) co_return false;
    co_await Sleep(kFreezePollInterval);
  }
  if (reject_partition_) {
    exchange.Close();
    co_return false;
  }
  if (outage_) {
    const json body = {{"error", "outage"}};
    co_await exchange.Answer(503, body);
    co_return false;
  }
  co_return true;
}

json stand_in::SetFaults(const json& faults) {
  json unknown = json::array();
  for (const auto& [name, value] : faults.items()) {
    if (!SetFault(name, value)) unknown.push_back(name);
  }
  OnFaultsSet();
  records_.Add("faults", {{"at_us", MonotonicMicros()}, {"faults", faults}});
  return unknown;
}

bool stand_in::SetFault(const std::string& name, const json& value) {
  if (name == "freeze") {
    freeze_ = value.get<bool>();
  } else if (name == "outage") {
    outage_ = value.get<bool>();
  } else if (name == "reject_partition") {
    reject_partition_ = value.get<bool>();
  } else if (name == "delay_ms") {
    delay_ = milliseconds(value.get<std::int64_t>());
  } else {
    return false;
  }
  return true;
}

}  // namespace waxwingwing::stand_ins
