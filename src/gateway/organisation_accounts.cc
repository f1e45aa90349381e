#include "gateway/organisation_accounts.h"

namespace waxwingwing {

std::shared_ptr<buffer_account> organisation_accounts::Find(
    const organisation_config& organisation) {
  const std::lock_guard lock(mutex_);
  auto& account = accounts_[organisation.id];
  if (account == nullptr) {
    account = std::make_shared<buffer_account>(organisation.max_buffer_bytes, process_);
  }
  account->SetLimit(organisation.max_buffer_bytes);
  return account;
}

void organisation_accounts::Export(gateway_metrics& metrics) const {
  metrics.SetBufferedTotal(static_cast<std::int64_t>(process_->used().get()));
  const std::lock_guard lock(mutex_);
  for (const auto& [organisation, account] : accounts_) {
    metrics.SetBuffered(organisation, static_cast<std::int64_t>(account->used().get()));
  }
}

}  // namespace waxwingwing
