#include "waxwingwing/dispatch/server_notices.h"

#include <algorithm>

namespace waxwingwing {

server_notices::changes server_notices::Record(const backend_server_id& server, std::uint64_t born,
                                               const server_notice& notice, double spread,
                                               time_point now) {
  changes news;
  // Most responses carry no notice and come from servers that have given none.
  const bool has_notice = notice.leaving || notice.rest || notice.rate_limit;
  if (!has_notice && !notices_.contains(server)) return news;
  known_notices* known = FindOrAdd(server, born, now);
  if (known == nullptr) return news;
  news.leaving = notice.leaving && !known->leaving;
  known->leaving = known->leaving || notice.leaving;
  if (notice.rate_limit || (notice.states_rate_limit && known->rate_limit)) {
    news.rate_limit = known->rate_limit != notice.rate_limit;
    RecordRateLimit(*known, notice.rate_limit, now);
  }
  if (!notice.rest) return news;
  const duration rest = std::min(*notice.rest, options_.max_rest);
  const duration extra = std::min<duration>(
      std::chrono::duration_cast<duration>(rest * options_.rest_spread), options_.max_rest_spread);
  const time_point until = now + rest + std::chrono::duration_cast<duration>(extra * spread);
  if (!known->rests_until || until > *known->rests_until) {
    known->rests_until = until;
    news.rests_until = until;
  }
  return news;
}

const server_notices::known_notices* server_notices::Find(const backend_server_id& server,
                                                          std::uint64_t born) const {
  const auto found = notices_.find(server);
  return found == notices_.end() || born > found->second.born ? nullptr : &found->second;
}

server_notices::known_notices* server_notices::FindOrAdd(const backend_server_id& server,
                                                         std::uint64_t born, time_point now) {
  known_notices& known = notices_[server];
  if (born < known.born) return nullptr;
  if (born > known.born) known = known_notices{};
  known.born = born;
  known.updated_at = now;
  return &known;
}

bool server_notices::IsLeaving(const backend_server_id& server, std::uint64_t born) const {
  const known_notices* known = Find(server, born);
  return known != nullptr && known->leaving;
}

std::optional<time_point> server_notices::RestsUntil(const backend_server_id& server,
                                                     std::uint64_t born, time_point now) const {
  const known_notices* known = Find(server, born);
  if (known == nullptr || !known->rests_until || now >= *known->rests_until) return std::nullopt;
  return known->rests_until;
}

void server_notices::RecordRateLimit(known_notices& known, const std::optional<double>& rate,
                                     time_point stated_at) const {
  known.rate_limit = rate;
  known.rate_stated_at = stated_at;
  if (rate) known.limited_at = stated_at;
}

bool server_notices::IsRateLimitRecent(const known_notices& known, time_point now) const {
  return known.limited_at && now - *known.limited_at <= options_.rate_limit_lifetime;
}

std::optional<double> server_notices::RateLimit(const backend_server_id& server, std::uint64_t born,
                                                time_point now) const {
  const known_notices* known = Find(server, born);
  return known != nullptr && IsRateLimitRecent(*known, now) ? known->rate_limit : std::nullopt;
}

std::vector<rate_limit_statement> server_notices::RateLimits(time_point now) const {
  std::vector<rate_limit_statement> statements;
  for (const auto& [server, known] : notices_) {
    if (!IsRateLimitRecent(known, now)) continue;
    statements.push_back({server, known.born, known.rate_limit, *known.rate_stated_at});
  }
  return statements;
}

void server_notices::MergeRateLimits(const std::vector<rate_limit_statement>& statements,
                                     time_point now) {
  for (const rate_limit_statement& statement : statements) {
    const bool is_new = !notices_.contains(statement.server);
    // The end of a limit matters only to VMs that know of the limit.
    if (is_new && (!statement.rate || notices_.size() >= options_.max_servers)) continue;
    known_notices* known = FindOrAdd(statement.server, statement.born, now);
    if (known == nullptr) continue;
    if (known->rate_stated_at && *known->rate_stated_at >= statement.stated_at) continue;
    RecordRateLimit(*known, statement.rate, statement.stated_at);
  }
}

bool server_notices::IsEmpty(const known_notices& notices) {
  return !notices.leaving && !notices.rests_until && !notices.limited_at;
}

void server_notices::Prune(const std::function<bool(const backend_server_id&)>& is_known,
                           time_point now) {
  for (auto& [server, known] : notices_) {
    if (known.rests_until && now >= *known.rests_until) known.rests_until.reset();
    if (!IsRateLimitRecent(known, now)) known.limited_at.reset();
  }
  std::erase_if(notices_, [&](const auto& item) {
    const known_notices& known = item.second;
    const bool is_old = now - known.updated_at > options_.unregistered_lifetime;
    return IsEmpty(known) || (is_old && !is_known(item.first));
  });
  while (notices_.size() > options_.max_servers) {
    notices_.erase(
        std::min_element(notices_.begin(), notices_.end(), [](const auto& left, const auto& right) {
          return left.second.updated_at < right.second.updated_at;
        }));
  }
}

}  // namespace waxwingwing
