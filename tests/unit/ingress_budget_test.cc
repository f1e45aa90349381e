#include "waxwingwing/core/ingress_budget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "entry/forward_limits.h"

namespace waxwingwing {
namespace {

constexpr std::size_t kSmall = 100;
constexpr std::size_t kTotal = 1000;

class budget_fixture {
 public:
  ingress_account& Add() {
    const std::size_t index = accounts_.size();
    accounts_.push_back(std::make_unique<ingress_account>(
        budget_, [this, index](std::size_t /*bytes*/) { ended_.push_back(index); }));
    return *accounts_.back();
  }

  ingress_account& AddWaiting(std::size_t bytes) {
    ingress_account& account = Add();
    account.BeginWait(clock_.Now());
    account.Hold(bytes, clock_.Now());
    return account;
  }

  void Advance(milliseconds step) { clock_.Advance(step); }
  time_point Now() const { return clock_.Now(); }
  ingress_budget& budget() { return *budget_; }
  std::vector<std::unique_ptr<ingress_account>>& accounts() { return accounts_; }
  const std::vector<std::size_t>& ended() const { return ended_; }

 private:
  manual_clock clock_;
  std::shared_ptr<ingress_budget> budget_ = std::make_shared<ingress_budget>(
      ingress_limits{byte_count(kTotal), byte_count(kSmall), 0.75});
  std::vector<std::unique_ptr<ingress_account>> accounts_;
  std::vector<std::size_t> ended_;
};

// Guards against refusing small requests, or ending them, while large unfinished ones use up the
// memory.
TEST_CASE("ingress budget: large unfinished bodies end before small ones", "[forward]") {
  budget_fixture fixture;
  for (int i = 0; i < 4; ++i) fixture.AddWaiting(kSmall);
  fixture.Advance(milliseconds(9000));
  for (int i = 0; i < 20; ++i) fixture.AddWaiting(200);
  CHECK(fixture.budget().held() <= kTotal);
  for (std::size_t i = 0; i < 4; ++i) CHECK_FALSE(fixture.accounts()[i]->ended());
  for (int i = 0; i < 6; ++i) CHECK_FALSE(fixture.AddWaiting(kSmall / 2).ended());
  CHECK(fixture.budget().held() <= kTotal);
}

// Guards against ending a body that makes progress in place of one that stopped long ago.
TEST_CASE("ingress budget: of two bodies of one size the one that waits longer ends", "[forward]") {
  budget_fixture fixture;
  ingress_account& stopped = fixture.AddWaiting(400);
  fixture.Advance(milliseconds(500));
  ingress_account& advancing = fixture.AddWaiting(350);
  fixture.Advance(milliseconds(10));
  advancing.Hold(400, fixture.Now());
  CHECK(stopped.ended());
  CHECK_FALSE(advancing.ended());
}

// Guards against ending a request that has arrived whole, and against admitting more in its place.
TEST_CASE("ingress budget: a request that was read is not ended", "[forward]") {
  budget_fixture fixture;
  ingress_account& served = fixture.AddWaiting(700);
  served.EndWait();
  fixture.Advance(milliseconds(5000));
  CHECK(fixture.AddWaiting(200).ended());
  CHECK_FALSE(fixture.AddWaiting(kSmall).ended());
  CHECK_FALSE(served.ended());
  CHECK(fixture.budget().held() == 800);
}

// Guards against ending all waiting connections although requests under way, which cannot end, use
// up the memory.
TEST_CASE("ingress budget: only the account that grows ends where ending others cannot help",
          "[forward]") {
  budget_fixture fixture;
  for (int i = 0; i < 3; ++i) fixture.AddWaiting(kSmall / 2);
  fixture.AddWaiting(200);
  fixture.Advance(milliseconds(1000));
  ingress_account& served = fixture.Add();
  served.Hold(kTotal + 1, fixture.Now());
  CHECK(fixture.budget().ended() == 0);
  CHECK(fixture.AddWaiting(1).ended());
  CHECK(fixture.AddWaiting(2 * kSmall).ended());
  CHECK(fixture.ended() == std::vector<std::size_t>{5, 6});
}

// Guards against ending all large unfinished bodies when small ones and requests under way hold
// more than large ones may use.
TEST_CASE("ingress budget: large accounts do not end for bytes of small ones", "[forward]") {
  budget_fixture fixture;
  ingress_account& served = fixture.Add();
  served.Hold(600, fixture.Now());
  fixture.AddWaiting(120);
  for (int i = 0; i < 2; ++i) fixture.AddWaiting(kSmall);
  fixture.Advance(milliseconds(1000));
  CHECK(fixture.AddWaiting(kSmall + 1).ended());
  CHECK(fixture.ended() == std::vector<std::size_t>{4});
}

// Guards against bytes that stay accounted for after their connection, which would refuse ever more
// callers.
TEST_CASE("ingress budget: nothing stays accounted for", "[forward]") {
  budget_fixture fixture;
  SECTION("after the request") { fixture.AddWaiting(300).Hold(0, fixture.Now()); }
  SECTION("after an end by the budget") {
    ingress_account& account = fixture.AddWaiting(2 * kTotal);
    CHECK(account.ended());
    account.Hold(50, fixture.Now());
    account.BeginWait(fixture.Now());
    account.EndWait();
  }
  SECTION("after the connection") {
    fixture.AddWaiting(300);
    fixture.AddWaiting(300).EndWait();
    fixture.accounts().clear();
  }
  CHECK(fixture.budget().held() == 0);
}

// Guards against refusing ordinary callers although the memory suffices for all of them.
TEST_CASE("ingress budget: the full number of connections is served in calm", "[forward]") {
  entry_settings settings;
  settings.memory = byte_count(std::uint64_t{32} << 20U);
  const forward_options options = ForwardOptions(settings);
  const auto budget = std::make_shared<ingress_budget>(options.ingress);
  std::vector<std::unique_ptr<ingress_account>> accounts;
  manual_clock clock;
  for (std::size_t i = 0; i < options.max_callers; ++i) {
    accounts.push_back(std::make_unique<ingress_account>(budget, [](std::size_t /*bytes*/) {}));
    accounts.back()->BeginWait(clock.Now());
    accounts.back()->Hold(std::size_t{4} * 1024, clock.Now());
    clock.Advance(milliseconds(4));
  }
  CHECK(options.max_callers == 2400);
  CHECK(budget->ended() == 0);
}

// Guards against bounds that a single request inside the default limits, or the usual number of
// connections, would meet.
TEST_CASE("ingress budget: bounds by the machine's memory and descriptors", "[forward]") {
  entry_settings settings;
  CHECK(ForwardOptions(settings).ingress.total == ingress_limits{}.total);
  CHECK(ForwardOptions(settings).max_callers == forward_options{}.max_callers);
  settings.memory = byte_count(std::uint64_t{260} << 20U);
  settings.max_descriptors = 4100;
  CHECK(ForwardOptions(settings).ingress.total == byte_count(std::uint64_t{65} << 20U));
  CHECK(ForwardOptions(settings).max_callers == 2400);
  settings.memory = byte_count(std::uint64_t{32} << 20U);
  settings.max_descriptors = 1200;
  CHECK(ForwardOptions(settings).ingress.total == byte_count(std::uint64_t{16} << 20U));
  CHECK(ForwardOptions(settings).max_callers == 650);
  settings.max_descriptors = 201;
  CHECK(ForwardOptions(settings).max_callers == 1);
}

}  // namespace
}  // namespace waxwingwing
