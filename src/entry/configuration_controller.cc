#include "entry/configuration_controller.h"

#include <algorithm>
#include <utility>

#include "platform/record_decoder.h"
#include "waxwingwing/directory/registration_poll_interval.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

constexpr milliseconds kRetryPause{150};
/// Pause after a read that returned records, so that versions in quick succession are read in one
/// batch. The next read returns at once with records written during the pause, so the read's wait
/// remains the longest delay.
constexpr milliseconds kBatchPause{250};
/// Limit of the exponential backoff while the store is unreachable. Its recovery must be noticed
/// within one second.
constexpr milliseconds kLongestRetryPause{600};
/// Fractions of the time after which a configuration must be in force: the longest wait of a read
/// by the controller, and the age of a confirmation at which another VM reads for itself. Two feeds
/// of the controller may be lost in between, and two reads fit into the rest.
constexpr double kControllerWaitFraction = 0.125;
constexpr double kReadAgeFraction = 0.5;
/// Time in which the operators write again what the store has lost in a restore.
constexpr milliseconds kRewriteTime{2500};
/// The part of it in which a VM confirms nothing whose keys are still current. It is shorter, since
/// the keys would lapse for all callers at once, at VMs that knew all changes until the outage.
constexpr milliseconds kUnconfirmedTime{500};
/// Longest wait of a read in that time, in which one answer must follow the other.
constexpr milliseconds kRewriteWait{250};
/// Interval at which a VM checks the age of the last confirmation.
constexpr milliseconds kCheckInterval{250};

milliseconds Fraction(milliseconds time, double fraction) {
  return std::chrono::duration_cast<milliseconds>(time * fraction);
}

}  // namespace

configuration_controller::configuration_controller(entry_context& entry, store_client& store,
                                                   std::function<bool()> is_controller,
                                                   std::function<void()> on_change)
    : entry_(entry),
      store_(store),
      is_controller_(std::move(is_controller)),
      on_change_(std::move(on_change)),
      read_wait_(LongestConfigurationWait(entry.settings.configuration_limit,
                                          entry.settings.revoke_limit)),
      controller_wait_(Fraction(entry.settings.configuration_limit, kControllerWaitFraction)),
      read_age_(Fraction(std::min(entry.settings.configuration_limit, entry.settings.revoke_limit),
                         kReadAgeFraction)),
      pause_(entry.context),
      health_(entry, "operators_records") {}

awaitable<void> configuration_controller::Run() {
  milliseconds retry_pause = kRetryPause;
  while (!entry_.state.stopping || entry_.state.configuration) {
    bool read = false;
    if (!position_ || IsCompleteReadDue()) {
      read = co_await ReadAll();
    } else if (is_controller_()) {
      read = co_await ReadUpdates(controller_wait_);
    } else if (is_behind_) {
      read = co_await ReadUpdates(milliseconds(0));
    } else if (IsReadDue()) {
      read = co_await ReadUpdates(restored_at_ ? kRewriteWait : read_wait_);
    } else {
      co_await pause_.Wait(kCheckInterval);
      continue;
    }
    if (!read) co_await Pause(entry_.context, retry_pause);
    retry_pause = read ? kRetryPause : std::min(retry_pause * 2, kLongestRetryPause);
  }
}

awaitable<bool> configuration_controller::ReadAll() {
  const time_point called_at = entry_.clock.Now();
  const auto page = co_await store_.ReadNewest(store_stream::kOperators);
  if (!page || !page->missing_reason.empty()) {
    health_.Failed(page ? page->missing_reason : page.reason());
    co_return false;
  }
  health_.Succeeded();
  const time_point sent_at = called_at - page->asked_before;
  RecordEra(page->era, entry_.clock.Now());
  if (IsCompleteReadDue()) restored_at_.reset();
  stored_version_ = 0;
  LogRecords(*page, 0, sent_at);
  Apply(*page, !restored_at_);
  position_ = store_position{page->era, page->next};
  if (MayConfirm()) Confirm(sent_at, sent_at);
  co_return true;
}

void configuration_controller::RecordEra(store_era era, time_point now) {
  if (era_ && era != *era_) {
    restored_at_ = now;
    const auto& keys = entry_.state.keys_confirmed_at;
    const bool is_current = keys && now - *keys < entry_.settings.revoke_limit;
    confirms_from_ = now + (is_current ? kUnconfirmedTime : kRewriteTime);
  }
  era_ = era;
}

bool configuration_controller::IsCompleteReadDue() const {
  return restored_at_ && entry_.clock.Now() - *restored_at_ >= kRewriteTime;
}

bool configuration_controller::MayConfirm() const {
  // Without a configuration there is nothing whose age could be confirmed.
  if (!entry_.state.configuration) return false;
  // The newest one may have taken keys away.
  if (is_newest_unreadable_) return false;
  if (!restored_at_) return true;
  return entry_.clock.Now() >= confirms_from_ &&
         stored_version_ >= entry_.state.configuration->version;
}

operators_view configuration_controller::View() const {
  if (!position_) return {};
  return {*position_, entry_.state.configuration_confirmed_at, entry_.state.keys_confirmed_at};
}

void configuration_controller::OnControllerView(const operators_view& view) {
  if (!position_ || !view.confirmed_at || view.next < *position_) return;
  if (view.next > *position_) {
    if (!announced_ || *announced_ < view.next) {
      announced_ = view.next;
      entry_.log.Write(
          "operators_records_announced",
          {{"next", view.next.offset}, {"era", view.next.era.get()}, {"known", position_->offset}});
    }
    is_behind_ = true;
    return pause_.Wake();
  }
  if (MayConfirm()) Confirm(*view.confirmed_at, view.earliest_confirmation.value_or(time_point()));
}

void configuration_controller::Confirm(time_point at, time_point earliest) {
  auto& confirmed = entry_.state.configuration_confirmed_at;
  confirmed = std::max(confirmed.value_or(at), at);
  auto& keys = entry_.state.keys_confirmed_at;
  keys = std::max(keys.value_or(earliest), earliest);
}

bool configuration_controller::IsReadDue() const {
  const auto& confirmed = entry_.state.configuration_confirmed_at;
  const auto& keys = entry_.state.keys_confirmed_at;
  const time_point now = entry_.clock.Now();
  if (!confirmed || now - *confirmed > read_age_) return true;
  return !keys || now - *keys > entry_.settings.revoke_limit * kReadAgeFraction;
}

awaitable<bool> configuration_controller::ReadUpdates(milliseconds wait) {
  const time_point called_at = entry_.clock.Now();
  is_behind_ = false;
  const auto page = co_await store_.ReadFrom(store_stream::kOperators, position_->offset, wait);
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  health_.Succeeded();
  if (page->trimmed || page->era != position_->era || page->end < position_->offset) {
    entry_.log.Write("history_trimmed", {{"stream", "operators"},
                                         {"offset", position_->offset},
                                         {"era", position_->era.get()},
                                         {"store_era", page->era.get()}});
    position_.reset();
    co_return true;
  }
  const time_point sent_at = called_at - page->asked_before;
  if (!page->records.empty()) LogRecords(*page, position_->offset, sent_at);
  Apply(*page, false);
  position_->offset = page->next;
  // A page holds only a part of many large records; older ones confirm nothing.
  if (page->next < page->end) {
    is_behind_ = true;
    co_return !page->records.empty();
  }
  // The store returns an empty page only after the full wait, so there was no new record until
  // then.
  const bool waited = page->records.empty() && page->asked_before == duration::zero() &&
                      entry_.clock.Now() - called_at >= wait;
  const time_point confirmed_at = waited ? sent_at + wait : sent_at;
  if (MayConfirm()) Confirm(confirmed_at, confirmed_at);
  if (!page->records.empty()) co_await Pause(entry_.context, kBatchPause);
  co_return true;
}

void configuration_controller::Apply(const store_page& page, bool is_complete) {
  if (is_complete) evacuated_.clear();
  for (const store_record& record : page.records) {
    const operator_key key = DecodeOperatorKey(record.key);
    if (key.is_configuration && record.value) ApplyConfiguration(*record.value);
    if (!key.evacuated) continue;
    if (record.value) {
      evacuated_.insert(*key.evacuated);
    } else {
      evacuated_.erase(*key.evacuated);
    }
  }
  if (evacuated_ == entry_.state.directory.evacuated()) return;
  entry_.state.directory.SetEvacuated(evacuated_);
  std::string names;
  for (const failure_domain_id& domain : evacuated_) names += domain.str() + " ";
  entry_.log.Write("evacuation_changed", {{"domains", names}});
  on_change_();
}

void configuration_controller::LogRecords(const store_page& page, std::uint64_t from,
                                          time_point asked_at) const {
  std::size_t bytes = 0;
  for (const store_record& record : page.records) bytes += record.value.value_or("").size();
  entry_.log.Write("operators_records_received", {{"from", from},
                                                  {"next", page.next},
                                                  {"end", page.end},
                                                  {"era", page.era.get()},
                                                  {"records", page.records.size()},
                                                  {"bytes", bytes},
                                                  {"asked_ms_ago", entry_.clock.Now() - asked_at}});
}

void configuration_controller::ApplyConfiguration(const std::string& text) {
  auto decoded = DecodeConfiguration(text);
  is_newest_unreadable_ = !decoded;
  if (!decoded) {
    entry_.metrics.Counter("waxwingwing_unreadable_records_total", {{"stream", "operators"}})
        .Increment();
    entry_.log.Write("configuration_unreadable", {{"reason", decoded.reason()}});
    return;
  }
  stored_version_ = (*decoded)->version;
  const auto& current = entry_.state.configuration;
  // After the store has lost history, an older record must not replace a newer version.
  if (current && (*decoded)->version <= current->version) return;
  entry_.log.Write("configuration_changed", {{"version", (*decoded)->version},
                                             {"previous", current ? current->version : 0},
                                             {"routes", (*decoded)->RouteCount()},
                                             {"organisations", (*decoded)->OrganisationCount()},
                                             {"needs_keys", (*decoded)->NeedsKeys()}});
  entry_.metrics.Gauge("waxwingwing_configuration_version")
      .Set(static_cast<std::int64_t>((*decoded)->version));
  entry_.state.configuration = *decoded;
  on_change_();
}

}  // namespace waxwingwing
