#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "gateway/gateway_metrics.h"
#include "waxwingwing/config/configuration.h"
#include "waxwingwing/streaming/buffer_account.h"

namespace waxwingwing {

/// Buffer accounts of all organisations, with the account of the process as their parent.
/// Thread-safe.
class organisation_accounts {
 public:
  explicit organisation_accounts(byte_count process_limit)
      : process_(std::make_shared<buffer_account>(process_limit)) {}

  /// Returns the organisation's account, with its limit updated from the configuration.
  std::shared_ptr<buffer_account> Find(const organisation_config& organisation);
  /// Sets the gauges of buffered bytes.
  void Export(gateway_metrics& metrics) const;

 private:
  std::shared_ptr<buffer_account> process_;
  mutable std::mutex mutex_;
  std::map<organisation_id, std::shared_ptr<buffer_account>> accounts_;
};

}  // namespace waxwingwing
