#include "waxwingwing/duty/usage_ledger.h"

#include <algorithm>
#include <charconv>

namespace waxwingwing {
namespace {

/// Reads a number that ends with a line break and removes both from the text.
std::optional<std::uint64_t> TakeNumber(std::string_view& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != '\n') return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
  return number;
}

/// Whether the records are those of one moment: the newest one ends the stream.
bool IsComplete(std::uint64_t end, const std::vector<usage_record>& records) {
  std::uint64_t last = 0;
  for (const usage_record& record : records) last = std::max(last, record.offset + 1);
  return last == end;
}

}  // namespace

std::string usage_record::Encode() const {
  return std::to_string(offset) + "\n" + std::to_string(window) + "\n" + body;
}

std::optional<usage_record> usage_record::Decode(std::string_view text) {
  const auto offset = TakeNumber(text);
  const auto window = offset ? TakeNumber(text) : std::nullopt;
  if (!window) return std::nullopt;
  return usage_record{*window, *offset, std::string(text)};
}

milliseconds usage_ledger::StartOf(std::uint64_t window) const {
  return options_.window * static_cast<milliseconds::rep>(window);
}

std::uint64_t usage_ledger::OldestOpen(milliseconds time) const {
  const milliseconds ended = std::max(time - options_.due, milliseconds(0));
  return static_cast<std::uint64_t>(ended / options_.window);
}

void usage_ledger::ObserveEra(store_era era, milliseconds time) {
  if (era <= era_) return;
  era_ = era;
  era_seen_at_ = time;
  unknown_ = true;
}

void usage_ledger::Hold(std::uint64_t term) {
  if (term == term_) return;
  term_ = term;
  unknown_ = true;
}

std::optional<std::uint64_t> usage_ledger::Unfixed(milliseconds time) const {
  std::uint64_t window = OldestOpen(time);
  if (newest_fixed_) window = std::max(window, *newest_fixed_ + 1);
  const milliseconds first_start = era_seen_at_ + options_.window - milliseconds(1);
  window = std::max(window, static_cast<std::uint64_t>(first_start / options_.window));
  if (EndOf(window) + options_.settle > time) return std::nullopt;
  return window;
}

usage_action usage_ledger::Next(milliseconds time) const {
  if (term_ == 0) return {};
  if (time >= no_store_before_) {
    if (unknown_ || read_era_ != era_) return {usage_step::kRead};
    const auto unfixed = Unfixed(time);
    if (unfixed) return {usage_step::kFix, *unfixed, end_};
  }
  const auto unsent = time >= no_call_before_ ? Unsent(time) : std::nullopt;
  if (unsent) return {usage_step::kSend, *unsent};
  return {};
}

std::optional<std::uint64_t> usage_ledger::Unsent(milliseconds time) const {
  std::optional<std::uint64_t> next;
  for (const auto& [window, known] : reports_) {
    if (known.accepted || IsGivenUp(window, time)) continue;
    // Repeats of a report whose answers are late must not delay the reports after it.
    if (!next || known.attempts < reports_.at(*next).attempts) next = window;
  }
  return next;
}

void usage_ledger::RecordRead(store_era era, std::uint64_t end,
                              const std::vector<usage_record>& records, milliseconds time) {
  if (era != era_ || !IsComplete(end, records)) return RecordStoreFailure(time);
  unknown_ = false;
  read_era_ = era;
  end_ = end;
  newest_fixed_.reset();
  for (const usage_record& record : records) {
    newest_fixed_ = std::max(newest_fixed_.value_or(0), record.window);
    // After a restore, the record of an earlier window may come from an append that was late.
    if (!IsOfEra(record.window) || IsGivenUp(record.window, time)) continue;
    reports_.try_emplace(record.window, report{record.body});
  }
}

void usage_ledger::RecordStoreFailure(milliseconds time) {
  unknown_ = true;
  no_store_before_ = time + options_.pause;
}

void usage_ledger::RecordAppended(const usage_record& record, store_era era) {
  if (era != era_ || era != read_era_ || unknown_) return RecordConflict();
  end_ = record.offset + 1;
  newest_fixed_ = record.window;
  reports_.try_emplace(record.window, report{record.body});
}

void usage_ledger::RecordSent(std::uint64_t window, duty_outcome outcome, milliseconds time) {
  report& sent = reports_.at(window);
  ++sent.attempts;
  if (outcome == duty_outcome::kAccepted) {
    sent.accepted = true;
    call_pause_ = milliseconds(0);
    return;
  }
  call_pause_ = std::clamp(call_pause_ * 2, options_.pause, options_.longest_pause);
  no_call_before_ = time + call_pause_;
}

std::vector<std::uint64_t> usage_ledger::TakeAbandoned(milliseconds time) {
  std::vector<std::uint64_t> abandoned;
  while (!reports_.empty()) {
    const auto oldest = reports_.begin();
    if (!IsGivenUp(oldest->first, time)) break;
    if (!oldest->second.accepted) abandoned.push_back(oldest->first);
    reports_.erase(oldest);
  }
  return abandoned;
}

}  // namespace waxwingwing
