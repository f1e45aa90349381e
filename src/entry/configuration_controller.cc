#include "entry/configuration_controller.h"

#include <algorithm>
#include <utility>

#include "platform/record_decoder.h"
#include "waxwingwing/core/hash.h"
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
/// Interval at which a VM asks for records that it lacks.
constexpr milliseconds kRequestInterval{250};
/// Fraction of the time after which a configuration must be in force for which a VM waits for
/// records to be passed on; VMs wait for up to twice as long, so that those which get none do not
/// read the store at one moment.
constexpr double kPassOnFraction = 0.125;
/// Number of records up to which a VM reads what it lacks instead of the newest of each key.
constexpr std::uint64_t kMaxRecordsInBetween = 2;

milliseconds Fraction(milliseconds time, double fraction) {
  return std::chrono::duration_cast<milliseconds>(time * fraction);
}

duration PassOnLimit(const entry_settings& settings) {
  constexpr std::uint64_t steps = 1024;
  const double spread =
      static_cast<double>(StableHash(settings.vm.str(), 3) % steps) / static_cast<double>(steps);
  return Fraction(settings.configuration_limit, kPassOnFraction * (1 + spread));
}

}  // namespace

configuration_controller::configuration_controller(entry_context& entry, store_client& store,
                                                   hooks hooks)
    : entry_(entry),
      store_(store),
      hooks_(std::move(hooks)),
      read_wait_(LongestConfigurationWait(entry.settings.configuration_limit,
                                          entry.settings.revoke_limit)),
      controller_wait_(Fraction(entry.settings.configuration_limit, kControllerWaitFraction)),
      read_age_(Fraction(std::min(entry.settings.configuration_limit, entry.settings.revoke_limit),
                         kReadAgeFraction)),
      pass_on_limit_(PassOnLimit(entry.settings)),
      pause_(entry.context),
      health_(entry, "operators_records") {}

awaitable<void> configuration_controller::Run() {
  milliseconds retry_pause = kRetryPause;
  while (!entry_.state.stopping || entry_.state.configuration) {
    bool read = false;
    if (!position_ || IsCompleteReadDue()) {
      read = co_await ReadAll();
    } else if (hooks_.is_controller()) {
      read = co_await ReadUpdates(controller_wait_);
    } else if (behind_since_) {
      read = co_await CatchUp();
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

awaitable<bool> configuration_controller::CatchUp() {
  const bool may_be_passed_on = entry_.clock.Now() - *behind_since_ < pass_on_limit_;
  if (may_be_passed_on && RequestUpdate()) {
    co_await pause_.Wait(kRequestInterval);
    co_return true;
  }
  const std::uint64_t known_end = announced_ ? announced_->offset : 0;
  // The newest record of each key is less than all records in between.
  if (known_end > position_->offset + kMaxRecordsInBetween) co_return co_await ReadAll();
  co_return co_await ReadUpdates(milliseconds(0));
}

bool configuration_controller::RequestUpdate() {
  const time_point now = entry_.clock.Now();
  if (requested_at_ && now - *requested_at_ < kRequestInterval) return true;
  const bool is_asked = hooks_.request(position_);
  if (!is_asked) return false;
  requested_at_ = now;
  entry_.log.Write("operators_records_requested",
                   {{"known", position_ ? position_->offset : 0}, {"has_records", !!position_}});
  return true;
}

void configuration_controller::SetBehind() {
  if (!behind_since_) behind_since_ = entry_.clock.Now();
}

void configuration_controller::Advance(store_position next) {
  position_ = next;
  behind_since_.reset();
  if (announced_ && *announced_ > next) SetBehind();
  hooks_.on_records();
}

void configuration_controller::OnUpdate(const operators_update& update) {
  // After a restore each VM finds out itself what the store has lost.
  const bool has_read_era = !era_ || *era_ == update.next.era;
  if (restored_at_ || !has_read_era || update.next.era != store_.era()) return;
  const bool leads_on =
      position_ ? update.next > *position_ && update.from <= position_ : !update.from.has_value();
  if (!leads_on) return;
  if (!era_) era_ = update.next.era;
  LogRecords("vm", update.records, update.from ? update.from->offset : 0, update.next,
             requested_at_);
  Apply(update.records, !update.from);
  if (update.from) {
    snapshot_.Add(update.records, update.next);
  } else {
    snapshot_.Replace(update.records, update.next);
  }
  Advance(update.next);
  pause_.Wake();
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
  const store_position next{page->era, page->next};
  // More may have been passed on meanwhile.
  if (position_ && position_->era == next.era && *position_ > next) co_return true;
  stored_version_ = 0;
  LogRecords("store", page->records, 0, next, sent_at);
  Apply(page->records, !restored_at_);
  snapshot_.Replace(page->records, next);
  Advance(next);
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
  if (!position_) {
    RequestUpdate();
    return;
  }
  if (!view.confirmed_at || view.next < *position_) return;
  if (view.next > *position_) {
    if (!announced_ || *announced_ < view.next) {
      announced_ = view.next;
      entry_.log.Write(
          "operators_records_announced",
          {{"next", view.next.offset}, {"era", view.next.era.get()}, {"known", position_->offset}});
    }
    SetBehind();
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
  const store_position from = *position_;
  const auto page = co_await store_.ReadFrom(store_stream::kOperators, from.offset, wait);
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  health_.Succeeded();
  if (page->trimmed || page->era != from.era || page->end < from.offset) {
    entry_.log.Write("history_trimmed", {{"stream", "operators"},
                                         {"offset", from.offset},
                                         {"era", from.era.get()},
                                         {"store_era", page->era.get()}});
    position_.reset();
    behind_since_.reset();
    snapshot_.Clear();
    co_return true;
  }
  const time_point sent_at = called_at - page->asked_before;
  const store_position next{page->era, page->next};
  // More may have been passed on meanwhile.
  if (next < *position_) co_return true;
  if (!page->records.empty()) {
    LogRecords("store", page->records, from.offset, next, sent_at);
    Apply(page->records, false);
    snapshot_.Add(page->records, next);
    Advance(next);
  }
  // Reads may be older than what the controller has told; it tells again.
  if (page->records.empty()) behind_since_.reset();
  // A page holds only a part of many large records; older ones confirm nothing.
  if (page->next < page->end) {
    announced_ = std::max(announced_.value_or(next), store_position{page->era, page->end});
    SetBehind();
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

void configuration_controller::Apply(const std::vector<store_record>& records, bool is_complete) {
  if (is_complete) evacuated_.clear();
  for (const store_record& record : records) {
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
  hooks_.on_change();
}

void configuration_controller::LogRecords(std::string_view source,
                                          const std::vector<store_record>& records,
                                          std::uint64_t from, store_position next,
                                          std::optional<time_point> asked_at) const {
  std::size_t bytes = 0;
  for (const store_record& record : records) bytes += record.value ? record.value->size() : 0;
  const duration asked_ago = asked_at ? entry_.clock.Now() - *asked_at : duration::zero();
  entry_.log.Write("operators_records_received", {{"source", source},
                                                  {"from", from},
                                                  {"next", next.offset},
                                                  {"era", next.era.get()},
                                                  {"records", records.size()},
                                                  {"bytes", bytes},
                                                  {"asked_ms_ago", asked_ago}});
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
  hooks_.on_change();
}

}  // namespace waxwingwing
