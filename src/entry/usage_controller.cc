#include "entry/usage_controller.h"

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

constexpr milliseconds kStepInterval{100};
constexpr milliseconds kTimeInterval{1000};
/// Part of the time until a report is due after which it is fixed.
constexpr int kSettlePart = 3;
/// Number of records that the store keeps. Windows are fixed in ascending order, so a record is
/// replaced long after its report was due.
constexpr std::uint64_t kRecordKeys = 16;

usage_ledger_options LedgerOptions(const duty_settings& settings) {
  usage_ledger_options options;
  options.window = settings.usage_window;
  options.due = settings.usage_due;
  options.settle = settings.usage_due / kSettlePart;
  options.give_up = settings.usage_due + settings.usage_window;
  return options;
}

std::string KeyOf(std::uint64_t window) { return std::to_string(window % kRecordKeys); }

std::string_view NameOf(duty_outcome outcome) {
  static constexpr std::array<std::string_view, 3> kNames = {"accepted", "refused", "unknown"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace

usage_controller::usage_controller(entry_context& entry, store_client& store, duty_channel& duties)
    : entry_(entry),
      store_(store),
      duties_(duties),
      table_(incarnation(random_source::FromDevice().Next()), entry.settings.duties->usage_window),
      ledger_(LedgerOptions(*entry.settings.duties)),
      store_health_(entry, "usage_records"),
      platform_health_(entry, "duty_interface") {
  ObserveTime();
}

void usage_controller::ObserveTime() {
  time_observed_at_ = entry_.clock.Now();
  const auto time_of_day = std::chrono::system_clock::now().time_since_epoch();
  time_.Observe(time_observed_at_, std::chrono::duration_cast<milliseconds>(time_of_day));
}

milliseconds usage_controller::Time() const {
  return time_.At(entry_.clock.Now()).value_or(milliseconds(0));
}

void usage_controller::OnRequestBegun(const organisation_id& organisation) {
  table_.Count(organisation, Time());
}

void usage_controller::OnEntries(const std::vector<usage_entry>& entries) {
  table_.Merge(entries, ledger_.OldestOpen(Time()), Time());
}

std::vector<usage_entry> usage_controller::TakeChanges(bool for_new_receiver) {
  if (for_new_receiver) table_.MarkAllChanged();
  return table_.TakeChanges(Time());
}

void usage_controller::OnEra(store_era era) { ledger_.ObserveEra(era, Time()); }

awaitable<void> usage_controller::Run() {
  for (;;) {
    if (entry_.clock.Now() - time_observed_at_ >= kTimeInterval) ObserveTime();
    table_.RemoveBefore(ledger_.OldestOpen(Time()));
    LogAbandoned();
    if (duties_.IsHolder()) {
      ledger_.Hold(duties_.term());
      co_await Step();
    }
    co_await Pause(entry_.context, kStepInterval);
  }
}

awaitable<void> usage_controller::Step() {
  const usage_action action = ledger_.Next(Time());
  if (action.step == usage_step::kRead) co_await Read();
  if (action.step == usage_step::kFix) co_await Fix(action);
  if (action.step == usage_step::kSend) co_await SendReport(action.window);
}

awaitable<void> usage_controller::Read() {
  const auto page = co_await store_.ReadNewest(store_stream::kUsage);
  if (!page || !page->missing_reason.empty()) {
    store_health_.Failed(page ? page->missing_reason : page.reason());
    ledger_.RecordStoreFailure(Time());
    co_return;
  }
  store_health_.Succeeded();
  std::vector<usage_record> records;
  for (const store_record& stored : page->records) {
    auto record = usage_record::Decode(stored.value.value_or(std::string()));
    if (record) records.push_back(*std::move(record));
  }
  ledger_.RecordRead(page->era, page->end, records, Time());
}

awaitable<void> usage_controller::Fix(usage_action action) {
  const usage_counts counts = table_.Sum(action.window);
  const usage_record record{action.window, action.offset,
                            duty_client::EncodeUsage(action.window, counts)};
  const auto outcome = co_await store_.AppendAt(store_stream::kUsage, KeyOf(action.window),
                                                record.Encode(), action.offset);
  if (!outcome) {
    store_health_.Failed(outcome.reason());
    ledger_.RecordStoreFailure(Time());
    co_return;
  }
  store_health_.Succeeded();
  if (outcome->appended) {
    ledger_.RecordAppended(record, outcome->era);
  } else {
    ledger_.RecordConflict();
  }
  std::uint64_t requests = 0;
  for (const auto& [organisation, count] : counts) requests += count;
  entry_.log.Write("usage_fixed", {{"window", action.window},
                                   {"done", outcome->appended},
                                   {"offset", action.offset},
                                   {"era", outcome->era.get()},
                                   {"organisations", counts.size()},
                                   {"requests", requests},
                                   {"processes", table_.Counters(action.window)}});
}

awaitable<void> usage_controller::SendReport(std::uint64_t window) {
  const std::string body = ledger_.BodyOf(window);
  const auto holder = duties_.TryBeginCall();
  if (!holder) co_return;
  const time_point began_at = entry_.clock.Now();
  const duty_outcome outcome = co_await duties_.client().ReportUsage(*holder, body);
  const std::string name(NameOf(outcome));
  if (outcome == duty_outcome::kAccepted) {
    platform_health_.Succeeded();
  } else {
    platform_health_.Failed(name);
  }
  ledger_.RecordSent(window, outcome, Time());
  entry_.metrics.Counter("waxwingwing_usage_reports_total", {{"outcome", name}}).Increment();
  entry_.log.Write("usage_sent", {{"window", window},
                                  {"outcome", name},
                                  {"fence", holder->fence},
                                  {"took_ms", entry_.clock.Now() - began_at}});
}

void usage_controller::LogAbandoned() {
  for (const std::uint64_t window : ledger_.TakeAbandoned(Time())) {
    // Another holder may have sent what this one has not.
    if (!duties_.IsHolder()) continue;
    entry_.metrics.Counter("waxwingwing_usage_abandoned_total").Increment();
    entry_.log.Write("usage_abandoned", {{"window", window}});
  }
}

}  // namespace waxwingwing
