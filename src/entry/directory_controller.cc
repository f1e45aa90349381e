#include "entry/directory_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "platform/record_decoder.h"

namespace waxwingwing {
namespace {

/// Longest wait of one read. Registrations change several times a second, so it takes effect only
/// while there are no changes. It must leave time for a second read, see
/// `registration_poll_interval`.
constexpr milliseconds kReadWait{300};
constexpr milliseconds kRetryPause{200};
/// Pause after a read that returned only a part of the records.
constexpr milliseconds kPartPause{20};
/// Limit of the exponential backoff while the store is unreachable. Its recovery must be noticed
/// within one second.
constexpr milliseconds kLongestRetryPause{700};
constexpr milliseconds kRemovalCheckInterval{300};
/// Interval at which a VM checks whether the controller still forwards changes to it.
constexpr milliseconds kFeedCheckInterval{250};
/// Time within which running servers register again after an outage of the store.
constexpr milliseconds kReregistrationTime{2500};
/// Time without a successful read after which removals may be an effect of a store outage.
constexpr milliseconds kOutageThreshold{3000};
/// Attempts to read the list after which an incomplete one is used.
constexpr int kListAttempts = 3;

}  // namespace

directory_controller::directory_controller(entry_context& entry, store_client& store, hooks hooks)
    : entry_(entry),
      store_(store),
      hooks_(std::move(hooks)),
      poll_interval_(entry.settings.leaving_limit),
      pause_(entry.context),
      health_(entry, "server_registrations") {}

awaitable<void> directory_controller::Run() {
  milliseconds retry_pause = kRetryPause;
  for (;;) {
    milliseconds pause = kFeedCheckInterval;
    const bool needs_list = NeedsList();
    if (needs_list || has_gap_ || is_behind_ || AwaitsEntries(entry_.clock.Now()) ||
        hooks_.sends_orders() || !hooks_.is_feed_current()) {
      has_gap_ = false;
      is_behind_ = false;
      bool read = false;
      if (needs_list) {
        read = co_await ReadAll();
      } else {
        read = co_await ReadUpdates();
      }
      pause =
          read ? poll_interval_.Interval(hooks_.sends_orders(), entry_.clock.Now()) : retry_pause;
      if (read && is_behind_) pause = std::min(pause, kPartPause);
      retry_pause = read ? kRetryPause : std::min(retry_pause * 2, kLongestRetryPause);
    }
    // Delayed removals must be applied on time, not only at the next read.
    if (entry_.state.directory.HasPendingRemovals()) pause = std::min(pause, kRemovalCheckInterval);
    co_await pause_.Wait(pause);
  }
}

void directory_controller::OnDirectoryMismatch() {
  const time_point now = entry_.clock.Now();
  const bool sends_orders = hooks_.sends_orders();
  const milliseconds previous_interval = poll_interval_.Interval(sends_orders, now);
  poll_interval_.RecordMismatch(now);
  if (poll_interval_.Interval(sends_orders, now) < previous_interval && !hooks_.is_feed_current())
    pause_.Wake();
}

duration directory_controller::RemovalDelay(time_point now) const {
  const auto& confirmed = entry_.state.directory_confirmed_at;
  const bool was_unconfirmed = confirmed && now - *confirmed > kOutageThreshold;
  if (health_.is_lost() || was_unconfirmed) return kReregistrationTime;
  // Running servers are back by then, however late their removal is read: a server that leaves
  // meanwhile must not be kept for longer.
  const auto back_at = std::max(health_.regained_at(), restored_at_);
  if (!back_at) return duration::zero();
  return std::max<duration>(*back_at + kReregistrationTime - now, duration::zero());
}

awaitable<bool> directory_controller::ReadAll() {
  const time_point called_at = entry_.clock.Now();
  const auto page = co_await store_.ReadNewest(store_stream::kServers);
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  if (!MayUse(*page)) co_return false;
  const bool is_complete = page->missing_reason.empty();
  const time_point sent_at = called_at - page->asked_before;
  const time_point now = entry_.clock.Now();
  // The copy lacks servers that have registered since it was made; they register again.
  if (era_ && page->era != *era_) restored_at_ = now;
  era_ = page->era;
  const duration delay = is_complete ? RemovalDelay(now) : kReregistrationTime;
  health_.Succeeded();
  if (!is_complete) awaits_entries_until_ = now + kReregistrationTime;
  registration_read read{read_coverage::kUnknown, {}, {page->era, page->next}, {}, sent_at};
  read.changes = ApplyList(*page, now, delay);
  if (is_complete && position_ && position_->era == page->era) {
    read.coverage = read_coverage::kComparison;
    read.from = *position_;
  }
  entry_.log.Write("registrations_listed", {{"servers", entry_.state.directory.entries().size()},
                                            {"changes", read.changes.size()},
                                            {"missing", page->missing_reason},
                                            {"from", read.from.offset},
                                            {"next", read.next.offset},
                                            {"era", read.next.era.get()}});
  position_ = read.next;
  list_read_until_ = page->read_until;
  needs_list_ = false;
  hooks_.on_read(read);
  FinishRead(sent_at);
  co_return true;
}

bool directory_controller::MayUse(const store_page& page) {
  if (page.missing_reason.empty()) {
    incomplete_lists_ = 0;
    return true;
  }
  health_.Failed(page.missing_reason);
  if (++incomplete_lists_ < kListAttempts) return false;
  incomplete_lists_ = 0;
  return true;
}

std::vector<keyed_record_message> directory_controller::ApplyList(const store_page& page,
                                                                  time_point now,
                                                                  duration removal_delay) {
  std::vector<keyed_record_message> changes;
  std::set<backend_server_id> listed;
  for (const store_record& record : page.records) {
    if (!record.value) continue;
    listed.insert(backend_server_id(record.key));
    if (ApplyOrRemove(record, now, removal_delay)) changes.push_back({record.key, record.value});
  }
  for (const backend_server_id& id :
       entry_.state.directory.RemoveUnlisted(listed, now, removal_delay)) {
    changes.push_back({id.str(), std::nullopt});
  }
  return changes;
}

awaitable<bool> directory_controller::ReadUpdates() {
  const time_point called_at = entry_.clock.Now();
  const store_position from = *position_;
  const auto page = co_await store_.ReadFrom(store_stream::kServers, from.offset, kReadWait);
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  const time_point now = entry_.clock.Now();
  if (page->trimmed || page->era != from.era || page->end < from.offset) {
    entry_.log.Write("history_trimmed", {{"stream", "servers"},
                                         {"offset", from.offset},
                                         {"era", from.era.get()},
                                         {"store_era", page->era.get()}});
    needs_list_ = true;
    co_return co_await ReadAll();
  }
  // A page holds only a part of many records, or of an answer that was cut short between two.
  is_behind_ = page->next < page->end;
  if (is_behind_ && page->records.empty()) {
    health_.Failed("a page without the records before its end");
    co_return false;
  }
  const duration delay = RemovalDelay(now);
  health_.Succeeded();
  entry_.metrics.Counter("waxwingwing_registrations_read_total").Increment(page->records.size());
  // A feed may have led further while the read was under way.
  const store_position known = *position_;
  const store_position next = std::max(store_position{page->era, page->next}, known);
  const time_point sent_at = called_at - page->asked_before;
  const auto known_at =
      is_behind_ ? entry_.state.directory_confirmed_at : std::optional<time_point>(sent_at);
  registration_read read{read_coverage::kRecords, known, next, {}, known_at.value_or(time_point())};
  store_position place = from;
  for (const store_record& record : page->records) {
    const store_position record_place = place;
    ++place.offset;
    if (record_place < known) continue;
    const bool may_be_listed = record_place.offset < list_read_until_;
    const bool has_changed = ApplyOrRemove(record, now, delay);
    if (has_changed || may_be_listed) read.changes.push_back({record.key, record.value});
  }
  position_ = read.next;
  hooks_.on_read(read);
  FinishRead(known_at);
  co_return true;
}

bool directory_controller::ApplyOrRemove(const store_record& record, time_point now,
                                         duration removal_delay) {
  const std::uint64_t before = entry_.state.directory.change_count();
  if (!record.value) {
    entry_.state.directory.Remove(backend_server_id(record.key), now, removal_delay);
    return true;
  }
  Apply(record, now);
  return entry_.state.directory.change_count() != before;
}

bool directory_controller::NeedsList() const { return !position_ || needs_list_; }

bool directory_controller::JoinsOn(const directory_feed_message& feed) const {
  const store_position from{store_era(feed.era), feed.from};
  return feed.is_comparison ? from == *position_ : from <= *position_;
}

void directory_controller::OnFeed(const directory_feed_message& feed) {
  const store_position next{store_era(feed.era), feed.next};
  // The list that this VM still has to read may be older than the feed.
  if (NeedsList()) return pause_.Wake();
  if (next < *position_ || AwaitsEntries(entry_.clock.Now())) return;
  // What is missing in between must be read from the store.
  if (!JoinsOn(feed) && next != *position_) {
    entry_.metrics.Counter("waxwingwing_directory_gaps_total").Increment();
    entry_.log.Write("directory_gap",
                     {{"offset", position_->offset},
                      {"era", position_->era.get()},
                      {"from", feed.from},
                      {"next", feed.next},
                      {"feed_era", feed.era},
                      {"comparison", feed.is_comparison}},
                     event_log::importance::kRoutine);
    has_gap_ = true;
    return pause_.Wake();
  }
  const auto changes = UnpackChanges(feed.changes);
  if (!changes) {
    entry_.log.Write("feed_unreadable", {{"reason", changes.reason()}});
    has_gap_ = true;
    return pause_.Wake();
  }
  const time_point now = entry_.clock.Now();
  const duration delay = RemovalDelay(now);
  health_.Succeeded();
  for (const keyed_record_message& change : *changes) {
    ApplyOrRemove({change.key, change.value}, now, delay);
  }
  position_ = next;
  FinishRead(now - feed.age);
}

void directory_controller::Apply(const store_record& record, time_point now) {
  if (!record.value) return;
  auto server = DecodeServer(record.key, *record.value);
  if (!server) {
    entry_.metrics.Counter("waxwingwing_unreadable_records_total", {{"stream", "servers"}})
        .Increment();
    entry_.log.Write("registration_unreadable",
                     {{"server", record.key}, {"reason", server.reason()}},
                     event_log::importance::kRoutine);
    return;
  }
  const auto* known = entry_.state.directory.Find(server->id);
  const bool has_changed = known == nullptr || known->server.draining != server->draining ||
                           known->server.membership != server->membership;
  if (has_changed) {
    const auto& membership = server->membership;
    entry_.log.Write("server_changed",
                     {{"server", server->id.str()},
                      {"draining", server->draining},
                      {"domain", server->failure_domain.str()},
                      {"fabric", server->fabric.str()},
                      {"group", membership ? membership->group.str() : std::string()},
                      {"epoch", membership ? membership->epoch : 0},
                      {"rank", membership ? membership->rank : 0},
                      {"state", membership ? static_cast<int>(membership->state) : -1},
                      {"model", server->model}},
                     event_log::importance::kRoutine);
  }
  entry_.state.directory.Update(std::move(*server), now);
}

void directory_controller::FinishRead(std::optional<time_point> known_at) {
  auto& confirmed_at = entry_.state.directory_confirmed_at;
  confirmed_at = std::max(confirmed_at, known_at);
  for (const backend_server_id& id : entry_.state.directory.ApplyDueRemovals(entry_.clock.Now())) {
    entry_.log.Write("server_removed", {{"server", id.str()}});
  }
  if (entry_.state.directory.change_count() == reported_change_) return;
  reported_change_ = entry_.state.directory.change_count();
  hooks_.on_change();
}

}  // namespace waxwingwing
