// Slow readers: a stalled reader holds a bounded buffer and no engine, and its answer is whole in
// the end.
#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/integration/invariants.h"
#include "tests/integration/request_callers.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

using nlohmann::json;

constexpr std::size_t kReaders = 200;
constexpr std::size_t kReadersThatResume = 10;
// About 150 KB, several times what the buffers on the way hold.
constexpr std::uint64_t kTokens = 1000;
constexpr int kReceiveBuffer = 4096;
constexpr double kStreamBufferBound = 16384;
// The stream buffer and as much again for the state of the request.
constexpr double kMemoryBound = 65536;
constexpr milliseconds kStallBound{20000};
const std::string kEntry = "ifo-entry-0";

deployment_settings OneReplica() {
  deployment_settings settings;
  domain_settings domain;
  domain.id = "ifo";
  domain.engines = 2;
  domain.entry_vms = 1;
  settings.domains.push_back(domain);
  settings.engine_flags = {"--ms_per_token=5", "--max_requests=256", "--cold_requests=256",
                           "--kv_tokens_limit=1000000"};
  settings.entry_flags = {"--drain_grace_ms=500"};
  return settings;
}

double ResidentBytes(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) * 1024;
  }
  return 0;
}

double Metric(deployment& running, const std::string& name) {
  std::istringstream lines(http_client(running.CallerAddress(kEntry)).Get("/metrics").body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) return std::stod(line.substr(name.size() + 1));
  }
  return -1;
}

/// Requests that run at the engines, and those that were stopped before their end.
struct request_counts {
  std::size_t running = 0;
  std::size_t stopped = 0;
  std::size_t resumed = 0;
};

request_counts CountRequests(const deployment& running) {
  request_counts counts;
  for (const vm_records& engine : running.Records("engine")) {
    for (const json& request : engine.List("requests")) {
      const std::string ended = request.value("ended", std::string());
      if (ended.empty()) ++counts.running;
      if (ended == "cancelled" || ended == "disconnected") ++counts.stopped;
      if (request.at("resume_offset").get<std::uint64_t>() > 0) ++counts.resumed;
    }
  }
  return counts;
}

std::string TextOf(std::size_t reader) { return "slow reader " + std::to_string(reader); }

TEST_CASE("200 stalled readers hold bounded buffers, free the engine and resume whole",
          "[request][slow]") {
  deployment running(OneReplica());
  const json limits = {
      {"replicas", 1}, {"max_requests", 256}, {"cold_requests", 256}, {"kv_tokens", 1000000}};
  StartServing(running, NoteWithModelGroup(running, "n1", limits), 1);
  REQUIRE(IsWhole(Chat(running, kEntry, "first", 20), "first", 20));
  const pid_t pid = running.vm(kEntry).pid();
  const double before = ResidentBytes(pid);

  event_stream::settings options;
  options.receive_buffer_bytes = kReceiveBuffer;
  std::vector<std::unique_ptr<event_stream>> readers;
  for (std::size_t reader = 0; reader < kReaders; ++reader) {
    readers.push_back(std::make_unique<event_stream>(running.CallerAddress(kEntry),
                                                     "/v1/chat/completions", CallerHeaders(),
                                                     ChatBody(TextOf(reader), kTokens), options));
  }
  const auto all_stopped = [&] {
    const request_counts counts = CountRequests(running);
    return counts.running == 0 && counts.stopped >= kReaders;
  };
  REQUIRE(WaitFor(all_stopped, kStallBound));
  const double memory = (ResidentBytes(pid) - before) / kReaders;
  const double buffered = Metric(running, "waxwingwing_buffered_bytes_total") / kReaders;
  WARN("bytes for each stalled reader: " << buffered << " buffered, " << memory << " resident");
  CHECK(buffered > 0);
  CHECK(buffered <= kStreamBufferBound);
  CHECK(memory <= kMemoryBound);

  // Each answer takes seconds more at the rate of the engine, so they are read side by side.
  std::vector<std::future<const stream_answer*>> rest;
  for (std::size_t reader = 0; reader < kReadersThatResume; ++reader) {
    event_stream* stream = readers[reader].get();
    rest.push_back(std::async(std::launch::async, [stream] { return &stream->ReadAll(); }));
  }
  for (std::size_t reader = 0; reader < kReadersThatResume; ++reader) {
    const stream_answer& answer = *rest[reader].get();
    INFO(TextOf(reader) << ": " << answer.tokens.size() << " tokens " << answer.failure);
    CHECK(IsWhole(answer, TextOf(reader), kTokens));
  }
  CHECK(CountRequests(running).resumed >= kReadersThatResume);
  CHECK(CheckOverload(running.Records("engine"), milliseconds(0)).ToText() == kNothing);
}

}  // namespace
}  // namespace waxwingwing::integration
