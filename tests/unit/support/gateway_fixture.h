#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <trompeloeil.hpp>
#include <vector>

#include "tests/unit/support/fake_backend.h"
#include "waxwingwing/gateway/gateway_server.h"

namespace waxwingwing::testing {

class mock_control final : public control_access {
 public:
  MAKE_MOCK3(ClaimKey, void(idempotency_key, milliseconds, std::function<void(claim_answer)>),
             override);
  MAKE_MOCK2(RecordOutcome, void(append_id, recorded_outcome), override);
  MAKE_MOCK1(ReleaseClaim, void(append_id), override);
  MAKE_MOCK2(ReportBackendFailure, void(vm_id, incarnation), override);
  MAKE_MOCK3(ReportIncarnation, void(vm_id, incarnation, milliseconds), override);
  MAKE_MOCK1(ReportUnmetDemand, void(model_group_id), override);
  MAKE_MOCK2(SubmitReleaseNote, void(std::string, std::function<void(admin_answer)>), override);
  MAKE_MOCK2(GetReleaseNote, void(note_id, std::function<void(admin_answer)>), override);
  MAKE_MOCK1(GetStatus, void(std::function<void(admin_answer)>), override);
};

/// A gateway on loopback with one organisation `org`, a model group `model`, and the services
/// `echo` (repeatable) and `once` (not repeatable).
class gateway_fixture {
 public:
  gateway_fixture();
  gateway_fixture(const gateway_fixture&) = delete;
  gateway_fixture& operator=(const gateway_fixture&) = delete;

  /// Adds a backend server to all groups and publishes the snapshot.
  void AddBackend(const std::string& name, const std::string& address, std::uint32_t requests = 8);
  /// Changes the snapshot and publishes it.
  void Change(const std::function<void(routing_snapshot&)>& change);
  void Start();

  /// Opens a connection with a small receive buffer.
  tcp::socket Connect();
  text_response Post(const std::string& target, const std::string& body,
                     const std::vector<std::pair<std::string, std::string>>& headers = {});
  text_response Get(const std::string& target);
  static void Send(tcp::socket& socket, const std::string& target, const std::string& body,
                   const std::vector<std::pair<std::string, std::string>>& headers = {});
  static text_response Receive(tcp::socket& socket);

  gateway_settings settings;
  mock_control control;
  metrics_registry metrics;
  retry_budget retries{0.1, 10};
  std::unique_ptr<gateway_server> gateway;
  std::vector<std::shared_ptr<backend_budget>> budgets;

 private:
  std::shared_ptr<routing_snapshot> snapshot_;
  std::unique_ptr<snapshot_cell<routing_snapshot>> cell_;
  boost::asio::io_context context_;
  tcp::endpoint endpoint_;
};

/// Body of a chat completion request for `tokens` tokens.
std::string ChatBody(std::uint64_t tokens, bool stream);
/// Concatenated token texts of a stream; `[DONE]` and error codes appear in angle brackets.
std::string StreamText(const std::string& body);
/// Concatenated texts of the first `count` tokens.
std::string CompleteText(std::uint64_t count, std::size_t size = 0);
/// Waits until the condition holds; returns false after 10 s.
bool WaitFor(const std::function<bool()>& condition);

}  // namespace waxwingwing::testing
