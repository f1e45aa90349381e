#include "daemon/control_loop.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "daemon/coroutine_timer.h"
#include "waxwingwing/config/release_note_parser.h"

namespace waxwingwing {

namespace {

constexpr milliseconds kTick{50};
/// A tick that runs more than this after the previous one shows that the process was paused.
constexpr milliseconds kPauseThreshold{1000};
/// After a pause, new requests wait at most this long for newer control records.
constexpr milliseconds kStaleWaitLimit{1000};
/// A failure domain that has received nothing from the platform or another domain for this long is
/// partitioned.
constexpr milliseconds kPartitionTimeout{5000};
constexpr milliseconds kNoteTimeout{10000};
constexpr milliseconds kNotePoll{10};
constexpr milliseconds kAppendRetry{200};
constexpr std::uint32_t kRecordsPerFetch = 64;
/// Payload limit of one message; the rest of the frame is for the fields around the records.
constexpr std::size_t kMaxFetchBytes = std::size_t{200} * 1024;

peer_settings PeerSettings(const control_context& context) {
  peer_settings settings;
  settings.cluster = context.settings.cluster;
  settings.own_vm = context.settings.vm;
  settings.own_failure_domain = context.settings.failure_domain;
  settings.own_incarnation = context.own_incarnation;
  return settings;
}

}  // namespace

control_loop::control_loop(const daemon_settings& settings, const runtime_clock& clock,
                           metrics_registry& metrics)
    : context_(settings, clock, metrics),
      network_(context_.io, PeerSettings(context_), random_source(context_.random.Next()), metrics,
               [this](const vm_id& sender, peer_message message) {
                 HandleMessage(sender, std::move(message));
               }),
      log_(context_, [this] { return FetchFromPeer(); }),
      lease_(context_, log_),
      membership_(context_, [this](const vm_id& vm,
                                   const peer_message& message) { network_.Send(vm, message); }),
      groups_(context_, lease_),
      claims_(context_),
      catalog_(context_),
      budgets_(context_),
      credits_(context_, lease_, catalog_, budgets_,
               [this](const vm_id& vm, const peer_message& message) {
                 return network_.Send(vm, message);
               }),
      publisher_(context_, catalog_, budgets_),
      admin_(context_, catalog_) {}

control_loop::~control_loop() {
  context_.io.stop();
  if (thread_.joinable()) thread_.join();
}

result<std::string> control_loop::Listen() {
  result<std::string> address = network_.Listen(context_.settings.peer_address);
  if (address) peer_address_ = *address;
  return address;
}

void control_loop::Start(const std::string& caller_address) {
  roster_ = std::make_unique<roster_controller>(context_, log_, peer_address_);
  membership_.OnListChange([this] { ConnectPeers(); });
  const time_point now = context_.clock.Now();
  last_tick_ = now;
  context_.platform_contact_at = now;
  log_.Start();
  lease_.Start();
  membership_.Start(caller_address);
  groups_.Start();
  claims_.Start();
  roster_->Start();
  credits_.Start();
  boost::asio::co_spawn(context_.io, TickLoop(), boost::asio::detached);
  thread_ = std::thread([this] { context_.io.run(); });
}

void control_loop::BeginDrain() {
  boost::asio::post(context_.io, [this] {
    context_.draining = true;
    context_.peers.SetOwnDraining(true);
    lease_.RequestRelease();
    membership_.PushStatus();
    Tick();
  });
}

void control_loop::Finish(milliseconds limit) {
  boost::asio::co_spawn(context_.io, FinishOnControlThread(limit), boost::asio::detached);
  if (thread_.joinable()) thread_.join();
}

boost::asio::awaitable<void> control_loop::FinishOnControlThread(milliseconds limit) {
  const time_point deadline = context_.clock.Now() + limit;
  while (context_.clock.Now() < deadline && !(claims_.IsIdle() && lease_.IsReleased())) {
    co_await SleepFor(context_.io, kTick);
  }
  co_await roster_->Release();
  network_.Close();
  context_.io.stop();
}

boost::asio::awaitable<void> control_loop::TickLoop() {
  for (;;) {
    Tick();
    co_await SleepFor(context_.io, kTick);
  }
}

void control_loop::Tick() {
  const time_point now = context_.clock.Now();
  if (now > last_tick_ + kPauseThreshold) HandlePause(now);
  last_tick_ = now;
  catalog_.Refresh(now);
  budgets_.Refresh(catalog_, roster_->OwnSlot(), now);
  publisher_.Publish(IsSuspended(now), now);
}

void control_loop::HandlePause(time_point now) {
  resumed_at_ = now;
  budgets_.DropCredits();
  context_.metrics.Counter("waxwingwing_pauses_total").Increment();
  LOG(WARNING) << "event=process_paused pause_ms="
               << std::chrono::duration_cast<milliseconds>(now - last_tick_).count();
}

bool control_loop::IsSuspended(time_point now) const {
  const bool stale =
      context_.control_contact_at < resumed_at_ && now < resumed_at_ + kStaleWaitLimit;
  return stale || IsPartitionedAndStopped(now);
}

bool control_loop::IsPartitionedAndStopped(time_point now) const {
  const auto& domains = context_.state.objects().failure_domains;
  const auto own = domains.find(context_.settings.failure_domain);
  if (own == domains.end()) return false;
  if (own->second.value.when_cut_off == cut_off_policy::kServe) return false;
  return now > context_.platform_contact_at + kPartitionTimeout;
}

void control_loop::HandleMessage(const vm_id& sender, peer_message message) {
  if (auto* status = std::get_if<node_status_message>(&message)) {
    membership_.HandleStatus(sender, std::move(*status));
  } else if (const auto* fetch = std::get_if<log_fetch_message>(&message)) {
    HandleFetch(sender, *fetch);
  } else if (const auto* records = std::get_if<log_records_message>(&message)) {
    HandleRecords(*records);
  } else if (const auto* request = std::get_if<credit_request_message>(&message)) {
    credits_.HandleRequest(sender, *request);
  } else if (const auto* grant = std::get_if<credit_grant_message>(&message)) {
    credits_.HandleGrant(sender, *grant);
  }
}

void control_loop::HandleFetch(const vm_id& sender, const log_fetch_message& fetch) {
  log_records_message reply;
  reply.request = fetch.request;
  reply.stream = fetch.stream;
  reply.sender_offset = context_.state.next_offset();
  reply.first_offset = fetch.from;
  if (!log_.Holds(fetch.from) && fetch.from < context_.state.next_offset()) {
    SendSnapshot(sender, std::move(reply));
    return;
  }
  std::size_t bytes = 0;
  for (const stream_record& record : log_.RecordsFrom(fetch.from, fetch.limit)) {
    bytes += record.payload.size();
    if (bytes > kMaxFetchBytes) break;
    reply.records.push_back({record.offset, record.append_id, record.payload});
  }
  network_.Send(sender, reply);
}

void control_loop::SendSnapshot(const vm_id& receiver, log_records_message reply) {
  const std::string text = context_.state.ToSnapshot();
  reply.snapshot_parts =
      static_cast<std::uint32_t>((text.size() + kMaxFetchBytes - 1) / kMaxFetchBytes);
  for (std::uint32_t part = 0; part < reply.snapshot_parts; ++part) {
    reply.snapshot_part = part;
    reply.snapshot = text.substr(part * kMaxFetchBytes, kMaxFetchBytes);
    network_.Send(receiver, reply);
  }
}

void control_loop::HandleSnapshotPart(const log_records_message& records) {
  if (records.snapshot_part == 0) snapshot_text_.clear();
  snapshot_text_ += *records.snapshot;
  if (records.snapshot_part + 1 < records.snapshot_parts) return;
  // Parts of two replies, or a missing part, give a text that is no valid snapshot; it is rejected.
  log_.LoadPeerSnapshot(snapshot_text_);
  snapshot_text_.clear();
}

void control_loop::HandleRecords(const log_records_message& records) {
  if (records.snapshot) HandleSnapshotPart(records);
  std::vector<stream_record> list;
  for (const log_record_message& record : records.records) {
    list.push_back({record.offset, record.append_id, record.payload});
  }
  // Records of an earlier fetch are valid, but do not show that the control state is current.
  const bool newest = records.request == last_fetch_;
  log_.ApplyFromPeer(list, newest ? fetch_sent_at_ : context_.control_contact_at);
}

bool control_loop::FetchFromPeer() {
  const time_point now = context_.clock.Now();
  const peer_table::peer* best = nullptr;
  for (const auto& [vm, peer] : context_.peers.peers()) {
    if (!context_.peers.IsLive(vm, now) || !network_.IsConnected(vm)) continue;
    if (best == nullptr || peer.control_offset > best->control_offset) best = &peer;
  }
  if (best == nullptr) return false;
  log_fetch_message fetch;
  fetch.request = ++last_fetch_;
  fetch.stream = "control";
  fetch.from = context_.state.next_offset();
  fetch.limit = kRecordsPerFetch;
  fetch_sent_at_ = now;
  return network_.Send(best->vm, fetch);
}

void control_loop::ConnectPeers() {
  std::vector<peer_address> addresses;
  for (const auto& [vm, peer] : context_.peers.peers()) addresses.push_back({vm, peer.address});
  network_.SetPeers(addresses);
}

void control_loop::ClaimKey(idempotency_key key, milliseconds wait,
                            std::function<void(claim_answer)> done) {
  boost::asio::post(context_.io,
                    [this, key = std::move(key), wait, done = std::move(done)]() mutable {
                      claims_.Claim(std::move(key), wait, std::move(done));
                    });
}

void control_loop::RecordOutcome(append_id claim, recorded_outcome outcome) {
  boost::asio::post(context_.io,
                    [this, claim = std::move(claim), outcome = std::move(outcome)]() mutable {
                      claims_.RecordOutcome(std::move(claim), std::move(outcome));
                    });
}

void control_loop::ReleaseClaim(append_id claim) {
  boost::asio::post(context_.io, [this, claim = std::move(claim)]() mutable {
    claims_.Release(std::move(claim));
  });
}

void control_loop::ReportBackendFailure(vm_id vm, incarnation seen) {
  boost::asio::post(context_.io, [this, vm = std::move(vm), seen] {
    context_.reports.MarkSuspected(vm, seen, context_.clock.Now());
    membership_.PollNow(vm);
    Tick();
  });
}

void control_loop::ReportIncarnation(vm_id vm, incarnation seen, milliseconds uptime) {
  static_cast<void>(uptime);
  boost::asio::post(context_.io, [this, vm = std::move(vm), seen] {
    // An unknown incarnation counts as cold until a report shows how long it has been ready.
    catalog_.RecordIncarnation(vm, seen, milliseconds(0));
    membership_.PollNow(vm);
    Tick();
  });
}

void control_loop::ReportUnmetDemand(model_group_id group) {
  static_cast<void>(group);
  boost::asio::post(context_.io, [this] { credits_.RequestSoon(); });
}

void control_loop::SubmitReleaseNote(std::string json, std::function<void(admin_answer)> done) {
  boost::asio::post(context_.io, [this, json = std::move(json), done = std::move(done)]() mutable {
    boost::asio::co_spawn(context_.io, Publish(std::move(json), std::move(done)),
                          boost::asio::detached);
  });
}

void control_loop::GetReleaseNote(note_id note, std::function<void(admin_answer)> done) {
  boost::asio::post(context_.io, [this, note = std::move(note), done = std::move(done)] {
    done(admin_.ReleaseNote(note));
  });
}

void control_loop::GetStatus(std::function<void(admin_answer)> done) {
  boost::asio::post(context_.io, [this, done = std::move(done)] { done(admin_.Status()); });
}

void control_loop::CountReleaseNote(const char* result) {
  context_.metrics.Counter("waxwingwing_release_notes_total", {{"result", result}}).Increment();
}

boost::asio::awaitable<void> control_loop::Publish(std::string json,
                                                   std::function<void(admin_answer)> done) {
  const parsed_release_note reading = ParseReleaseNote(json);
  if (!reading.note) {
    CountReleaseNote("malformed");
    done(admin_answers::MalformedNote(reading.findings));
    co_return;
  }
  const note_id id = reading.note->id;
  const append_id append("note-" + id.str());
  const time_point deadline = context_.clock.Now() + kNoteTimeout;
  append_answer answer;
  while (context_.state.FindVerdict(id) == nullptr && context_.clock.Now() < deadline) {
    if (answer.state != append_state::kAppended) {
      const release_note_record record{json};
      answer = co_await log_.Append(append, record);
    }
    const bool appended = answer.state == append_state::kAppended;
    const milliseconds wait = appended ? kNotePoll : kAppendRetry;
    co_await SleepFor(context_.io, wait);
  }
  const release_note_verdict* verdict = context_.state.FindVerdict(id);
  if (verdict != nullptr) {
    CountReleaseNote(verdict->accepted ? "accepted" : "rejected");
    done(admin_.ReleaseNote(id));
  } else {
    CountReleaseNote("log_unavailable");
    done(admin_answers::Error(503, "log_unavailable",
                              "no verdict yet; ask again with the same note_id"));
  }
}

}  // namespace waxwingwing
