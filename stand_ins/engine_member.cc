#include "stand_ins/engine_member.h"

#include "stand_ins/flags.h"
#include "stand_ins/weight_reader.h"

namespace waxwingwing::stand_ins {
namespace {

using nlohmann::json;
constexpr milliseconds kLoadRetryInterval{100};

engine_member::assignment ParseAssignment(const json& order) {
  engine_member::assignment parsed;
  parsed.replica = order.at("replica").get<std::string>();
  parsed.model_group = order.value("model_group", std::string());
  parsed.generation = order.at("generation").get<std::uint64_t>();
  parsed.rank = order.value("rank", std::uint64_t{0});
  parsed.model = order.value("model", std::string());
  for (const json& member : order.value("members", json::array())) {
    parsed.members.push_back(member.at("vm").get<std::string>());
  }
  return parsed;
}

std::string ToText(engine_member::verdict verdict) {
  switch (verdict) {
    case engine_member::verdict::kAccepted:
      return "accepted";
    case engine_member::verdict::kRepeated:
      return "repeated";
    case engine_member::verdict::kNotHeld:
      return "not_held";
    case engine_member::verdict::kOldFencingNumber:
      return "old_fencing_number";
  }
  return "";
}

}  // namespace

engine_member::engine_member(asio::io_context& context, record_store& records)
    : context_(context), records_(records) {}

engine_member::verdict engine_member::Execute(const json& order) {
  const std::uint64_t highest_before = fencing_number_;
  const verdict result = Apply(order);
  json record = order;
  record["at_us"] = MonotonicMicros();
  record["verdict"] = ToText(result);
  record["highest_fencing_number"] = highest_before;
  records_.Add("orders", std::move(record));
  return result;
}

engine_member::verdict engine_member::Apply(const json& order) {
  const auto number = order.at("fencing_number").get<std::uint64_t>();
  const std::string kind = order.at("kind").get<std::string>();
  assignment next = ParseAssignment(order);
  if (FLAGS_checks_fencing && number < fencing_number_) return verdict::kOldFencingNumber;
  fencing_number_ = std::max(fencing_number_, number);
  if (kind == "release") {
    // The condition fails when an order to release an earlier generation arrives late.
    const bool held = current_.has_value() && current_->replica == next.replica &&
                      current_->generation <= next.generation;
    if (!held) return verdict::kNotHeld;
    EndAssignment();
    return verdict::kAccepted;
  }
  if (current_ == next) return verdict::kRepeated;
  EndAssignment();
  Assign(std::move(next));
  return verdict::kAccepted;
}

void engine_member::EndAssignment() {
  if (!current_.has_value()) return;
  records_.Update("assignments", assignment_record_, {{"ended_at_us", MonotonicMicros()}});
  current_.reset();
  ready_ = false;
  ++load_number_;
}

void engine_member::Assign(assignment next) {
  current_ = std::move(next);
  json record = ToJson();
  record["vm"] = FLAGS_vm_id;
  record["at_us"] = MonotonicMicros();
  assignment_record_ = records_.Add("assignments", std::move(record));
  const bool holds_weights = held_ == held_weights(current_->model, current_->rank);
  if (holds_weights || FLAGS_weight_store_address.empty()) {
    BecomeReady();
    return;
  }
  held_.reset();
  asio::co_spawn(context_, Load(load_number_), asio::detached);
}

awaitable<void> engine_member::Load(std::uint64_t load_number) {
  const weight_source source{FLAGS_weight_store_address, current_->model, current_->rank,
                             FLAGS_load_bytes};
  const std::function<bool()> wanted = [this, load_number] { return load_number == load_number_; };
  while (wanted()) {
    const bool loaded = co_await ReadWeights(source, wanted);
    if (!wanted()) co_return;
    if (loaded) {
      loaded_at_ = std::chrono::steady_clock::now();
      BecomeReady();
      co_return;
    }
    co_await Sleep(kLoadRetryInterval);
  }
}

void engine_member::BecomeReady() {
  held_ = held_weights(current_->model, current_->rank);
  ready_ = true;
  records_.Update("assignments", assignment_record_, {{"ready_at_us", MonotonicMicros()}});
}

std::string engine_member::State() const {
  if (!current_.has_value()) return "idle";
  return ready_ ? "ready" : "loading";
}

json engine_member::ToJson() const {
  if (!current_.has_value()) return nullptr;
  return {{"replica", current_->replica},       {"model_group", current_->model_group},
          {"generation", current_->generation}, {"rank", current_->rank},
          {"model", current_->model},           {"members", current_->members}};
}

}  // namespace waxwingwing::stand_ins
