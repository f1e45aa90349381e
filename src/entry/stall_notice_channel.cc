#include "entry/stall_notice_channel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Minimum interval between two reports of the same group; one notice is enough for the controller.
constexpr milliseconds kMinReportInterval{1200};
constexpr milliseconds kReadWait{5000};
constexpr milliseconds kRetryPause{300};

}  // namespace

stall_notice_channel::stall_notice_channel(entry_context& entry, store_client& store,
                                           std::function<bool()> is_controller,
                                           std::function<void(const server_group_id&)> on_stall)
    : entry_(entry),
      store_(store),
      is_controller_(std::move(is_controller)),
      on_stall_(std::move(on_stall)) {}

void stall_notice_channel::Report(const server_group_id& group) {
  const time_point now = entry_.clock.Now();
  const auto known = reported_.find(group);
  if (known != reported_.end() && now - known->second < kMinReportInterval) return;
  reported_[group] = now;
  if (is_controller_()) return on_stall_(group);
  asio::co_spawn(entry_.context, Send(group), asio::detached);
}

awaitable<void> stall_notice_channel::Send(server_group_id group) {
  const auto sent = co_await store_.Append(store_stream::kStalls, group.str());
  entry_.log.Write("stall_notice_sent", {{"group", group.str()},
                                         {"done", sent.has_value()},
                                         {"reason", sent ? std::string() : sent.reason()}});
}

void stall_notice_channel::SkipDeleted(const store_page& page) {
  oldest_ = page.first.value_or(0);
  const bool goes_on = position_ && page.era == position_->era && oldest_ > position_->offset;
  entry_.log.Write("history_trimmed", {{"stream", "stalls"},
                                       {"offset", position_ ? position_->offset : 0},
                                       {"first", oldest_},
                                       {"store_era", page.era.get()}});
  if (goes_on) {
    position_->offset = oldest_;
  } else {
    position_.reset();
  }
}

awaitable<void> stall_notice_channel::Run() {
  for (;;) {
    if (!is_controller_()) {
      position_.reset();
      co_await Pause(entry_.context, kRetryPause);
      continue;
    }
    // Notices from before this VM became the controller are out of date: start at the end.
    const std::uint64_t from = position_ ? position_->offset : oldest_;
    const auto page = co_await store_.ReadFrom(store_stream::kStalls, from,
                                               position_ ? kReadWait : milliseconds(0));
    if (!page) {
      co_await Pause(entry_.context, kRetryPause);
      continue;
    }
    if (page->trimmed || (position_ && page->era != position_->era)) {
      SkipDeleted(*page);
      co_await Pause(entry_.context, kRetryPause);
      continue;
    }
    if (position_) {
      for (const store_record& record : page->records) {
        if (record.value) on_stall_(server_group_id(*record.value));
      }
    }
    position_ = store_position{page->era, position_ ? page->next : page->end};
  }
}

}  // namespace waxwingwing
