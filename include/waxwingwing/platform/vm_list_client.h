#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "waxwingwing/core/finding.h"
#include "waxwingwing/core/result.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/membership/vm_entry.h"
#include "waxwingwing/platform/http_client.h"

namespace waxwingwing {

/// The valid rows of the platform's VM list, and the errors of the rows that were skipped.
struct vm_list {
  std::vector<vm_entry> entries;
  finding_list faults;
};

/// Client of the platform's VM list. Never throws; a malformed answer yields a failure with its
/// reason.
class vm_list_client {
 public:
  /// `http` must outlive the client. `address` is `ip:port`.
  vm_list_client(http_client& http, std::string address, milliseconds timeout);

  boost::asio::awaitable<result<vm_list>> Read();

 private:
  http_client& http_;
  std::string address_;
  milliseconds timeout_;
};

/// Parses the body of the VM list. Fails only when the body contains no list; an invalid row, or
/// a second row with an id that already occurred, is skipped and reported in `faults`.
result<vm_list> ParseVmList(std::string_view text);

}  // namespace waxwingwing
