#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `model_runner`: a model runner of the users' platform.
///
/// Registers in the store, takes orders to join and open groups, and answers requests with a stream
/// of numbered events (`--streams`) or with one body. Records each request that arrived, each that
/// it ran and each order.
///
/// Additional faults: `stall` (bool: streams stall while it is set), `break_after` (count: the next
/// stream breaks off in the middle of the event that follows this many events), `reject` (count:
/// requests refused as not executed), `extra` (count: requests answered twice), `drop_answers`
/// (count: requests that run, after which the connection is closed without an answer), `drain`
/// (bool: registers as draining), `deadly_part` (text: the process ends when it begins to answer a
/// request whose prompt has this part), `advertise` (text: registers under this address, that of a
/// proxy), `leaving` (bool: states in each answer that it is leaving, and registers as before),
/// `retry_after` (text: value of that header in each refusal; empty: none), `rate_limit` (text: the
/// requests a second that each answer states as the runner's limit; empty: none),
/// `unframed` (bool: streams and answers have neither a length nor chunks and end with their
/// connection), `copy_refusals` (bool: each refusal is written once more, on the same connection,
/// in front of the answer to the next request).
///
/// Faults that write raw bytes, in which `{id}` stands for the request's id: `bytes_before` (text:
/// written once, in front of the answer to the next request that runs), `bytes_after` (text:
/// written once, behind the next answer or refusal), `answer_bytes` (text: while set, requests do
/// not run and are answered by these bytes, after which the connection is closed), `crash` (bool:
/// with `answer_bytes`, the process ends after them) and `endless_bytes` (text: with
/// `answer_bytes`, written after them again and again until the caller closes the connection). Each
/// such answer is recorded in the list `raw_answers`.
class model_runner final : public stand_in {
 public:
  explicit model_runner(asio::io_context& context);

  /// Starts to register in the store at regular intervals, under the address that the runner
  /// listens on.
  void Start(const std::string& address);

 private:
  struct membership {
    std::string group;
    std::uint64_t epoch = 0;
    std::size_t rank = 0;
    std::string state;
    std::vector<std::string> members;
  };

  awaitable<void> HandleRequest(http_exchange& exchange) override;
  bool SetFault(const std::string& name, const json& value) override;
  void OnFaultsSet() override;
  awaitable<void> RegisterPeriodically();
  awaitable<void> Register();
  awaitable<void> HandleOrder(http_exchange& exchange);
  awaitable<void> Run(http_exchange& exchange);
  awaitable<void> Stream(http_exchange& exchange, std::size_t run);
  awaitable<void> Reject(http_exchange& exchange, unsigned status);
  /// Answers the request by the bytes of `answer_bytes` and `endless_bytes`.
  awaitable<void> AnswerRaw(http_exchange& exchange);
  /// Writes the copy of a refusal that is due on the connection.
  awaitable<void> WriteLateBytes(http_exchange& exchange);
  /// Writes the bytes of a fault that applies once and clears it.
  awaitable<void> WriteOnce(http_exchange& exchange, std::string& bytes);
  awaitable<void> FinishJoin(std::uint64_t epoch);
  awaitable<void> FinishOpen(std::uint64_t epoch);
  unsigned Join(const json& order);
  json Registration() const;
  header_list AnswerHeaders(const http_exchange& exchange) const;
  /// Adds what the runner states about itself to the headers of an answer or a refusal.
  void AddNotices(header_list& headers) const;

  std::string address_;
  /// Unix time in milliseconds at which the process started.
  const std::int64_t born_;
  std::uint64_t revision_ = 0;
  std::uint64_t orders_ = 0;
  std::string model_;
  std::optional<membership> membership_;
  bool stall_ = false;
  bool draining_ = false;
  bool leaving_ = false;
  bool copy_refusals_ = false;
  bool crash_ = false;
  bool unframed_ = false;
  std::uint64_t break_after_ = 0;
  std::uint64_t reject_ = 0;
  std::uint64_t extra_ = 0;
  std::uint64_t drop_answers_ = 0;
  std::string deadly_part_;
  std::string retry_after_;
  std::string rate_limit_;
  std::string bytes_before_;
  std::string bytes_after_;
  std::string answer_bytes_;
  std::string endless_bytes_;
};

}  // namespace waxwingwing::stand_ins
