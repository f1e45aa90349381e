#include "entry/directory_controller.h"

#include <set>
#include <utility>

#include "platform/record_decoder.h"

namespace waxwingwing {
namespace {

/// Longest wait of one read; the store answers as soon as a registration changes. A connection that
/// fell silent is noticed half a second after it, and a server that leaves may get requests for 2
/// s.
constexpr milliseconds kReadWait{900};
/// Least time between reads: many servers register at once, and groups change together.
constexpr milliseconds kReadInterval{150};
constexpr milliseconds kRetryPause{200};
/// After the store was away, servers that live are registered again within this time.
constexpr milliseconds kReturnTime{2500};
/// A gap in the reads after which removals may stem from an outage of the store.
constexpr milliseconds kOutageGap{3000};

}  // namespace

directory_controller::directory_controller(entry_context& entry, store_client& store,
                                           std::function<void()> on_change)
    : entry_(entry),
      store_(store),
      on_change_(std::move(on_change)),
      health_(entry, "server_registrations") {}

awaitable<void> directory_controller::Run() {
  for (;;) {
    bool read = false;
    if (offset_) {
      read = co_await ReadOn();
    } else {
      read = co_await ReadAll();
    }
    const milliseconds pause = read ? kReadInterval : kRetryPause;
    co_await Pause(entry_.context, pause);
  }
}

duration directory_controller::RemovalDelay(time_point now) const {
  const auto& confirmed = entry_.state.directory_confirmed_at;
  const bool was_away = confirmed && now - *confirmed > kOutageGap;
  const bool just_back = health_.regained_at() && now - *health_.regained_at() < kReturnTime;
  return health_.is_lost() || was_away || just_back ? duration(kReturnTime) : duration::zero();
}

milliseconds directory_controller::ReadWait() const {
  // Removals that are held back must not wait for the next change.
  return entry_.state.directory.HasPendingRemovals() ? milliseconds(300) : kReadWait;
}

awaitable<bool> directory_controller::ReadAll() {
  const time_point sent_at = entry_.clock.Now();
  const auto page = co_await store_.ReadNewest(store_stream::kServers);
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  const time_point now = entry_.clock.Now();
  const duration delay = RemovalDelay(now);
  health_.Succeeded();
  std::set<backend_server_id> listed;
  for (const store_record& record : page->records) {
    if (record.value) listed.insert(backend_server_id(record.key));
    Apply(record, now);
  }
  entry_.state.directory.RemoveAllBut(listed, now, delay);
  offset_ = page->next;
  FinishRead(sent_at);
  co_return true;
}

awaitable<bool> directory_controller::ReadOn() {
  const time_point sent_at = entry_.clock.Now();
  const auto page = co_await store_.ReadFrom(store_stream::kServers, *offset_, ReadWait());
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  const time_point now = entry_.clock.Now();
  if (page->trimmed || page->end < *offset_) {
    entry_.log.Write("history_trimmed", {{"stream", "servers"}, {"offset", *offset_}});
    offset_.reset();
    co_return co_await ReadAll();
  }
  const duration delay = RemovalDelay(now);
  health_.Succeeded();
  entry_.metrics.Counter("waxwingwing_registrations_read_total").Increment(page->records.size());
  for (const store_record& record : page->records) {
    if (!record.value) entry_.state.directory.Remove(backend_server_id(record.key), now, delay);
    Apply(record, now);
  }
  offset_ = page->next;
  FinishRead(sent_at);
  co_return true;
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
  const bool news = known == nullptr || known->server.draining != server->draining ||
                    known->server.membership != server->membership;
  if (news) {
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

void directory_controller::FinishRead(time_point sent_at) {
  entry_.state.directory_confirmed_at = sent_at;
  for (const backend_server_id& id : entry_.state.directory.ApplyDueRemovals(entry_.clock.Now())) {
    entry_.log.Write("server_removed", {{"server", id.str()}});
  }
  if (entry_.state.directory.change_count() == reported_change_) return;
  reported_change_ = entry_.state.directory.change_count();
  on_change_();
}

}  // namespace waxwingwing
