#include "entry/configuration_controller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "tests/unit/run_awaitable.h"
#include "tests/unit/scripted_http_server.h"

namespace waxwingwing {
namespace {

std::string BigEndian(std::uint64_t number, std::size_t bytes) {
  std::string text;
  for (std::size_t i = bytes; i > 0; --i) {
    text += static_cast<char>(number >> (8 * (i - 1)) & 0xffU);
  }
  return text;
}

/// A page of the store with one configuration record, of a stream that ends at `end`.
std::string Page(std::uint64_t end, int version) {
  const std::string key = "config";
  const std::string value =
      R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
  const std::string record = static_cast<char>(key.size()) + key + value;
  return BigEndian(end, 8) + BigEndian(0, 8) + BigEndian(record.size(), 4) + record;
}

// Guards against keys that are accepted although they were taken away: a VM that the store had
// turned away read three of six versions in its first page, and took its keys to be current.
TEST_CASE("keys are not confirmed by a read that leaves newer records unread", "[entry]") {
  boost::asio::io_context context;
  scripted_http_server server(context);
  server.Add({200, R"({"end":5,"has_more":false,"items":[]})"});
  server.Add({200, Page(7, 7)});
  server.Add({200, Page(7, 8)});
  manual_clock clock;
  entry_settings settings;
  entry_state state;
  metrics_registry metrics;
  event_log log(clock, "vm", [](std::string_view text) { return text.size(); });
  entry_context entry{context, clock, settings, state, log, metrics};
  http_client http(&metrics);
  store_client store(http, server.address(), 12);
  configuration_controller configuration(
      entry, store, [] { return false; }, [] {});
  boost::asio::co_spawn(context, configuration.Run(), boost::asio::detached);
  const auto has_version = [&](std::uint64_t version) {
    return [&state, version] {
      return state.configuration && state.configuration->version == version;
    };
  };
  REQUIRE(RunUntil(context, has_version(7)));
  CHECK(!state.keys_confirmed_at);
  CHECK(!state.configuration_confirmed_at);
  REQUIRE(RunUntil(context, has_version(8)));
  CHECK(state.keys_confirmed_at);
}

}  // namespace
}  // namespace waxwingwing
