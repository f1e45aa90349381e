#pragma once

#include <string>

#include "stand_ins/asio.h"
#include "stand_ins/http_exchange.h"
#include "stand_ins/record_store.h"

namespace waxwingwing::stand_ins {

/// What every kind has: the test endpoints, records, and faults that make it unreachable.
///
/// Faults of every kind: `freeze` (bool: accepts requests and answers none until it is set back),
/// `outage` (bool: answers 503), `delay_ms` (before each request is handled) and
/// `reject_partition` (bool: closes each connection without handling the request). They do not
/// apply to `/v1/test/`.
class stand_in {
 public:
  explicit stand_in(asio::io_context& context);
  virtual ~stand_in() = default;
  stand_in(const stand_in&) = delete;
  stand_in& operator=(const stand_in&) = delete;

  awaitable<void> Handle(http_exchange& exchange);

 protected:
  /// Handles a request that no fault kept back.
  virtual awaitable<void> HandleRequest(http_exchange& exchange) = 0;
  /// Sets a fault of the kind; false when the kind has none of this name.
  virtual bool SetFault(const std::string& name, const json& value);
  /// Called after faults were set.
  virtual void OnFaultsSet() {}

  asio::io_context& context() { return context_; }
  record_store& records() { return records_; }
  bool frozen() const { return freeze_; }
  bool outage() const { return outage_; }

 private:
  awaitable<void> HandleTest(http_exchange& exchange);
  /// Delays or ends the exchange as the faults demand; true when the request is to be handled.
  awaitable<bool> PassFaults(http_exchange& exchange);
  json SetFaults(const json& faults);

  asio::io_context& context_;
  record_store records_;
  bool freeze_ = false;
  bool outage_ = false;
  bool reject_partition_ = false;
  milliseconds delay_{0};
};

}  // namespace waxwingwing::stand_ins
