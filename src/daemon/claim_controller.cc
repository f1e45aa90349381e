#include "daemon/claim_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "daemon/coroutine_timer.h"

namespace waxwingwing {

namespace {

constexpr const char* kClaimsStream = "claims";
constexpr milliseconds kLogTimeout{1500};
constexpr milliseconds kLongPoll{1000};
constexpr milliseconds kReadRetry{200};
constexpr std::uint32_t kRecordsPerRead = 512;
/// Entries that are queued within this time are written in one append.
constexpr milliseconds kGroupCommitDelay{5};
constexpr std::size_t kEntriesPerAppend = 256;
constexpr milliseconds kTick{20};
constexpr milliseconds kAppendRetry{200};
/// The append of outcomes and releases is retried for this long; after that the outcome stays
/// unknown.
constexpr std::chrono::minutes kAppendRetryLimit{10};

const char* Label(claims_apply_result result) {
  switch (result) {
    case claims_apply_result::kApplied:
      return "applied";
    case claims_apply_result::kDuplicate:
      return "duplicate";
    case claims_apply_result::kMalformed:
      return "malformed";
    case claims_apply_result::kWrongOffset:
      return "wrong_offset";
  }
  return "unknown";
}

bool HasOutcome(const std::vector<claims_entry>& batch) {
  return std::any_of(batch.begin(), batch.end(), [](const claims_entry& entry) {
    return !std::holds_alternative<claim_entry>(entry);
  });
}

}  // namespace

claim_controller::claim_controller(control_context& context)
    : context_(context), log_(context.http, context.settings.log_address, kLogTimeout) {}

void claim_controller::Start() {
  boost::asio::co_spawn(context_.io, ReadLoop(), boost::asio::detached);
  boost::asio::co_spawn(context_.io, TickLoop(), boost::asio::detached);
}

void claim_controller::Claim(idempotency_key key, milliseconds wait, claim_callback done) {
  const time_point now = context_.clock.Now();
  waiting_request request;
  request.claim.claim = append_id(context_.random.HexId());
  request.claim.key = std::move(key);
  request.arrived = now;
  request.deadline = now + wait;
  request.done = std::move(done);
  if (!Decide(request, now)) waiting_.push_back(std::move(request));
}

void claim_controller::RecordOutcome(append_id claim, recorded_outcome outcome) {
  outcome_entry entry;
  entry.claim = std::move(claim);
  if (outcome.body.size() <= kMaxOutcomeBody) entry.outcome = std::move(outcome);
  Enqueue(std::move(entry));
}

void claim_controller::Release(append_id claim) { Enqueue(release_entry{std::move(claim)}); }

boost::asio::awaitable<void> claim_controller::ReadLoop() {
  for (;;) {
    reachable_ = co_await ReadOnce();
    DecideAll();
    if (!reachable_) co_await SleepFor(context_.io, kReadRetry);
  }
}

boost::asio::awaitable<bool> claim_controller::ReadOnce() {
  stream_range range;
  range.from = index_.next_offset();
  range.limit = kRecordsPerRead;
  range.wait = reachable_ ? kLongPoll : milliseconds(0);
  const time_point sent_at = context_.clock.Now();
  const read_answer answer = co_await log_.Read(kClaimsStream, range);
  if (answer.state == read_state::kFailed) co_return false;
  const time_point now = context_.clock.Now();
  if (answer.state == read_state::kTrimmed) {
    index_.SkipTo(answer.first_offset);
    for (waiting_request& request : waiting_) {
      if (request.claim.sent) request.claim.resolution = claim_resolution::kTooLate;
    }
    co_return true;
  }
  for (const stream_record& record : answer.page.records) {
    const applied_claims applied =
        index_.Apply(record.offset, record.append_id, record.payload, now);
    context_.metrics
        .Counter("waxwingwing_claims_records_total", {{"result", Label(applied.result)}})
        .Increment();
    RecordFates(applied.decided);
  }
  if (index_.next_offset() == answer.page.next_offset) index_current_at_ = sent_at;
  co_return true;
}

boost::asio::awaitable<void> claim_controller::TickLoop() {
  for (;;) {
    DecideAll();
    index_.Expire(context_.clock.Now());
    context_.metrics.Gauge("waxwingwing_idempotency_keys")
        .Set(static_cast<std::int64_t>(index_.KeyCount()));
    co_await SleepFor(context_.io, kTick);
  }
}

boost::asio::awaitable<void> claim_controller::AppendLoop() {
  co_await SleepFor(context_.io, kGroupCommitDelay);
  while (!outgoing_.empty()) {
    const std::size_t size = std::min(outgoing_.size(), kEntriesPerAppend);
    const auto end = outgoing_.begin() + static_cast<std::ptrdiff_t>(size);
    std::vector<claims_entry> batch(std::make_move_iterator(outgoing_.begin()),
                                    std::make_move_iterator(end));
    outgoing_.erase(outgoing_.begin(), end);
    co_await AppendBatch(std::move(batch));
  }
  appending_ = false;
}

boost::asio::awaitable<void> claim_controller::AppendBatch(std::vector<claims_entry> batch) {
  const append_id id(context_.random.HexId());
  claims_record record;
  record.based_on = index_.next_offset();
  record.entries = batch;
  const std::string payload = EncodeClaimsRecord(record);
  const time_point retry_deadline = context_.clock.Now() + kAppendRetryLimit;
  bool certainly_absent = true;
  for (;;) {
    const append_answer answer = co_await log_.Append(kClaimsStream, id, payload);
    context_.metrics.Counter("waxwingwing_claim_appends_total").Increment();
    if (answer.state == append_state::kAppended) co_return;
    certainly_absent = certainly_absent && answer.state == append_state::kNotAppended;
    // Claims need no retry: their requests are refused, and the callers may retry them.
    const bool retry = HasOutcome(batch) || !certainly_absent;
    if (!retry || context_.clock.Now() > retry_deadline) break;
    co_await SleepFor(context_.io, kAppendRetry);
  }
  if (certainly_absent) HandleNotAppended(batch);
}

void claim_controller::RecordFates(const std::vector<decided_claim>& decided) {
  for (const decided_claim& item : decided) {
    const auto request = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& waiting) {
      return waiting.claim.claim == item.claim;
    });
    if (request != waiting_.end()) request->claim.resolution = item.resolution;
  }
  for (release_entry& release : abandoned_.TakeReleases(decided)) Enqueue(std::move(release));
}

void claim_controller::HandleNotAppended(const std::vector<claims_entry>& batch) {
  for (const claims_entry& entry : batch) {
    const auto* claim = std::get_if<claim_entry>(&entry);
    if (claim == nullptr) continue;
    for (waiting_request& request : waiting_) {
      if (request.claim.claim == claim->claim) request.claim.sent = false;
    }
  }
  reachable_ = false;
  DecideAll();
}

void claim_controller::DecideAll() {
  const time_point now = context_.clock.Now();
  for (std::size_t i = 0; i < waiting_.size();) {
    if (Decide(waiting_[i], now)) {
      waiting_[i] = std::move(waiting_.back());
      waiting_.pop_back();
    } else {
      ++i;
    }
  }
}

bool claim_controller::Decide(waiting_request& request, time_point now) {
  claim_conditions conditions;
  conditions.log_reachable = reachable_;
  conditions.index_current_at = index_current_at_;
  conditions.owner_terminated = IsOwnerGone(request.claim.key, now);
  conditions.deadline_passed = now >= request.deadline;
  claim_decision decision = DecideClaim(index_, request.claim, conditions, request.arrived);
  switch (decision.step) {
    case claim_step::kWait:
      return false;
    case claim_step::kAppend:
      Enqueue(claim_entry{request.claim.claim, request.claim.key, context_.settings.vm,
                          context_.own_incarnation});
      request.claim.sent = true;
      return false;
    case claim_step::kClaimAgain:
      RenewClaim(request);
      return false;
    case claim_step::kAnswer:
      break;
  }
  const bool won = decision.answer.result == claim_result::kWon;
  if (request.claim.sent && !won) abandoned_.Add(request.claim.claim);
  request.done(std::move(decision.answer));
  return true;
}

bool claim_controller::IsOwnerGone(const idempotency_key& key, time_point now) const {
  const claim_owner* owner = index_.Find(key.organisation, key.key);
  if (owner == nullptr) return false;
  if (owner->vm == context_.settings.vm) return owner->incarnation != context_.own_incarnation;
  const peer_table::peer* peer = context_.peers.Find(owner->vm);
  if (peer == nullptr) return !context_.vms.empty();
  return context_.peers.IsLive(owner->vm, now) && peer->incarnation != owner->incarnation;
}

void claim_controller::Enqueue(claims_entry entry) {
  outgoing_.push_back(std::move(entry));
  if (appending_) return;
  appending_ = true;
  boost::asio::co_spawn(context_.io, AppendLoop(), boost::asio::detached);
}

void claim_controller::RenewClaim(waiting_request& request) {
  request.claim.claim = append_id(context_.random.HexId());
  request.claim.sent = false;
  request.claim.resolution.reset();
}

}  // namespace waxwingwing
