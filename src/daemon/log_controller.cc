#include "daemon/log_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>

#include "daemon/coroutine_timer.h"
#include "waxwingwing/core/json_text.h"

namespace waxwingwing {

namespace {

constexpr const char* kControlStream = "control";
constexpr const char* kSnapshotStream = "snapshots";

constexpr milliseconds kLogTimeout{1500};
constexpr milliseconds kLongPoll{1000};
constexpr milliseconds kReadRetry{200};
constexpr std::uint32_t kRecordsPerRead = 512;
/// Maximum number of applied records kept for peers that cannot read the log.
constexpr std::size_t kRecentRecords = 2048;
constexpr std::uint64_t kRecordsPerSnapshot = 512;
constexpr std::chrono::seconds kSnapshotInterval{60};
constexpr milliseconds kSnapshotCheck{1000};

const char* Label(apply_result result) {
  switch (result) {
    case apply_result::kApplied:
      return "applied";
    case apply_result::kRefused:
      return "refused";
    case apply_result::kDuplicate:
      return "duplicate";
    case apply_result::kMalformed:
      return "malformed";
    case apply_result::kWrongOffset:
      return "wrong_offset";
  }
  return "unknown";
}

}  // namespace

log_controller::log_controller(control_context& context, fetch_from_peer fetch)
    : context_(context),
      fetch_(std::move(fetch)),
      log_(context.http, context.settings.log_address, kLogTimeout) {}

void log_controller::Start() {
  snapshot_at_ = context_.clock.Now();
  boost::asio::co_spawn(context_.io, ReadLoop(), boost::asio::detached);
  boost::asio::co_spawn(context_.io, SnapshotLoop(), boost::asio::detached);
}

boost::asio::awaitable<append_answer> log_controller::Append(append_id id, control_record record) {
  std::string payload = EncodeControlRecord(record);
  co_return co_await log_.Append(kControlStream, std::move(id), std::move(payload));
}

std::vector<stream_record> log_controller::RecordsFrom(log_offset from, std::size_t limit) const {
  if (!Holds(from)) return {};
  const auto first = std::find_if(recent_.begin(), recent_.end(),
                                  [&](const auto& record) { return record.offset >= from; });
  const auto left = static_cast<std::size_t>(std::distance(first, recent_.end()));
  return {first, first + static_cast<std::ptrdiff_t>(std::min(limit, left))};
}

bool log_controller::Holds(log_offset from) const {
  if (from == context_.state.next_offset()) return true;
  return !recent_.empty() && recent_.front().offset <= from && from <= recent_.back().offset;
}

void log_controller::ApplyFromPeer(const std::vector<stream_record>& records,
                                   time_point fetched_at) {
  context_.control_contact_at = fetched_at;
  if (ApplyAll(records) && on_change_) on_change_();
}

void log_controller::LoadPeerSnapshot(const std::string& text) {
  if (context_.state.LoadSnapshot(text) != snapshot_result::kLoaded) return;
  recent_.clear();
  context_.metrics.Counter("waxwingwing_snapshots_loaded_total", {{"source", "peer"}}).Increment();
  if (on_change_) on_change_();
}

boost::asio::awaitable<void> log_controller::ReadLoop() {
  bool started = false;
  for (;;) {
    if (!started) started = co_await LoadNewestSnapshot();
    bool read = false;
    if (started) read = co_await ReadOnce();
    SetReachable(read);
    if (read) continue;
    if (fetch_()) context_.metrics.Counter("waxwingwing_peer_fetches_total").Increment();
    co_await SleepFor(context_.io, kReadRetry);
  }
}

boost::asio::awaitable<bool> log_controller::ReadOnce() {
  stream_range range;
  range.from = context_.state.next_offset();
  range.limit = kRecordsPerRead;
  range.wait = kLongPoll;
  const time_point sent_at = context_.clock.Now();
  const read_answer answer = co_await log_.Read(kControlStream, range);
  if (answer.state == read_state::kTrimmed) {
    co_await LoadNewestSnapshot();
    // A snapshot that ends before the first retained record leaves a gap; a peer may still have the
    // missing records.
    co_return context_.state.next_offset() >= answer.first_offset;
  }
  if (answer.state == read_state::kFailed) co_return false;
  context_.platform_contact_at = context_.clock.Now();
  // The time of sending, since a poll that was in progress during a pause of the process does not
  // show that the control state is current.
  context_.control_contact_at = sent_at;
  if (ApplyAll(answer.page.records) && on_change_) on_change_();
  co_return true;
}

boost::asio::awaitable<bool> log_controller::LoadNewestSnapshot() {
  stream_range range;
  range.limit = 1;
  read_answer answer = co_await log_.Read(kSnapshotStream, range);
  if (answer.state == read_state::kTrimmed) {
    range.from = answer.first_offset;
    answer = co_await log_.Read(kSnapshotStream, range);
  }
  if (answer.state != read_state::kPage) co_return false;
  if (answer.page.next_offset.get() == 0) co_return true;
  range.from = answer.page.next_offset - log_offset(1);
  answer = co_await log_.Read(kSnapshotStream, range);
  if (answer.state != read_state::kPage || answer.page.records.empty()) co_return false;
  if (context_.state.LoadSnapshot(answer.page.records.back().payload) == snapshot_result::kLoaded) {
    recent_.clear();
    snapshot_offset_ = context_.state.next_offset();
    context_.metrics.Counter("waxwingwing_snapshots_loaded_total", {{"source", "log"}}).Increment();
    if (on_change_) on_change_();
  }
  co_return true;
}

boost::asio::awaitable<void> log_controller::SnapshotLoop() {
  for (;;) {
    co_await SleepFor(context_.io, kSnapshotCheck);
    if (!log_reachable_ || !WritesSnapshots()) continue;
    const log_offset next = context_.state.next_offset();
    if (next == snapshot_offset_) continue;
    const bool due = next.get() >= snapshot_offset_.get() + kRecordsPerSnapshot ||
                     context_.clock.Now() >= snapshot_at_ + kSnapshotInterval;
    if (due) co_await WriteSnapshot();
  }
}

boost::asio::awaitable<void> log_controller::WriteSnapshot() {
  const log_offset offset = context_.state.next_offset();
  const append_id id(context_.random.HexId());
  const append_answer answer =
      co_await log_.Append(kSnapshotStream, id, context_.state.ToSnapshot());
  if (answer.state == append_state::kNotAppended) co_return;
  snapshot_offset_ = offset;
  snapshot_at_ = context_.clock.Now();
  context_.metrics.Counter("waxwingwing_snapshots_written_total").Increment();
}

bool log_controller::WritesSnapshots() const {
  const auto& leases = context_.state.leases();
  if (leases.empty()) return false;
  const domain_lease& first = leases.begin()->second;
  return first.vm == context_.settings.vm && first.incarnation == context_.own_incarnation &&
         !first.released;
}

bool log_controller::ApplyAll(const std::vector<stream_record>& records) {
  bool changed = false;
  for (const stream_record& record : records) {
    const apply_result outcome =
        context_.state.Apply(record.offset, record.append_id, record.payload);
    context_.metrics.Counter("waxwingwing_control_records_total", {{"result", Label(outcome)}})
        .Increment();
    if (outcome == apply_result::kWrongOffset) continue;
    changed = true;
    recent_.push_back(record);
    if (recent_.size() > kRecentRecords) recent_.pop_front();
  }
  return changed;
}

void log_controller::SetReachable(bool reachable) {
  // Set on every read, so that an outage that began before the process started is reported, too.
  context_.metrics.Gauge("waxwingwing_log_reachable").Set(reachable ? 1 : 0);
  if (reachable == log_reachable_) return;
  log_reachable_ = reachable;
  LOG(INFO) << "event=log_" << (reachable ? "reachable" : "unreachable")
            << " next_offset=" << context_.state.next_offset();
}

}  // namespace waxwingwing
