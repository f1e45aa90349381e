// Callers that keep no limits: bodies over the limit, and many bodies at once that never end. What
// is checked does not depend on the machine's speed: the process lives, its memory and descriptors
// stay under a bound, and one ordinary request is answered while the crowd is connected.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/caller_crowd.h"
#include "tests/integration/entry_deployment.h"
#include "waxwingwing/peer/frame_codec.h"

namespace waxwingwing::integration {
namespace {

constexpr std::size_t kMemoryMegabytes = 64;
constexpr std::size_t kMaxMemoryKilobytes = kMemoryMegabytes * 1024;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20U;
constexpr std::size_t kCrowd = 120;
/// Descriptors of the process for other purposes than the crowd's connections.
constexpr std::size_t kOwnDescriptors = 80;
constexpr std::size_t kPiece = std::size_t{16} * 1024;
/// Bodies of the crowd that have not arrived by then were held up by the process itself.
constexpr milliseconds kSendLimit{6000};
/// Bound on the wait until the process has read what a crowd has sent.
constexpr milliseconds kReadLimit{20000};
/// Lets the servers answer a wave of callers before the next one.
constexpr milliseconds kWavePause{250};

entry_deployment::options SmallMachine() {
  return {.max_body_bytes = kMaxBodyBytes, .memory_mb = kMemoryMegabytes};
}

/// A field of the process's status, in kB: `VmHWM` is the most memory it has had so far.
std::size_t StatusKilobytes(const child_process& process, const std::string& field) {
  std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
  std::string name;
  while (status >> name) {
    std::size_t kilobytes = 0;
    if (name == field + ":" && status >> kilobytes) return kilobytes;
  }
  throw std::runtime_error("the process has no " + field);
}

std::size_t Descriptors(const child_process& process) {
  const std::filesystem::path folder = "/proc/" + std::to_string(process.pid()) + "/fd";
  return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(folder), {}));
}

std::string Head(const std::string& framing) {
  return "POST /once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: crowd\r\n"
         "Deadline-Ms: 4000\r\nApi-Key: key-of-first-organisation\r\n" +
         framing + "\r\n\r\n";
}

std::string Announced(std::size_t size) { return Head("Content-Length: " + std::to_string(size)); }

/// `size` bytes of body in chunks of `chunk` bytes, without the last chunk.
std::string Chunks(std::size_t size, std::size_t chunk) {
  char line[32];
  std::string text;
  for (std::size_t sent = 0; sent < size; sent += chunk) {
    const std::size_t length = std::min(chunk, size - sent);
    std::snprintf(line, sizeof(line), "%zx\r\n", length);  // NOLINT
    text.append(line).append(length, 'x').append("\r\n");
  }
  return text;
}

std::string Chunked(std::size_t size, std::size_t chunk) {
  return Head("Transfer-Encoding: chunked") + Chunks(size, chunk);
}

/// What must hold beside a crowd of `callers`, and after it.
void CheckServes(entry_deployment& deployment, std::size_t callers = kCrowd) {
  REQUIRE(deployment.entry().Running());
  const auto answer = deployment.Call("POST", "/once/a", {}, "confirm");
  UNSCOPED_INFO("ordinary request: " << (answer ? std::to_string(answer->status) + answer->body
                                                : answer.reason()));
  CHECK((answer && answer->status == 200));
  REQUIRE(deployment.entry().Running());
  const std::size_t peak = StatusKilobytes(deployment.entry(), "VmHWM");
  const std::size_t descriptors = Descriptors(deployment.entry());
  WARN("peak of the memory: " << peak << " kB, now " << StatusKilobytes(deployment.entry(), "VmRSS")
                              << " kB, descriptors: " << descriptors);
  CHECK(peak < kMaxMemoryKilobytes);
  CHECK(descriptors < callers + kOwnDescriptors);
}

void CheckBeside(const std::string& text) {
  entry_deployment deployment(SmallMachine());
  deployment.WaitUntilServing();
  {
    caller_crowd crowd(deployment.CallerAddress(0), kCrowd);
    crowd.Send(text, kPiece, kSendLimit);
    CheckServes(deployment);
  }
  // A single request inside the limits is still served in calm.
  const auto large = deployment.Call("POST", "/once/a", {}, std::string(kMaxBodyBytes - 1, 'x'));
  CHECK((large && large->status == 200));
  CheckServes(deployment);
}

/// A request to the port of readiness and metrics.
std::string ReadinessHead(const std::string& framing) {
  return "POST /v1/ready HTTP/1.1\r\nHost: vm.example\r\n" + framing + "\r\n\r\n";
}

/// What must hold beside a crowd at the port of readiness and metrics: the platform's checks are
/// answered as well.
void CheckServesAndReady(entry_deployment& deployment, std::size_t callers) {
  const http_client ready(deployment.ready_address());
  const auto answer = ready.Send({"GET", "/v1/ready", {}, ""});
  CHECK((answer && answer->status == 200));
  CheckServes(deployment, callers);
}

void CheckBesideReadiness(const std::string& text) {
  entry_deployment deployment(SmallMachine());
  deployment.WaitUntilServing();
  {
    caller_crowd crowd(deployment.ready_address(), kCrowd);
    crowd.Send(text, kPiece, kSendLimit);
    crowd.WaitUntilRead(kReadLimit);
    CheckServesAndReady(deployment, kCrowd);
  }
  CheckServesAndReady(deployment, kCrowd);
}

/// The first frame of a connection between VMs.
std::string Hello(const std::string& vm) {
  const hello_message hello{"waxwingwing-entry", vm_id(vm), failure_domain_id("ifo"),
                            incarnation(1), 1};
  auto frame = EncodeFrame(hello);
  REQUIRE(frame);
  return *std::move(frame);
}

/// The length field of a frame of the largest size.
std::string LargestLength() {
  std::string length;
  for (int shift = 24; shift >= 0; shift -= 8) {
    length.push_back(static_cast<char>((kMaxFrameBytes >> static_cast<unsigned>(shift)) & 0xffU));
  }
  return length;
}

/// Connections to the port for the other VMs, each of a VM of its own, which stay open.
std::vector<std::unique_ptr<caller_crowd>> ConnectVms(const entry_deployment& deployment,
                                                      std::size_t size, const std::string& after) {
  std::vector<std::unique_ptr<caller_crowd>> vms;
  for (std::size_t i = 0; i < size; ++i) {
    vms.push_back(std::make_unique<caller_crowd>(deployment.LinkAddress(), 1));
    vms.back()->Send(Hello("vm-" + std::to_string(i)) + after, kPiece, kSendLimit);
  }
  return vms;
}

// Guards against reserving or holding what a caller announces or sends over the limit.
TEST_CASE("hostile callers: bodies over the limit", "[entry][hostile][alone]") {
  SECTION("announced") {
    CheckBeside(Announced(8 * kMaxBodyBytes) + std::string(2 * kMaxBodyBytes, 'x'));
  }
  SECTION("sent in chunks") { CheckBeside(Chunked(2 * kMaxBodyBytes, 100000)); }
}

// Guards against holding the unfinished bodies of all callers, each of which is inside the limits.
TEST_CASE("hostile callers: many bodies that stop just short of their end",
          "[entry][hostile][alone]") {
  constexpr std::size_t sent = kMaxBodyBytes - 1000;
  SECTION("announced") { CheckBeside(Announced(kMaxBodyBytes) + std::string(sent, 'x')); }
  SECTION("in large chunks") { CheckBeside(Chunked(sent, 100000)); }
  SECTION("in very small chunks") { CheckBeside(Chunked(sent, 16)); }
}

// Guards against holding heads whose fields take many times the memory of their text.
TEST_CASE("hostile callers: heads of many short fields", "[entry][hostile][alone]") {
  constexpr std::size_t callers = 400;
  constexpr std::size_t head_bytes = 16000;
  entry_deployment deployment(SmallMachine());
  deployment.WaitUntilServing();
  std::string fields = "Transfer-Encoding: chunked";
  while (fields.size() < head_bytes) fields += "\r\na:";
  {
    caller_crowd crowd(deployment.CallerAddress(0), callers);
    crowd.Send(Head(fields) + "5\r\nabcde\r\n", kPiece, kSendLimit);
    CheckServes(deployment, callers);
  }
  CheckServes(deployment);
}

// Guards against the end of the process by an exception of the HTTP library.
TEST_CASE("hostile callers: a trailer that is larger than a head may be",
          "[entry][hostile][alone]") {
  CheckBeside(Chunked(100, 10) + "0\r\nX: " + std::string(70000, 'y') + "\r\n\r\n");
}

// Guards against more connections than the machine has descriptors for, and against callers that
// take all of them and send nothing.
TEST_CASE("hostile callers: more connections than descriptors", "[entry][hostile][alone]") {
  // 200 of the descriptors are for files.
  constexpr std::size_t max_sockets = 100;
  entry_deployment deployment({.max_fds = max_sockets + 200});
  deployment.WaitUntilServing();
  {
    caller_crowd crowd(deployment.CallerAddress(0), kCrowd);
    crowd.Send("POST /once/a HTTP/1.1\r\nHost: desk.exa", kPiece, kSendLimit);
    CheckServes(deployment);
    CHECK(Descriptors(deployment.entry()) < max_sockets);
  }
  CheckServes(deployment);
}

// Guards against holding answers without limit for callers that do not read them.
TEST_CASE("hostile callers: answers that are not taken", "[entry][hostile][alone]") {
  constexpr std::size_t waves = 12;
  constexpr std::size_t callers = 10;
  entry_deployment deployment({.services = 10, .memory_mb = kMemoryMegabytes});
  deployment.WaitUntilServing();
  const std::string answer =
      "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: x.{id}\r\n"
      "Content-Length: 4194304\r\n\r\n" +
      std::string(4194304, 'x');
  for (const auto& service : deployment.services()) {
    deployment.SetFault(*service, "answer_bytes", answer);
  }
  std::vector<std::unique_ptr<caller_crowd>> crowds;
  for (std::size_t i = 0; i < waves; ++i) {
    crowds.push_back(std::make_unique<caller_crowd>(deployment.CallerAddress(0), callers));
    crowds.back()->Send(
        "GET /lookup/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: crowd\r\n"
        "Deadline-Ms: 4000\r\nApi-Key: key-of-first-organisation\r\n\r\n",
        kPiece, kSendLimit);
    std::this_thread::sleep_for(kWavePause);
  }
  std::size_t answers = 0;
  for (const auto& service : deployment.services()) {
    answers += deployment.Records(*service, "raw_answers").size();
    deployment.SetFault(*service, "answer_bytes", "");
  }
  CHECK(answers * 4 > kMemoryMegabytes);
  CheckServes(deployment);
}

// Guards against holding whole requests without limit while their servers are silent.
TEST_CASE("hostile callers: whole bodies that wait for silent servers", "[entry][hostile][alone]") {
  entry_deployment deployment(
      {.services = 4, .max_body_bytes = kMaxBodyBytes, .memory_mb = kMemoryMegabytes});
  deployment.WaitUntilServing();
  for (const auto& service : deployment.services()) service->Pause();
  {
    caller_crowd crowd(deployment.CallerAddress(0), kCrowd);
    crowd.Send(Announced(kMaxBodyBytes - 1) + std::string(kMaxBodyBytes - 1, 'x'), kPiece,
               kSendLimit);
    crowd.WaitUntilRead(kReadLimit);
    for (const auto& service : deployment.services()) service->Continue();
    CheckServes(deployment);
  }
  CheckServes(deployment);
}

// Guards against connections that are kept, or counted, after their callers have closed them.
TEST_CASE("hostile callers: connections that open and close without end",
          "[entry][hostile][alone]") {
  constexpr std::size_t rounds = 40;
  entry_deployment deployment(SmallMachine());
  deployment.WaitUntilServing();
  const std::string unfinished = Chunked(100000, 1000);
  for (std::size_t round = 0; round < rounds; ++round) {
    caller_crowd callers(deployment.CallerAddress(0), kCrowd);
    callers.Send(unfinished, kPiece, kSendLimit);
    caller_crowd checks(deployment.ready_address(), kCrowd);
    checks.Send("GET /metrics HTTP/1.1\r\nHost: vm.example\r\n\r\n", kPiece, kSendLimit);
  }
  CheckServesAndReady(deployment, kCrowd);
}

// Guards against holding bodies at a port whose requests need none.
TEST_CASE("hostile callers: bodies to the port of readiness and metrics",
          "[entry][hostile][alone]") {
  constexpr std::size_t size = 1'000'000;
  const std::string announced = ReadinessHead("Content-Length: " + std::to_string(size));
  const std::string chunked = ReadinessHead("Transfer-Encoding: chunked");
  SECTION("announced") { CheckBesideReadiness(announced + std::string(size - 1000, 'x')); }
  SECTION("whole") { CheckBesideReadiness(announced + std::string(size, 'x')); }
  SECTION("in large chunks") { CheckBesideReadiness(chunked + Chunks(size, 100000)); }
  SECTION("in very small chunks") { CheckBesideReadiness(chunked + Chunks(size, 16)); }
}

// Guards against the end of the process by an exception of the HTTP library (review/11).
TEST_CASE("hostile callers: a long trailer to the port of readiness and metrics",
          "[entry][hostile][alone]") {
  CheckBesideReadiness(ReadinessHead("Transfer-Encoding: chunked") + Chunks(100, 10) +
                       "0\r\nX: " + std::string(70000, 'y') + "\r\n\r\n");
}

// Guards against answers that are held for callers which do not take them.
TEST_CASE("hostile callers: metrics that are not taken", "[entry][hostile][alone]") {
  std::string requests;
  for (int i = 0; i < 1000; ++i) requests += "GET /metrics HTTP/1.1\r\nHost: vm.example\r\n\r\n";
  CheckBesideReadiness(requests);
}

// Guards against checks that use up the descriptors which callers and servers need.
TEST_CASE("hostile callers: more connections to the port of readiness than descriptors",
          "[entry][hostile][alone]") {
  constexpr std::size_t max_sockets = 100;
  entry_deployment deployment({.max_fds = max_sockets + 200});
  deployment.WaitUntilServing();
  {
    caller_crowd crowd(deployment.ready_address(), kCrowd);
    crowd.Send("GET /v1/ready HTTP/1.1\r\nHost: vm.exa", kPiece, kSendLimit);
    CheckServesAndReady(deployment, kCrowd);
    CHECK(Descriptors(deployment.entry()) < max_sockets);
  }
  CheckServesAndReady(deployment, kCrowd);
}

// Guards against reserving or holding frames without limit for connections that say they are VMs.
TEST_CASE("hostile callers: unfinished frames to the port for the other VMs",
          "[entry][hostile][alone]") {
  constexpr std::size_t vms = 400;
  entry_deployment deployment(SmallMachine());
  deployment.WaitUntilServing();
  std::string after = LargestLength();
  SECTION("announced") {}
  SECTION("stopped just short of their end") { after += std::string(kMaxFrameBytes - 1000, 'x'); }
  {
    const auto crowd = ConnectVms(deployment, vms, after);
    crowd.front()->WaitUntilRead(kReadLimit);
    CheckServesAndReady(deployment, vms);
  }
  CheckServesAndReady(deployment, vms);
}

// Guards against connections that say they are VMs and use up the descriptors.
TEST_CASE("hostile callers: more connections of VMs than descriptors", "[entry][hostile][alone]") {
  constexpr std::size_t max_sockets = 100;
  entry_deployment deployment({.max_fds = max_sockets + 200});
  deployment.WaitUntilServing();
  {
    const auto crowd = ConnectVms(deployment, kCrowd, "");
    CheckServesAndReady(deployment, kCrowd);
    CHECK(Descriptors(deployment.entry()) < max_sockets);
  }
  CheckServesAndReady(deployment, kCrowd);
}

// Guards against bounds that hold for each way alone and not for all of them together.
TEST_CASE("hostile callers: several ways at once", "[entry][hostile][alone]") {
  constexpr std::size_t callers = 60;
  entry_deployment deployment(SmallMachine());
  deployment.WaitUntilServing();
  {
    caller_crowd announced(deployment.CallerAddress(0), callers);
    announced.Send(Announced(kMaxBodyBytes) + std::string(kMaxBodyBytes - 1000, 'x'), kPiece,
                   kSendLimit);
    caller_crowd chunked(deployment.CallerAddress(0), callers);
    chunked.Send(Chunked(kMaxBodyBytes - 1000, 16), kPiece, kSendLimit);
    caller_crowd checks(deployment.ready_address(), callers);
    checks.Send(ReadinessHead("Transfer-Encoding: chunked") + Chunks(kMaxBodyBytes - 1000, 100000),
                kPiece, kSendLimit);
    const auto vms =
        ConnectVms(deployment, callers, LargestLength() + std::string(kMaxFrameBytes - 1000, 'x'));
    announced.WaitUntilRead(kReadLimit);
    checks.WaitUntilRead(kReadLimit);
    vms.front()->WaitUntilRead(kReadLimit);
    CheckServesAndReady(deployment, 4 * callers);
  }
  CheckServesAndReady(deployment, 4 * callers);
}

}  // namespace
}  // namespace waxwingwing::integration
