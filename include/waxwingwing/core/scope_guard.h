#pragma once

#include <utility>

namespace waxwingwing {

/// Calls a function when the scope is left, unless the guard was dismissed.
template <typename function>
class scope_guard {
 public:
  explicit scope_guard(function on_exit) : on_exit_(std::move(on_exit)) {}
  scope_guard(const scope_guard&) = delete;
  scope_guard& operator=(const scope_guard&) = delete;
  ~scope_guard() {
    if (armed_) on_exit_();
  }

  void Dismiss() { armed_ = false; }

 private:
  function on_exit_;
  bool armed_ = true;
};

}  // namespace waxwingwing
