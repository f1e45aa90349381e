#include "waxwingwing/streaming/relay_buffer.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace waxwingwing {
namespace {

std::shared_ptr<buffer_account> MakeAccount(std::uint64_t limit,
                                            std::shared_ptr<buffer_account> parent = nullptr) {
  return std::make_shared<buffer_account>(byte_count(limit), std::move(parent));
}

TEST_CASE("a relay buffer counts the block that is being written", "[streaming]") {
  const auto account = MakeAccount(100);
  relay_buffer buffer(byte_count(8), account);
  REQUIRE(buffer.TryAppend("12345"));
  REQUIRE(buffer.BeginWrite() == "12345");
  // The block occupies memory until it is written, so it must still count towards the limit.
  REQUIRE_FALSE(buffer.TryAppend("6789"));
  REQUIRE(buffer.TryAppend("678"));
  REQUIRE(account->used() == byte_count(8));
  buffer.EndWrite();
  REQUIRE(account->used() == byte_count(3));
  REQUIRE(buffer.BeginWrite() == "678");
  buffer.EndWrite();
  REQUIRE(buffer.empty());
}

TEST_CASE("a stream that ends early releases its bytes", "[streaming]") {
  const auto account = MakeAccount(100);
  {
    relay_buffer buffer(byte_count(50), account);
    REQUIRE(buffer.TryAppend("abc"));
    buffer.BeginWrite();
    REQUIRE(buffer.TryAppend("de"));
  }
  REQUIRE(account->used() == byte_count(0));
}

TEST_CASE("the process limit applies to the sum of all organisations", "[streaming]") {
  const auto process = MakeAccount(10);
  const auto first = MakeAccount(8, process);
  const auto second = MakeAccount(8, process);
  REQUIRE(first->TryReserve(byte_count(7)));
  REQUIRE_FALSE(second->TryReserve(byte_count(4)));
  // The refused reservation must not remain in the organisation's account.
  REQUIRE(second->used() == byte_count(0));
  REQUIRE_FALSE(first->TryReserve(byte_count(2)));
  first->Release(byte_count(7));
  REQUIRE(second->TryReserve(byte_count(8)));
  REQUIRE(process->used() == byte_count(8));
}

TEST_CASE("a lowered limit refuses new reservations and keeps existing ones", "[streaming]") {
  const auto account = MakeAccount(10);
  REQUIRE(account->TryReserve(byte_count(6)));
  account->SetLimit(byte_count(4));
  REQUIRE_FALSE(account->TryReserve(byte_count(1)));
  account->Release(byte_count(6));
  REQUIRE(account->TryReserve(byte_count(4)));
}

TEST_CASE("concurrent reservations never exceed an account's limit", "[streaming]") {
  static constexpr std::uint64_t kLimit = 5;
  const auto process = MakeAccount(kLimit);
  std::atomic<bool> exceeded{false};
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      const auto account = MakeAccount(100, process);
      for (int round = 0; round < 5000; ++round) {
        if (!account->TryReserve(byte_count(2))) continue;
        if (process->used() > byte_count(kLimit)) exceeded = true;
        account->Release(byte_count(2));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  REQUIRE_FALSE(exceeded);
  REQUIRE(process->used() == byte_count(0));
}

}  // namespace
}  // namespace waxwingwing
