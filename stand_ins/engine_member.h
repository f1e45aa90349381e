#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins/asio.h"
#include "stand_ins/record_store.h"
#include "waxwingwing/core/clock.h"

namespace waxwingwing::stand_ins {

/// An engine's membership in a replica: executes orders to join or leave the replica and loads the
/// weights of the engine's rank.
///
/// Keeps the records `orders` (every order with its verdict) and `assignments` (intervals, with the
/// time from which the engine was ready).
class engine_member {
 public:
  struct assignment {
    std::string replica;
    std::string model_group;
    std::uint64_t generation = 0;
    std::uint64_t rank = 0;
    std::string model;
    std::vector<std::string> members;

    bool operator==(const assignment&) const = default;
  };

  /// Outcome of an order; every value except `kAccepted` leaves the assignment unchanged.
  enum class verdict { kAccepted, kRepeated, kNotHeld, kOldFencingNumber };

  engine_member(asio::io_context& context, record_store& records);
  engine_member(const engine_member&) = delete;
  engine_member& operator=(const engine_member&) = delete;

  /// Executes or refuses an order; throws nlohmann::json::exception when it is malformed.
  verdict Execute(const nlohmann::json& order);

  const std::optional<assignment>& current() const { return current_; }
  bool ready() const { return ready_; }
  /// When weights were last loaded. The engine is cold after a load, as it is after its start.
  time_point loaded_at() const { return loaded_at_; }
  std::uint64_t fencing_number() const { return fencing_number_; }
  /// Name of the state in the status: `idle`, `loading` or `ready`.
  std::string State() const;
  /// The assignment as the status shows it; null when there is none.
  nlohmann::json ToJson() const;

 private:
  using held_weights = std::pair<std::string, std::uint64_t>;

  verdict Apply(const nlohmann::json& order);
  void Assign(assignment next);
  void EndAssignment();
  void BecomeReady();
  awaitable<void> Load(std::uint64_t load_number);

  asio::io_context& context_;
  record_store& records_;
  std::optional<assignment> current_;
  std::size_t assignment_record_ = 0;
  bool ready_ = false;
  time_point loaded_at_{};
  std::uint64_t fencing_number_ = 0;
  /// Model and rank of the weights in memory; the weights stay loaded after a release.
  std::optional<held_weights> held_;
  /// Counts changes of the assignment, so that a running load can detect that it was superseded.
  std::uint64_t load_number_ = 0;
};

}  // namespace waxwingwing::stand_ins
