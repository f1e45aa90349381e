#pragma once

#include <string>

#include "stand_ins/asio.h"
#include "stand_ins/http_exchange.h"
#include "stand_ins/record_store.h"

namespace waxwingwing::stand_ins {

/// Base class of all kinds of stand-ins: serves the test endpoints, keeps the records, and applies
/// the faults that make a stand-in unreachable.
///
/// Faults of every kind: `freeze` (bool: accepts requests and answers none until the fault is
/// cleared), `outage` (bool: answers 503), `delay_ms` (before each request is handled) and
/// `reject_partition` (bool: closes each connection without handling the request). They do not
/// apply to `/v1/test/`.
class stand_in {
 public:
  explicit stand_in(asio::io_context& context);
  virtual ~stand_in() = default;
  stand_in(const stand_in&) = delete;
  stand_in& operator=(const stand_in&) = delete;

  /// Serves the test endpoints; passes all other requests to `HandleRequest` after the faults were
  /// applied.
  awaitable<void> Handle(http_exchange& exchange);

 protected:
  /// Handles a request to which no fault of the base class applies any more.
  virtual awaitable<void> HandleRequest(http_exchange& exchange) = 0;
  /// Sets a fault of this kind; returns false when the kind has no fault of this name.
  virtual bool SetFault(const std::string& name, const json& value);
  /// Called after a test has set faults.
  virtual void OnFaultsSet() {}

  asio::io_context& context() { return context_; }
  record_store& records() { return records_; }
  bool frozen() const { return freeze_; }
  bool outage() const { return outage_; }

 private:
  awaitable<void> HandleTest(http_exchange& exchange);
  /// Delays or ends the exchange as the faults require; returns true when the request is to be
  /// handled.
  awaitable<bool> ApplyFaults(http_exchange& exchange);
  json SetFaults(const json& faults);

  asio::io_context& context_;
  record_store records_;
  bool freeze_ = false;
  bool outage_ = false;
  bool reject_partition_ = false;
  milliseconds delay_{0};
};

}  // namespace waxwingwing::stand_ins
