#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gateway/async_event.h"
#include "gateway/mailbox.h"

namespace waxwingwing {

/// Waits in a coroutine for a callback that another thread calls.
///
/// Usage: pass `Callback()` to the other thread, then `co_await WaitUntil(deadline)`. A value that
/// arrives after the wait has ended is passed to `on_late_value` on the request thread.
template <typename value_type>
class callback_wait {
 public:
  callback_wait(const asio::any_io_executor& executor, std::shared_ptr<mailbox> mailbox,
                std::function<void(const value_type&)> on_late_value = nullptr)
      : state_(std::make_shared<state>(executor)), mailbox_(std::move(mailbox)) {
    state_->on_late_value = std::move(on_late_value);
  }
  callback_wait(const callback_wait&) = delete;
  callback_wait& operator=(const callback_wait&) = delete;
  ~callback_wait() { state_->ended = true; }

  std::function<void(value_type)> Callback() const {
    // Holds the state by weak pointer: its timer must not outlive the request thread's io_context.
    return [kept = state_->MakeLink(), mailbox = mailbox_](value_type value) {
      mailbox->Post([kept, value = std::move(value)] { kept->Deliver(value); });
    };
  }

  awaitable<std::optional<value_type>> WaitUntil(time_point deadline) {
    const auto kept = state_;
    co_await kept->event.WaitUntil(deadline);
    kept->ended = true;
    co_return kept->value;
  }

 private:
  struct state;

  /// Delivers a value to the state while its owner waits, and to `on_late_value` afterwards.
  struct delivery_link {
    std::weak_ptr<state> target;
    std::function<void(const value_type&)> on_late_value;

    void Deliver(const value_type& value) {
      const auto held = target.lock();
      if (held != nullptr && !held->ended) {
        held->value = value;
        held->event.Notify();
      } else if (on_late_value) {
        on_late_value(value);
      }
    }
  };

  struct state : std::enable_shared_from_this<state> {
    explicit state(const asio::any_io_executor& executor) : event(executor) {}

    std::shared_ptr<delivery_link> MakeLink() {
      auto made = std::make_shared<delivery_link>();
      made->target = this->weak_from_this();
      made->on_late_value = on_late_value;
      return made;
    }

    async_event event;
    std::optional<value_type> value;
    std::function<void(const value_type&)> on_late_value;
    bool ended = false;
  };

  std::shared_ptr<state> state_;
  std::shared_ptr<mailbox> mailbox_;
};

}  // namespace waxwingwing
