#include "waxwingwing/daemon/settings.h"

#include <gflags/gflags.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <sstream>

#include "tests/unit/mutation.h"

namespace waxwingwing {
namespace {

/// Reads settings; restores flags and environment variables afterwards, since both are global.
class settings_fixture {
 public:
  settings_fixture() = default;
  ~settings_fixture() {
    for (const std::string& name : variables_) ::unsetenv(name.c_str());
  }
  settings_fixture(const settings_fixture&) = delete;
  settings_fixture& operator=(const settings_fixture&) = delete;

  void SetVariable(const std::string& name, const std::string& value) {
    ::setenv(name.c_str(), value.c_str(), 1);
    variables_.push_back(name);
  }

  daemon_settings Read(const std::vector<std::string>& more) {
    std::vector<std::string> arguments = {"--vm_id=e1", "--failure_domain=ifo", "--cluster=test",
                                          "--log_address=127.0.0.1:1",
                                          "--vm_list_address=127.0.0.1:2"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return ReadDaemonSettings(arguments, findings);
  }

  std::vector<std::string> Places() const {
    std::vector<std::string> places;
    for (const finding& item : findings.all()) places.push_back(item.place);
    return places;
  }

  finding_list findings;

 private:
  const gflags::FlagSaver saver_;
  std::vector<std::string> variables_;
};

TEST_CASE("the required flags alone give valid settings", "[settings]") {
  settings_fixture test;
  const daemon_settings settings = test.Read({});
  INFO(test.findings.ToText());
  CHECK(test.findings.empty());
  CHECK(settings.vm == vm_id("e1"));
  CHECK(settings.failure_domain == failure_domain_id("ifo"));
  CHECK(settings.drain_grace == milliseconds(2000));
}

// Guards against a start-up that stops at the first invalid setting, so that each correction only
// shows the next one.
TEST_CASE("faults of flags and environment variables are reported together", "[settings]") {
  settings_fixture test;
  test.SetVariable("WAXWINGWING_DRAIN_GRACE_MS", "soon");
  test.SetVariable("WAXWINGWING_WORKER_THREADS", "65");
  test.Read({"--tier=gold", "stray", "--max_connections=-1", "--peer_address=here",
             "--routing_strategy=luck", "--stream_buffer_bytes=1", "--drain_limit_ms"});
  const std::vector<std::string> expected = {"--tier",
                                             "stray",
                                             "--max_connections",
                                             "--drain_limit_ms",
                                             "WAXWINGWING_DRAIN_GRACE_MS",
                                             "--peer_address",
                                             "--worker_threads",
                                             "--stream_buffer_bytes",
                                             "--routing_strategy"};
  CHECK(test.Places() == expected);
}

TEST_CASE("missing required settings are all named", "[settings]") {
  settings_fixture test;
  ReadDaemonSettings({}, test.findings);
  const std::vector<std::string> expected = {"--vm_id", "--failure_domain", "--cluster",
                                             "--log_address", "--vm_list_address"};
  CHECK(test.Places() == expected);
}

TEST_CASE("a flag wins over its environment variable", "[settings]") {
  settings_fixture test;
  test.SetVariable("WAXWINGWING_WORKER_THREADS", "3");
  test.SetVariable("WAXWINGWING_DRAIN_GRACE_MS", "70");
  const daemon_settings settings = test.Read({"--worker_threads", "5"});
  INFO(test.findings.ToText());
  CHECK(test.findings.empty());
  CHECK(settings.worker_threads == 5);
  CHECK(settings.drain_grace == milliseconds(70));
}

// Guards against a flag that is given with its default value being treated as not given.
TEST_CASE("a flag with the default value wins over its environment variable", "[settings]") {
  settings_fixture test;
  test.SetVariable("WAXWINGWING_WORKER_THREADS", "3");
  CHECK(test.Read({"--worker_threads=2"}).worker_threads == 2);
}

// Guards against accepting gflags' own flags, some of which end the process or read files.
TEST_CASE("flags of libraries are unknown", "[settings]") {
  settings_fixture test;
  test.Read({"--flagfile=/dev/null", "--helpfull", "--logtostderr=1"});
  const std::vector<std::string> expected = {"--flagfile", "--helpfull", "--logtostderr"};
  CHECK(test.Places() == expected);
}

TEST_CASE("the help text names every flag with its variable", "[settings]") {
  const std::string text = DescribeDaemonFlags();
  for (const std::string name : {"vm_id", "log_address", "drain_grace_ms", "routing_strategy"}) {
    CHECK(text.find("--" + name + " (") != std::string::npos);
  }
  CHECK(text.find("WAXWINGWING_DRAIN_LIMIT_MS") != std::string::npos);
  CHECK(text.find("flagfile") == std::string::npos);
}

TEST_CASE("mutated flags give settings in range or findings", "[settings][fuzz]") {
  const std::string samples[] = {
      "--worker_threads=2",  "--max_connections=100",          "--caller_address=127.0.0.1:0",
      "--drain_grace_ms=10", "--routing_strategy=round_robin", "--process_buffer_bytes=1048576"};
  random_source random(20240701);
  std::uint64_t valid = 0;
  for (int run = 0; run < 3000; ++run) {
    const std::string argument = Mutate(samples[random.Below(std::size(samples))], random);
    CAPTURE(run, argument);
    settings_fixture test;
    const daemon_settings settings = test.Read({argument});
    if (!test.findings.empty()) continue;
    ++valid;
    REQUIRE(settings.worker_threads >= 1);
    REQUIRE(settings.worker_threads <= 64);
    REQUIRE(settings.max_connections >= 1);
    REQUIRE(settings.max_connections <= 100000);
    REQUIRE(settings.process_buffer >= byte_count(1048576));
  }
  CHECK(valid > 0);
}

}  // namespace
}  // namespace waxwingwing
