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

}  // namespace

configuration_controller::configuration_controller(entry_context& entry, store_client& store,
                                                   std::function<void()> on_change)
    : entry_(entry),
      store_(store),
      on_change_(std::move(on_change)),
      read_wait_(LongestConfigurationWait(entry.settings.configuration_limit,
                                          entry.settings.revoke_limit)),
      health_(entry, "operators_records") {}

awaitable<void> configuration_controller::Run() {
  milliseconds retry_pause = kRetryPause;
  while (!entry_.state.stopping || entry_.state.configuration) {
    bool read = false;
    if (offset_) {
      read = co_await ReadUpdates();
    } else {
      read = co_await ReadAll();
    }
    if (!read) co_await Pause(entry_.context, retry_pause);
    retry_pause = read ? kRetryPause : std::min(retry_pause * 2, kLongestRetryPause);
  }
}

awaitable<bool> configuration_controller::ReadAll() {
  const time_point sent_at = entry_.clock.Now();
  const auto page = co_await store_.ReadNewest(store_stream::kOperators);
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  health_.Succeeded();
  Apply(*page, true);
  offset_ = page->next;
  // Without a configuration there is nothing whose age could be confirmed: read from scratch.
  if (!entry_.state.configuration) offset_.reset();
  if (offset_) entry_.state.configuration_confirmed_at = sent_at;
  co_return offset_.has_value();
}

awaitable<bool> configuration_controller::ReadUpdates() {
  const time_point sent_at = entry_.clock.Now();
  const auto page = co_await store_.ReadFrom(store_stream::kOperators, *offset_, read_wait_);
  if (!page) {
    health_.Failed(page.reason());
    co_return false;
  }
  health_.Succeeded();
  if (page->trimmed || page->end < *offset_) {
    entry_.log.Write("history_trimmed", {{"stream", "operators"}, {"offset", *offset_}});
    offset_.reset();
    co_return true;
  }
  Apply(*page, false);
  offset_ = page->next;
  // The store returns an empty page only after the full wait, so there was no new record until
  // then.
  const bool waited = page->records.empty() && entry_.clock.Now() - sent_at >= read_wait_;
  entry_.state.configuration_confirmed_at = waited ? sent_at + read_wait_ : sent_at;
  if (!page->records.empty()) co_await Pause(entry_.context, kBatchPause);
  co_return true;
}

void configuration_controller::Apply(const store_page& page, bool is_snapshot) {
  if (is_snapshot) evacuated_.clear();
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

void configuration_controller::ApplyConfiguration(const std::string& text) {
  auto decoded = DecodeConfiguration(text);
  if (!decoded) {
    entry_.metrics.Counter("waxwingwing_unreadable_records_total", {{"stream", "operators"}})
        .Increment();
    entry_.log.Write("configuration_unreadable", {{"reason", decoded.reason()}});
    return;
  }
  const auto& current = entry_.state.configuration;
  // After the store has lost history, an older record must not replace a newer version.
  if (current && (*decoded)->version <= current->version) return;
  entry_.log.Write("configuration_changed", {{"version", (*decoded)->version},
                                             {"previous", current ? current->version : 0},
                                             {"routes", (*decoded)->RouteCount()}});
  entry_.metrics.Gauge("waxwingwing_configuration_version")
      .Set(static_cast<std::int64_t>((*decoded)->version));
  entry_.state.configuration = *decoded;
  on_change_();
}

}  // namespace waxwingwing
