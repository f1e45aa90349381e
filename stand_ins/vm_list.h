#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "stand_ins/stand_in.h"

namespace waxwingwing::stand_ins {

/// Stand-in of kind `vm_list`: the platform's list of VMs. Changes become visible after `--lag_ms`.
class vm_list final : public stand_in {
 public:
  explicit vm_list(asio::io_context& context) : stand_in(context) {}

 private:
  struct change {
    time_point visible_at;
    std::string id;
    /// The new entry; empty when the entry is removed.
    std::optional<json> entry;
  };

  awaitable<void> HandleRequest(http_exchange& exchange) override;
  void AddChange(const std::string& id, std::optional<json> entry);
  /// Applies the changes that are due and returns the entries that are visible now.
  json VisibleEntries();

  std::map<std::string, json> visible_entries_;
  std::deque<change> changes_;
};

}  // namespace waxwingwing::stand_ins
