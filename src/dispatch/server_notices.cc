#include "waxwingwing/dispatch/server_notices.h"

#include <algorithm>

namespace waxwingwing {

server_notices::changes server_notices::Record(const backend_server_id& server, std::uint64_t born,
                                               const server_notice& notice, time_point now) {
  changes news;
  // Most responses carry no notice and come from servers that have given none.
  if (!notice.leaving && !notices_.contains(server)) return news;
  known_notices* known = FindOrAdd(server, born, now);
  if (known == nullptr) return news;
  news.leaving = notice.leaving && !known->leaving;
  known->leaving = known->leaving || notice.leaving;
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

bool server_notices::IsEmpty(const known_notices& notices) {
  return !notices.leaving;
}

void server_notices::Prune(const std::function<bool(const backend_server_id&)>& is_known,
                           time_point now) {
  std::erase_if(notices_, [&](const auto& item) {
    const known_notices& known = item.second;
    const bool is_old = now - known.updated_at > options_.unregistered_lifetime;
    return IsEmpty(known) || (is_old && !is_known(item.first));
  });
  while (notices_.size() > options_.max_servers) {
    notices_.erase(std::min_element(
        notices_.begin(), notices_.end(), [](const auto& left, const auto& right) {
          return left.second.updated_at < right.second.updated_at;
        }));
  }
}

}  // namespace waxwingwing
