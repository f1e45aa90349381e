// Servers that write bytes that are not the answer to the request at hand.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/entry_deployment.h"
#include "tests/integration/http_connection.h"
#include "tests/integration/wait_for.h"

namespace waxwingwing::integration {
namespace {

/// A refusal as servers write it; `id_header` is empty or a whole line.
std::string Refusal(const std::string& id_header) {
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + id_header +
         "Content-Length: 2\r\n\r\n{}";
}

result<http_answer> CallOnce(const entry_deployment& deployment, const std::string& id) {
  return deployment.Call("POST", "/once/a", {{"Request-Id", id}}, "confirm");
}

/// Whether the entry VM has skipped an answer to another request.
bool HasSkippedAnswer(const entry_deployment& deployment) {
  const std::string metrics = http_client(deployment.ready_address()).Get("/metrics").body;
  return metrics.find("waxwingwing_foreign_answers_total") != std::string::npos;
}

/// Sends requests that may run once, one after the other, until a copy of a refusal was skipped.
/// Shows that servers still write copies.
void ReadCopies(entry_deployment& deployment) {
  deployment.SetFault(deployment.service(), "reject", 1);
  for (int i = 0; i < 100 && !HasSkippedAnswer(deployment); ++i) {
    REQUIRE(CallOnce(deployment, "copy-" + std::to_string(i)));
    // A server that refused a request receives none for some milliseconds.
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(HasSkippedAnswer(deployment));
}

/// Sends requests until each server of the plain service has run one, so that the entry VM has an
/// idle connection to each.
void KeepConnections(entry_deployment& deployment) {
  for (const auto& service : deployment.services()) {
    while (deployment.Records(*service, "runs").empty()) {
      REQUIRE(deployment.Call("GET", "/lookup/x"));
    }
  }
}

// Guards against giving a caller an earlier request's refusal that the server repeats on a kept
// connection, although the caller's own request has run.
TEST_CASE("entry: a repeated refusal of an earlier request answers no later one", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  KeepConnections(deployment);
  SECTION("written before the later request is sent") {
    deployment.SetFault(deployment.service(), "bytes_after", Refusal("Request-Id: {id}\r\n"));
  }
  SECTION("written in front of the later request's answer") {
    deployment.SetFault(deployment.service(), "bytes_before", Refusal("Request-Id: earlier-1\r\n"));
  }
  deployment.SetFault(deployment.service(), "reject", 1);
  const auto refused = CallOnce(deployment, "earlier-1");
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK(deployment.RunsOf("earlier-1") == 0);
  // A server that refused a request receives none for some milliseconds.
  std::string id;
  for (int i = 0; i < 100 && (id.empty() || deployment.RunsOf(id) == 0); ++i) {
    id = "later-" + std::to_string(i);
    const auto answer = CallOnce(deployment, id);
    REQUIRE(answer);
    CHECK((answer->status == 503) == (deployment.RunsOf(id) == 0));
    if (answer->status == 200) CHECK(answer->body == "answer to " + id);
  }
  CHECK(deployment.RunsOf(id) == 1);
}

// Guards against taking the copy of a refusal for the outcome of the same request's next attempt,
// when its caller sends it again and it takes the connection on which it was refused.
TEST_CASE("entry: the copy of a refusal is no answer to the request's next attempt", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  KeepConnections(deployment);
  deployment.SetFault(deployment.service(), "copy_refusals", true);
  deployment.SetFault(deployment.service(), "reject", 1);
  const std::string id = "again-1";
  for (int i = 0; i < 100 && deployment.RunsOf(id) == 0; ++i) {
    const auto answer = CallOnce(deployment, id);
    REQUIRE(answer);
    CHECK((answer->status == 503) == (deployment.RunsOf(id) == 0));
    if (answer->status == 200) CHECK(answer->body == "answer to " + id);
  }
  CHECK(deployment.RunsOf(id) == 1);
  ReadCopies(deployment);
}

/// Registers a server of the plain service that is gone and whose address another one has now.
void RegisterFormerServer(entry_deployment& deployment, const std::string& id) {
  const nlohmann::json entry = {{"service", "desk"},
                                {"addr", deployment.service().Address()},
                                {"zone", "ifo"},
                                {"version", "v1"},
                                {"slots", 4},
                                {"state", "ready"},
                                {"cold_left_ms", 0},
                                {"domain", ""},
                                {"staged", nlohmann::json::array()},
                                {"born", 1},
                                {"seq", 1},
                                {"models", nlohmann::json::array()}};
  deployment.WriteRegistration(id, entry.dump());
}

// Guards against taking the copy of a refusal for the outcome of the same request's next send, when
// two registrations name one address, so that the request returns to the server that refused it.
TEST_CASE("entry: the copy of a refusal is no answer when an address is listed under two ids",
          "[entry]") {
  entry_deployment deployment({.services = 2});
  deployment.WaitUntilServing();
  KeepConnections(deployment);
  for (const auto& service : deployment.services()) {
    deployment.SetFault(*service, "copy_refusals", true);
  }
  std::size_t moved = 0;
  for (int i = 0; i < 60 && moved < 5; ++i) {
    const std::string id = "moved-" + std::to_string(i);
    RegisterFormerServer(deployment, "former-" + std::to_string(i));
    std::this_thread::sleep_for(milliseconds(100));
    const auto answer = CallOnce(deployment, id);
    REQUIRE(answer);
    CHECK((answer->status == 503) == (deployment.RunsOf(id) == 0));
    CHECK(deployment.RunsOf(id) <= 1);
    if (answer->status == 200) CHECK(answer->body == "answer to " + id);
    const auto refusals = deployment.LogLines("request_refused_by_server");
    moved = static_cast<std::size_t>(std::count_if(
        refusals.begin(), refusals.end(), [](const auto& line) { return line["status"] == 421; }));
  }
  CHECK(moved >= 5);
  ReadCopies(deployment);
}

// Guards against calling a request "not run", or running it at a second server, because of an
// earlier request's refusal that the server repeats without its id.
TEST_CASE("entry: a refusal without an id on a kept connection does not mean that a call never ran",
          "[entry]") {
  entry_deployment deployment({.services = 2});
  deployment.WaitUntilServing();
  KeepConnections(deployment);
  for (const auto& service : deployment.services()) {
    deployment.SetFault(*service, "bytes_before", Refusal(""));
  }
  const auto answer = CallOnce(deployment, "unclear-1");
  REQUIRE(answer);
  CHECK(answer->status == 502);
  CHECK(deployment.RunsOf("unclear-1") == 1);
}

// Guards against distrusting a refusal without an id that can be for this request only.
TEST_CASE("entry: a refusal without an id on a new connection means that a call never ran",
          "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  // The server closes the connection after these bytes, so that none is kept.
  deployment.SetFault(deployment.service(), "answer_bytes", Refusal(""));
  const auto answer = CallOnce(deployment, "refused-1");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(deployment.RunsOf("refused-1") == 0);
}

constexpr std::size_t kEvents = 40;
/// Gives the test the time, of some 400 ms, to set faults at the other servers.
constexpr std::size_t kEventsBeforeBreak = 20;

/// What a caller received of a stream, whether or not it ended properly.
struct received_stream {
  unsigned status = 0;
  std::string body;
  /// Whether the final chunk was received.
  bool complete = false;
};

/// What looks like the event that the caller expects next.
constexpr const char* kNextEvent = "id: 21\ndata: x\n\n";

received_stream ReceiveStream(const entry_deployment& deployment, const std::string& id) {
  const time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds(6);
  const header_list headers = {{"Host", "desk.example"}, {"Request-Id", id},
                               {"Deadline-Ms", "4000"},  {"Api-Key", "key-of-first-organisation"},
                               {"Model", "large"},       {"Token-Usage", "100,60"}};
  http_connection connection;
  http_connection::parser parser;
  auto error = connection.Connect(deployment.CallerAddress(0), deadline);
  const http_call call{"POST", "/stream/2f", headers, "prompt"};
  if (!error) error = connection.Write("desk.example", call, deadline);
  if (!error) error = connection.Read(parser, deadline);
  return {parser.get().result_int(), parser.get().body(), !error && parser.is_done()};
}

std::string WholeEvents(std::size_t count) {
  std::string events;
  for (std::size_t i = 1; i <= count; ++i) {
    events += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
  }
  return events;
}

std::string SignedHead(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: {id}\r\nResponse-Signature: x.{id}\r\n" + headers +
         "\r\n";
}

std::string SignedAnswer(const std::string& status, const std::string& type,
                         const std::string& body) {
  const std::string headers =
      "Content-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  return SignedHead(status, headers) + body;
}

bool HasRecord(entry_deployment& deployment, child_process& server, const std::string& list,
               const std::string& id) {
  const auto records = deployment.Records(server, list);
  return std::any_of(records.begin(), records.end(),
                     [&](const auto& record) { return record["request"] == id; });
}

/// The runner at which the request runs; null when it runs nowhere in time.
child_process* FindRun(entry_deployment& deployment, const std::string& id) {
  child_process* found = nullptr;
  WaitFor(
      [&] {
        for (const auto& runner : deployment.runners()) {
          if (HasRecord(deployment, *runner, "runs", id)) found = runner.get();
        }
        return found != nullptr;
      },
      milliseconds(2000));
  return found;
}

/// Sends a stream that breaks off at its first server; from then on, all other servers answer with
/// `answer`. Returns what its caller received. Tries again when the stream was resumed before.
received_stream ReceiveBrokenStream(entry_deployment& deployment, const std::string& answer) {
  for (int i = 0; i < 20; ++i) {
    const std::string id = "broken-" + std::to_string(i);
    for (const auto& runner : deployment.runners()) {
      deployment.SetFault(*runner, "answer_bytes", "");
      deployment.SetFault(*runner, "break_after", kEventsBeforeBreak);
    }
    auto received = std::async(std::launch::async, [&] { return ReceiveStream(deployment, id); });
    const child_process* first = FindRun(deployment, id);
    for (const auto& runner : deployment.runners()) {
      if (runner.get() != first) deployment.SetFault(*runner, "answer_bytes", answer);
    }
    received_stream stream = received.get();
    for (const auto& runner : deployment.runners()) {
      if (HasRecord(deployment, *runner, "raw_answers", id)) return stream;
    }
  }
  throw std::runtime_error("no broken stream reached another server");
}

// Guards against giving a caller the text of an error in the middle of a stream, and against ending
// the stream as if it were complete, when the server that was to resume it answers with an error.
TEST_CASE("entry: a stream that cannot be resumed ends after a whole event and not as complete",
          "[entry]") {
  // Two groups, so that there is another one.
  entry_deployment deployment({.runners = 6, .events = kEvents});
  deployment.WaitUntilServing();
  std::string answer;
  SECTION("503 with the statement that it has not run") {
    answer = Refusal("Request-Id: {id}\r\n");
  }
  SECTION("500") { answer = SignedAnswer("500 Internal Server Error", "text/plain", kNextEvent); }
  SECTION("404") { answer = SignedAnswer("404 Not Found", "text/plain", kNextEvent); }
  SECTION("200 with an object") {
    answer = SignedAnswer("200 OK", "application/json", R"({"error":"broken"})");
  }
  SECTION("200 of another type without a body") {
    answer = SignedAnswer("200 OK", "application/json", "");
  }
  SECTION("200 with a text that looks like an event") {
    answer = SignedAnswer("200 OK", "text/plain; charset=utf-8", kNextEvent);
  }
  SECTION("200 with a head in the stream") {
    answer = SignedAnswer("200 OK", "text/event-stream",
                          "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
  }
  const received_stream received = ReceiveBrokenStream(deployment, answer);
  CHECK(received.status == 200);
  CHECK(received.body == WholeEvents(kEventsBeforeBreak));
  CHECK_FALSE(received.complete);
}

/// Beginnings of an answer's head, none of which is a whole head.
std::vector<std::string> PartialHeads() {
  const std::string head = SignedHead(
      "200 OK",
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: x\r\n");
  std::vector<std::string> heads;
  for (std::size_t size = 1; size < head.size(); ++size) {
    // Each place in the status line and around the ends of lines, and some others.
    const bool near_end = head.find("\r\n", size < 2 ? 0 : size - 2) < size + 2;
    if (size < 20 || near_end || size % 11 == 0) heads.push_back(head.substr(0, size));
  }
  return heads;
}

// Guards against giving a caller a whole answer with an empty or short body when the server stopped
// within the head of its answer.
TEST_CASE("entry: an answer that ends within its head is not passed on as one", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  child_process& head_runner = deployment.Head();
  for (const std::string& bytes : PartialHeads()) {
    INFO(bytes);
    deployment.SetFault(deployment.service(), "answer_bytes", bytes);
    const auto once = deployment.Call("POST", "/once/a", {}, "confirm");
    CHECK((!once || once->status == 502));
    const auto lookup = deployment.Call("GET", "/lookup/x");
    CHECK((!lookup || lookup->status >= 500));
    deployment.SetFault(head_runner, "answer_bytes", bytes);
    const received_stream stream = ReceiveStream(deployment, "partial-head");
    CHECK(stream.status != 200);
  }
}

// Guards against passing on a status line that a server has garbled as the answer: as an interim
// response, after which the caller waits for a final one, or as a status that HTTP does not have.
TEST_CASE("entry: a status that is not that of a final response is not passed on", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  child_process& head_runner = deployment.Head();
  for (const std::string line : {"000 OK", "100 OK", "101 OK", "199 OK", "600 OK", "999 OK"}) {
    INFO(line);
    const std::string answer = SignedAnswer(line, "text/plain", "whole");
    deployment.SetFault(deployment.service(), "answer_bytes", answer);
    const auto once = deployment.Call("POST", "/once/a", {}, "confirm");
    REQUIRE(once);
    CHECK(once->status == 502);
    const auto lookup = deployment.Call("GET", "/lookup/x");
    REQUIRE(lookup);
    CHECK((lookup->status == 502 || lookup->status == 503));
    deployment.SetFault(head_runner, "answer_bytes", answer);
    const received_stream stream = ReceiveStream(deployment, "garbled-status");
    CHECK((stream.status == 502 || stream.status == 503));
  }
}

// Guards against taking an interim response for the answer, also where it begins a stream.
TEST_CASE("entry: interim responses are skipped", "[entry]") {
  entry_deployment deployment({.events = kEvents});
  deployment.WaitUntilServing();
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
  deployment.SetFault(deployment.service(), "bytes_before", interim);
  const auto once = CallOnce(deployment, "interim-1");
  REQUIRE(once);
  CHECK(once->status == 200);
  CHECK(once->body == "answer to interim-1");
  CHECK(deployment.RunsOf("interim-1") == 1);
  deployment.SetFault(deployment.Head(), "bytes_before", interim);
  const received_stream stream = ReceiveStream(deployment, "interim-2");
  CHECK(stream.status == 200);
  CHECK(stream.body == WholeEvents(kEvents));
  CHECK(stream.complete);
}

constexpr std::size_t kCallers = 160;
/// An entry VM has 260 MB.
constexpr std::size_t kMemoryLimitKilobytes = std::size_t{130} * 1024;
constexpr milliseconds kDeadline{2000};

/// Largest memory that the process has had so far.
std::size_t PeakKilobytes(const child_process& process) {
  std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
  std::string name;
  while (status >> name) {
    std::size_t kilobytes = 0;
    if (name == "VmHWM:" && status >> kilobytes) return kilobytes;
  }
  throw std::runtime_error("the memory of the process is unknown");
}

/// Sends requests at the same time; returns their answers' statuses, 0 for those without a whole
/// answer in time.
std::vector<unsigned> CallAtOnce(const entry_deployment& deployment, const http_call& call) {
  std::vector<std::future<unsigned>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::async(std::launch::async, [&]() -> unsigned {
      header_list headers = call.headers;
      headers.emplace_back("Deadline-Ms", std::to_string(kDeadline.count()));
      const auto answer = deployment.Call(call.method, call.path, headers, call.body);
      return answer ? answer->status : 0;
    }));
  }
  std::vector<unsigned> statuses;
  statuses.reserve(callers.size());
  for (auto& caller : callers) statuses.push_back(caller.get());
  return statuses;
}

/// A head of the shortest header fields.
std::string HeadOfSize(std::size_t size) {
  std::string fields;
  while (fields.size() < size) fields += "X:\r\n";
  return SignedHead("200 OK", fields);
}

// Guards against holding what a server sends without end until the memory is used up, and against
// waiting for its end longer than the caller does.
TEST_CASE("entry: servers that send without end use little memory and time", "[entry]") {
  entry_deployment deployment({.services = 10, .events = kEvents});
  deployment.WaitUntilServing();
  http_call call{"GET", "/lookup/x", {}, ""};
  std::string first = SignedHead("200 OK", "Transfer-Encoding: chunked\r\n");
  std::string endless = "x";
  SECTION("a status line") { first = "HTTP/1.1 200 "; }
  SECTION("a header") { first = "HTTP/1.1 200 OK\r\nX: "; }
  SECTION("headers") {
    first = "HTTP/1.1 200 OK\r\n";
    endless = "X: y\r\n";
  }
  SECTION("a body behind many headers") { first = HeadOfSize(std::size_t{16000}); }
  SECTION("a body behind a very large head") { first = HeadOfSize(std::size_t{32000}); }
  SECTION("interim responses") { first = endless = "HTTP/1.1 103 Early Hints\r\n\r\n"; }
  SECTION("a chunk's size") { endless = "0"; }
  SECTION("a chunk's extension") { first += "5;"; }
  SECTION("a chunk") { first += "7fffffff\r\n"; }
  SECTION("chunks") { endless = "10\r\n0123456789abcdef\r\n"; }
  SECTION("a trailer") { first += "0\r\nX: "; }
  SECTION("a body without a length") { first = SignedHead("200 OK", ""); }
  SECTION("a body of another request") { first = "HTTP/1.1 200 OK\r\nRequest-Id: other-1\r\n\r\n"; }
  SECTION("an event") {
    call = {"POST", "/stream/2f", {{"Model", "large"}, {"Token-Usage", "100,60"}}, "prompt"};
    first = SignedHead("200 OK", "Content-Type: text/event-stream\r\n") + "id: 1\ndata: ";
  }
  std::vector<child_process*> servers;
  for (const auto& service : deployment.services()) servers.push_back(service.get());
  for (const auto& runner : deployment.runners()) servers.push_back(runner.get());
  for (child_process* server : servers) {
    deployment.SetFault(*server, "endless_bytes", endless);
    deployment.SetFault(*server, "answer_bytes", first);
  }
  const time_point started_at = std::chrono::steady_clock::now();
  const auto statuses = CallAtOnce(deployment, call);
  CHECK(std::chrono::steady_clock::now() - started_at < kDeadline + std::chrono::seconds(2));
  for (const unsigned status : statuses) CHECK((status >= 502 && status <= 504));
  const std::size_t peak = PeakKilobytes(deployment.entry());
  UNSCOPED_INFO("peak of the memory in kB: " << peak);
  CHECK(peak < kMemoryLimitKilobytes);
  std::size_t answers = 0;
  for (child_process* server : servers)
    answers += deployment.Records(*server, "raw_answers").size();
  CHECK(answers > 0);
  CHECK(deployment.entry().Running());
}

// Guards against cutting off a whole stream, or a large body, because of the limits on what is
// buffered.
TEST_CASE("entry: large bodies are passed on whole up to the limit, and long streams", "[entry]") {
  entry_deployment deployment({});
  deployment.WaitUntilServing();
  const auto call = [&](std::size_t size) {
    const std::string body(size, 'x');
    deployment.SetFault(deployment.service(), "answer_bytes",
                        SignedAnswer("200 OK", "text/plain", body));
    const auto answer = deployment.Call("POST", "/once/a", {}, "confirm");
    REQUIRE(answer);
    if (answer->status == 200) CHECK(answer->body == body);
    return answer->status;
  };
  CHECK(call(std::size_t{8} << 20U) == 200);
  CHECK(call(std::size_t{17} << 20U) == 502);

  std::string events;
  for (int i = 1; i <= 400; ++i) {
    events += "id: " + std::to_string(i) + "\ndata: " + std::string(1024, 'x') + "\n\n";
  }
  for (const auto& runner : deployment.runners()) {
    deployment.SetFault(*runner, "answer_bytes",
                        SignedAnswer("200 OK", "text/event-stream", events));
  }
  const auto stream = deployment.Stream();
  REQUIRE(stream);
  CHECK(stream->body == events);
}

}  // namespace
}  // namespace waxwingwing::integration
