#include "waxwingwing/core/ingress_budget.h"

#include <algorithm>
#include <utility>

namespace waxwingwing {
namespace {

/// Least waiting time that counts, so that of connections which have just begun to wait the larger
/// ends first.
constexpr milliseconds kMinWait{1};

}  // namespace

bool ingress_budget::IsLarge(const ingress_account& account) const {
  return account.held_ > limits_.small.get();
}

bool ingress_budget::EndsBefore(const ingress_account& left, const ingress_account& right,
                                time_point now) const {
  if (IsLarge(left) != IsLarge(right)) return IsLarge(left);
  const auto product = [now](const ingress_account& account) {
    const duration wait = std::max<duration>(now - *account.waits_since_, kMinWait);
    return static_cast<double>(account.held_) * std::chrono::duration<double>(wait).count();
  };
  return product(left) > product(right);
}

ingress_account* ingress_budget::SelectNext(bool large_only, time_point now) const {
  ingress_account* next = nullptr;
  for (ingress_account* account : waiting_) {
    if (account->held_ == 0 || (large_only && !IsLarge(*account))) continue;
    if (next == nullptr || EndsBefore(*account, *next, now)) next = account;
  }
  return next;
}

void ingress_budget::MakeRoom(ingress_account& grown, time_point now) {
  const bool is_large = IsLarge(grown);
  const auto total = static_cast<double>(limits_.total.get());
  const auto bound = static_cast<std::size_t>(is_large ? total * limits_.large_fraction : total);
  while (held_ > bound) {
    // Requests under way cannot end. When they alone exceed the bound, ending all others would not
    // help.
    if (held_ - (is_large ? large_waiting_bytes_ : waiting_bytes_) > bound) {
      if (grown.waits_since_) End(grown);
      return;
    }
    ingress_account* next = SelectNext(is_large, now);
    if (next == nullptr) return;
    End(*next);
  }
}

void ingress_budget::End(ingress_account& account) {
  ++ended_;
  account.End();
}

void ingress_budget::AddWaiting(const ingress_account& account) {
  waiting_bytes_ += account.held_;
  if (IsLarge(account)) large_waiting_bytes_ += account.held_;
}

void ingress_budget::SubtractWaiting(const ingress_account& account) {
  waiting_bytes_ -= account.held_;
  if (IsLarge(account)) large_waiting_bytes_ -= account.held_;
}

ingress_account::ingress_account(std::shared_ptr<ingress_budget> budget, end_hook end)
    : budget_(std::move(budget)), end_(std::move(end)) {}

ingress_account::~ingress_account() { Release(); }

void ingress_account::BeginWait(time_point now) {
  if (waits_since_ || ended_) return;
  waits_since_ = now;
  budget_->waiting_.insert(this);
  budget_->AddWaiting(*this);
}

void ingress_account::EndWait() {
  if (!waits_since_) return;
  waits_since_.reset();
  budget_->waiting_.erase(this);
  budget_->SubtractWaiting(*this);
}

void ingress_account::Hold(std::size_t bytes, time_point now) {
  if (ended_) return;
  const bool grows = bytes > held_;
  budget_->held_ = budget_->held_ - held_ + bytes;
  if (waits_since_) budget_->SubtractWaiting(*this);
  held_ = bytes;
  if (waits_since_) budget_->AddWaiting(*this);
  if (grows) budget_->MakeRoom(*this, now);
}

void ingress_account::End() {
  const std::size_t bytes = held_;
  ended_ = true;
  Release();
  end_(bytes);
}

void ingress_account::Release() {
  EndWait();
  budget_->held_ -= held_;
  held_ = 0;
}

}  // namespace waxwingwing
