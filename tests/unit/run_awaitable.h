#pragma once

#include <utility>
// clang-format off
#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <optional>
#include <stdexcept>

namespace waxwingwing {

/// Runs the context until `done` is true; false when that takes longer than 10 s.
inline bool RunUntil(boost::asio::io_context& context, const std::function<bool()>& done) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!done()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    context.restart();
    context.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// Stores the value of a coroutine; `co_spawn` of Boost 1.74 supports only default-constructible
/// values, which `result` is not.
template <typename value_type>
boost::asio::awaitable<void> StoreValue(boost::asio::awaitable<value_type> operation,
                                        std::optional<value_type>& outcome) {
  outcome.emplace(co_await std::move(operation));
}

/// Runs a coroutine to completion on the context and returns its value.
template <typename value_type>
value_type RunAwaitable(boost::asio::io_context& context,
                        boost::asio::awaitable<value_type> operation) {
  std::optional<value_type> outcome;
  boost::asio::co_spawn(context, StoreValue(std::move(operation), outcome),
                        [](const std::exception_ptr& error) {
                          if (error) std::rethrow_exception(error);
                        });
  if (!RunUntil(context, [&] { return outcome.has_value(); })) {
    throw std::runtime_error("the operation did not end in time");
  }
  return *std::move(outcome);
}

}  // namespace waxwingwing
