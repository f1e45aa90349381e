#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/core/units.h"
#include "waxwingwing/directory/backend_server.h"

namespace waxwingwing {

/// What a backend server states about itself in a response.
struct server_notice {
  /// The server is leaving; it states so in all its responses from then on.
  bool leaving = false;
  /// Time for which the server wants no request from this VM; only in refusals.
  std::optional<milliseconds> rest;
  /// Requests a second that the server takes from all VMs together.
  std::optional<double> rate_limit;
  /// Whether a response without a rate limit states that there is none, as a server's own answer
  /// does.
  bool states_rate_limit = false;
};

/// A server's last statement about the rate of requests that it takes from all VMs together.
struct rate_limit_statement {
  backend_server_id server;
  /// Start of the incarnation that made the statement, as a Unix time in milliseconds.
  std::uint64_t born = 0;
  /// Requests a second; empty: the server no longer states a limit.
  std::optional<double> rate;
  time_point stated_at{};
};

/// Limits of a `server_notices`.
struct server_notice_options {
  /// Longest time for which a server may ask to get no requests; longer ones are cut to it.
  milliseconds max_rest{60000};
  /// Extra time without requests, as a fraction of a rest, over which the returns of VMs are
  /// spread.
  double rest_spread = 0.1;
  milliseconds max_rest_spread{500};
  /// How long a rate limit applies after its last statement.
  std::chrono::seconds rate_limit_lifetime{60};
  /// How long the notices of a server are kept that is not registered.
  std::chrono::seconds unregistered_lifetime{600};
  std::size_t max_servers = 4096;
};

/// What backend servers have stated about themselves, by server and incarnation.
///
/// A server that starts again, which its registration shows, begins without notices. Notices
/// outlive a registration that has lapsed. Use from one thread.
class server_notices {
 public:
  explicit server_notices(const server_notice_options& options = {}) : options_(options) {}

  /// Which notices of a response were news.
  struct changes {
    bool leaving = false;
    /// End of a rest that is later than the known one.
    std::optional<time_point> rests_until;
    /// Whether the rate limit has changed.
    bool rate_limit = false;
  };

  /// Records the notice of a server's incarnation `born`. `spread`, from 0 to 1, is this VM's
  /// random part of the extra time after a rest.
  changes Record(const backend_server_id& server, std::uint64_t born, const server_notice& notice,
                 double spread, time_point now);

  /// Whether no server has stated anything; almost always so on a calm day.
  bool empty() const { return notices_.empty(); }
  bool IsLeaving(const backend_server_id& server, std::uint64_t born) const;
  /// End of the time for which the server wants no request from this VM; empty when it is over.
  std::optional<time_point> RestsUntil(const backend_server_id& server, std::uint64_t born,
                                       time_point now) const;

  /// Requests a second that the server takes from all VMs together; empty when it states no limit.
  std::optional<double> RateLimit(const backend_server_id& server, std::uint64_t born,
                                  time_point now) const;
  /// The last statements about rates of all servers that have stated a limit recently.
  std::vector<rate_limit_statement> RateLimits(time_point now) const;
  /// Adds the statements that other VMs have received; the latest one of a server applies.
  void MergeRateLimits(const std::vector<rate_limit_statement>& statements, time_point now);

  /// Removes notices of servers for which `is_known` returns false after some time.
  void Prune(const std::function<bool(const backend_server_id&)>& is_known, time_point now);

 private:
  struct known_notices {
    std::uint64_t born = 0;
    bool leaving = false;
    std::optional<time_point> rests_until;
    std::optional<double> rate_limit;
    /// When the last limit, and the last statement about a limit, was made.
    std::optional<time_point> limited_at;
    std::optional<time_point> rate_stated_at;
    time_point updated_at{};
  };

  const known_notices* Find(const backend_server_id& server, std::uint64_t born) const;
  /// The notices of an incarnation; null for an incarnation before the known one.
  known_notices* FindOrAdd(const backend_server_id& server, std::uint64_t born, time_point now);
  void RecordRateLimit(known_notices& known, const std::optional<double>& rate,
                       time_point stated_at) const;
  /// Whether the limit, or its end, must still be known to VMs.
  bool IsRateLimitRecent(const known_notices& known, time_point now) const;
  static bool IsEmpty(const known_notices& notices);

  const server_notice_options options_;
  std::map<backend_server_id, known_notices> notices_;
};

}  // namespace waxwingwing
