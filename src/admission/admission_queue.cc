#include "waxwingwing/admission/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace waxwingwing {

namespace {

/// KV tokens that an organisation with share 1 may use per round of the deficit round robin.
constexpr std::uint64_t kQuantumTokens = 1024;

/// Weight of the newest sample in the moving average of the dispatch interval.
constexpr double kIntervalWeight = 0.1;

constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{10000};

milliseconds ClampRetryDelay(milliseconds wait) {
  return std::clamp(wait, kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace

admission_queue::admission admission_queue::Admit(waiter request, time_point now) {
  assert(request.organisation != nullptr);
  const std::lock_guard lock(mutex_);
  const organisation_config& organisation = *request.organisation;
  if (!HasWaiting(organisation.priority) && request.try_dispatch()) return {verdict::kDispatched};

  organisation_queue& queue = queues_[{organisation.priority, organisation.id}];
  const milliseconds wait = EstimatedWait(organisation.priority);
  if (queue.waiting.size() >= organisation.max_queue) {
    return {verdict::kQueueFull, 0, ClampRetryDelay(wait)};
  }
  if (now + wait > request.deadline) return {verdict::kDeadlineTooShort, 0, ClampRetryDelay(wait)};

  queue.share = std::max<std::uint32_t>(organisation.share, 1);
  const waiter_id id = ++last_id_;
  queue.waiting.push_back({id, std::move(request), now});
  ++size_;
  return {verdict::kQueued, id};
}

void admission_queue::Dispatch(time_point now) {
  const std::lock_guard lock(mutex_);
  while (DispatchOne(now)) {
  }
}

bool admission_queue::Remove(waiter_id id) {
  const std::lock_guard lock(mutex_);
  for (auto& [key, queue] : queues_) {
    const auto found = std::find_if(queue.waiting.begin(), queue.waiting.end(),
                                    [id](const queued& item) { return item.id == id; });
    if (found == queue.waiting.end()) continue;
    queue.waiting.erase(found);
    --size_;
    return true;
  }
  return false;
}

std::size_t admission_queue::Size() const {
  const std::lock_guard lock(mutex_);
  return size_;
}

bool admission_queue::HasWaiting(std::uint32_t lowest_priority) const {
  return std::any_of(queues_.begin(), queues_.end(), [&](const auto& item) {
    return item.first.first <= lowest_priority && !item.second.waiting.empty();
  });
}

bool admission_queue::DispatchOne(time_point now) {
  // Only the highest priority that has waiting requests is served: dispatching a small request of a
  // lower priority first would starve a large one of a higher priority.
  const auto first = std::find_if(queues_.begin(), queues_.end(),
                                  [](const auto& item) { return !item.second.waiting.empty(); });
  if (first == queues_.end()) return false;
  const std::uint32_t priority = first->first.first;

  std::vector<queue_key> order;
  for (const auto& [key, queue] : queues_) {
    if (key.first == priority && !queue.waiting.empty()) order.push_back(key);
  }
  const auto turn =
      std::lower_bound(order.begin(), order.end(), queue_key(priority, next_turn_[priority]));
  std::rotate(order.begin(), turn, order.end());
  return std::any_of(order.begin(), order.end(), [&](const queue_key& key) {
    if (!ServeFront(queues_[key], now)) return false;
    AdvanceTurn(order, key);
    return true;
  });
}

bool admission_queue::ServeFront(organisation_queue& queue, time_point now) {
  const queued& front = queue.waiting.front();
  // An expired request is removed by its own timer.
  if (front.request.deadline <= now || !front.request.try_dispatch()) return false;
  const std::uint64_t cost = front.request.cost.get();
  queue.deficit -= std::min(queue.deficit, cost);
  queue.waiting.pop_front();
  --size_;
  RecordDispatch(now);
  return true;
}

void admission_queue::AdvanceTurn(const std::vector<queue_key>& order, const queue_key& served) {
  organisation_queue& queue = queues_[served];
  const bool keeps_turn = queue.deficit > 0 && !queue.waiting.empty();
  if (keeps_turn) {
    next_turn_[served.first] = served.second;
    return;
  }
  const auto position = std::find(order.begin(), order.end(), served);
  const queue_key& next = position + 1 == order.end() ? order.front() : *(position + 1);
  organisation_queue& next_queue = queues_[next];
  next_queue.deficit = kQuantumTokens * next_queue.share;
  next_turn_[served.first] = next.second;
}

milliseconds admission_queue::EstimatedWait(std::uint32_t priority) const {
  std::size_t ahead = 0;
  for (const auto& [key, queue] : queues_) {
    if (key.first <= priority) ahead += queue.waiting.size();
  }
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(ahead) * dispatch_interval_ms_));
}

void admission_queue::RecordDispatch(time_point now) {
  if (last_dispatch_ != time_point{}) {
    const double interval = std::chrono::duration<double, std::milli>(now - last_dispatch_).count();
    dispatch_interval_ms_ += kIntervalWeight * (interval - dispatch_interval_ms_);
  }
  // When the queue is empty, the time to the next dispatch depends on arrivals and does not reflect
  // the service rate.
  last_dispatch_ = size_ > 0 ? now : time_point{};
}

}  // namespace waxwingwing
