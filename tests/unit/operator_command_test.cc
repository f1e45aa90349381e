#include "waxwingwing/cli/operator_command.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "cli/operator_report.h"
#include "tests/unit/mutation.h"
#include "tests/unit/scripted_http_server.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/platform/json_fields.h"

namespace waxwingwing {
namespace {

constexpr const char* kRefusedAddress = "127.0.0.1:0";
constexpr const char* kPending = R"({"note_id":"n","state":"pending"})";
constexpr const char* kAccepted =
    R"({"note_id":"n","state":"accepted","revision":7,"findings":[],"conflicts":[],"in_force":[)"
    R"({"failure_domain":"ifo","nodes":2,"confirmed":1}]})";
constexpr const char* kInForce = R"({"note_id":"n","state":"accepted","revision":7,"in_force":[)"
                                 R"({"failure_domain":"ifo","nodes":2,"confirmed":2},)"
                                 R"({"failure_domain":"sagamu","nodes":0,"confirmed":0}]})";
constexpr const char* kRejected =
    R"({"note_id":"n","state":"rejected","findings":[{"place":"$.add","message":"is bad"}],)"
    R"("conflicts":[{"place":"$.change","object":"failure_domains/ifo","revision":6}]})";
constexpr const char* kStatus =
    R"({"control_offset":9,"configuration":{"failure_domains":[{"id":"ifo","state":"in",)"
    R"("revision":5}]},"replicas":[{"id":"r1","serving":true,"members":["e1","e2"]}],)"
    R"("nodes":[{"vm":"n1","note":"a\u001bb"}],"refusals":{"queue_full":3},"retries":{"stream_cut":2}})";

/// Runs a command against an entry VM that sends scripted responses, and keeps the command's
/// output.
class cli_fixture {
 public:
  cli_fixture() {
    const std::string name = "waxwingwing-note-" + random_source::FromDevice().HexId();
    path_ = (std::filesystem::temp_directory_path() / name).string();
  }
  ~cli_fixture() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
    std::filesystem::remove(path_);
  }
  cli_fixture(const cli_fixture&) = delete;
  cli_fixture& operator=(const cli_fixture&) = delete;

  void Add(scripted_http_server::step next) { server_.Add(std::move(next)); }

  int Run(std::vector<std::string> arguments, const std::string& more_addresses = "") {
    arguments.push_back("--entry_address=" + more_addresses + server_.address());
    thread_ = std::thread([this] {
      const auto work = boost::asio::make_work_guard(context_);
      context_.run();
    });
    const int code = RunOperatorCommand(arguments, out, err);
    context_.stop();
    thread_.join();
    return code;
  }

  std::string NoteFile(const std::string& text) {
    std::ofstream(path_) << text;
    return path_;
  }

  const std::vector<scripted_http_server::seen_request>& seen() const { return server_.seen(); }

  std::ostringstream out;
  std::ostringstream err;

 private:
  boost::asio::io_context context_;
  scripted_http_server server_{context_};
  std::thread thread_;
  std::string path_;
};

bool Contains(const std::ostringstream& stream, const std::string& text) {
  return stream.str().find(text) != std::string::npos;
}

TEST_CASE("apply publishes a note and polls for its verdict", "[cli]") {
  cli_fixture test;
  test.Add({.status = 202, .body = kPending});
  test.Add({.body = kAccepted});
  REQUIRE(test.Run({"apply", test.NoteFile(R"({"note_id":"n","base_revision":3})")}) == 0);
  REQUIRE(test.seen().size() == 2);
  CHECK(test.seen()[0].method == "POST");
  CHECK(test.seen()[0].target == "/v1/admin/release_notes");
  CHECK(test.seen()[1].target == "/v1/admin/release_notes/n");
  CHECK(Contains(test.out, "accepted as revision 7"));
  CHECK(Contains(test.out, "ifo: 1 of 2 entry VMs confirmed, NOT CONFIRMED"));
}

TEST_CASE("apply waits until the note is in force", "[cli]") {
  cli_fixture test;
  test.Add({.body = kAccepted});
  test.Add({.body = kInForce});
  REQUIRE(test.Run({"apply", test.NoteFile(R"({"note_id":"n"})"), "--wait_in_force"}) == 0);
  CHECK(Contains(test.out, "ifo: 2 of 2 entry VMs confirmed\n"));
  CHECK(Contains(test.out, "sagamu: no entry VM is known"));
}

TEST_CASE("a note that is not confirmed in time gives exit code 3", "[cli]") {
  cli_fixture test;
  for (int i = 0; i < 5; ++i) test.Add({.body = kAccepted});
  const std::string file = test.NoteFile(R"({"note_id":"n"})");
  REQUIRE(test.Run({"apply", file, "--wait_in_force", "--timeout_ms=300"}) == 3);
  CHECK(Contains(test.out, "NOT CONFIRMED"));
  CHECK(Contains(test.err, "not confirmed everywhere"));
}

TEST_CASE("a rejected note prints all findings and conflicts", "[cli]") {
  cli_fixture test;
  test.Add({.body = kRejected});
  REQUIRE(test.Run({"apply", test.NoteFile(R"({"note_id":"n"})")}) == 1);
  CHECK(Contains(test.err, "$.add: is bad"));
  CHECK(Contains(test.err, "conflict: failure_domains/ifo was changed by revision 6"));
  CHECK(test.out.str().empty());
}

TEST_CASE("a note that the entry VM cannot parse gives exit code 1", "[cli]") {
  cli_fixture test;
  test.Add({.status = 400, .body = R"({"error":{"code":"c","message":"$.x: is unknown"}})"});
  REQUIRE(test.Run({"apply", test.NoteFile(R"({"note_id":"n"})")}) == 1);
  CHECK(Contains(test.err, "$.x: is unknown"));
}

TEST_CASE("drain changes the domain based on its revision and waits until it is in force",
          "[cli]") {
  cli_fixture test;
  test.Add({.body = kStatus});
  test.Add({.body = kAccepted});
  test.Add({.body = kInForce});
  REQUIRE(test.Run({"drain", "ifo"}) == 0);
  REQUIRE(test.seen().size() == 3);
  const auto note = nlohmann::json::parse(test.seen()[1].body);
  CHECK(note["base_revision"] == 5);
  CHECK(note["change"] ==
        nlohmann::json::parse(R"({"failure_domains":[{"id":"ifo","state":"out"}]})"));
  CHECK(test.seen()[2].target == "/v1/admin/release_notes/" + note["note_id"].get<std::string>());
}

TEST_CASE("restore of a domain that is in service changes nothing", "[cli]") {
  cli_fixture test;
  test.Add({.body = kStatus});
  REQUIRE(test.Run({"restore", "ifo"}) == 0);
  CHECK(Contains(test.out, "already in"));
  CHECK(test.seen().size() == 1);
}

TEST_CASE("an unknown domain gives exit code 1", "[cli]") {
  cli_fixture test;
  test.Add({.body = kStatus});
  REQUIRE(test.Run({"drain", "nowhere"}) == 1);
  CHECK(Contains(test.err, "no failure domain nowhere"));
}

TEST_CASE("status is printed in readable lines", "[cli]") {
  cli_fixture test;
  test.Add({.body = kStatus});
  REQUIRE(test.Run({"status"}, std::string(kRefusedAddress) + ",") == 0);
  CHECK(Contains(test.out, "control_offset: 9\n"));
  CHECK(Contains(test.out, "failure_domains:\n  id=ifo revision=5 state=in\n"));
  CHECK(Contains(test.out, "replicas:\n  id=r1 members=e1,e2 serving=true\n"));
  CHECK(Contains(test.out, "refusals:\n  queue_full=3\n"));
  CHECK(Contains(test.out, "retries:\n  stream_cut=2\n"));
  // Guards against control characters in a response that change the operator's terminal.
  CHECK(Contains(test.out, "note=a?b"));
  // The first address refused the connection; the second one answered.
  CHECK(Contains(test.err, "127.0.0.1:0: connecting"));
}

TEST_CASE("a note id that is not valid in a URL path is rejected", "[cli]") {
  cli_fixture test;
  REQUIRE(test.Run({"apply", test.NoteFile(R"({"note_id":"a/b ?"})")}) == 1);
  CHECK(Contains(test.err, "$.note_id"));
  CHECK(test.seen().empty());
}

TEST_CASE("printing a report from mutated responses never throws", "[cli][fuzz]") {
  random_source random(99);
  const char* const samples[] = {kStatus, kInForce, kRejected};
  for (int i = 0; i < 30000; ++i) {
    const auto value = ParseJson(Mutate(samples[random.Below(std::size(samples))], random));
    if (!value) continue;
    std::ostringstream out;
    REQUIRE_NOTHROW(PrintStatus(*value, out));
    REQUIRE_NOTHROW(PrintRejection(*value, out));
    REQUIRE_NOTHROW(PrintInForce(*value, out));
    REQUIRE_NOTHROW(IsInForce(*value));
  }
}

TEST_CASE("no response from any entry VM gives exit code 4", "[cli]") {
  std::ostringstream out;
  std::ostringstream err;
  const std::string flag = std::string("--entry_address=") + kRefusedAddress;
  REQUIRE(RunOperatorCommand({"status", flag}, out, err) == 4);
  REQUIRE(RunOperatorCommand({"drain", "ifo", flag}, out, err) == 4);
  CHECK(out.str().empty());
}

// Guards against `--help` being reported as an unknown flag or sent to an entry VM.
TEST_CASE("--help prints the usage and gives exit code 0", "[cli]") {
  std::ostringstream out;
  std::ostringstream err;
  CHECK(RunOperatorCommand({"apply", "--help"}, out, err) == 0);
  CHECK(Contains(out, "waxwingwing apply FILE"));
  CHECK(Contains(out, "--wait_in_force"));
  CHECK(err.str().empty());
}

// Guards against a note that is published twice because the operator retries it under a new id.
TEST_CASE("apply without a response asks to publish again under the same id", "[cli]") {
  cli_fixture test;
  const std::string file = test.NoteFile(R"({"note_id":"n"})");
  std::ostringstream out;
  std::ostringstream err;
  const std::string flag = std::string("--entry_address=") + kRefusedAddress;
  REQUIRE(RunOperatorCommand({"apply", file, flag}, out, err) == 4);
  CHECK(Contains(err, "release note n may have been published"));
  CHECK(Contains(err, "the same note_id"));
}

// Guards against errors of several entry VMs that are printed again at every poll.
TEST_CASE("a repeated fault of an entry VM is printed once", "[cli]") {
  cli_fixture test;
  for (int i = 0; i < 5; ++i) test.Add({.body = kAccepted});
  const std::string file = test.NoteFile(R"({"note_id":"n"})");
  const std::string more = std::string(kRefusedAddress) + ",127.0.0.2:0,";
  REQUIRE(test.Run({"apply", file, "--wait_in_force", "--timeout_ms=300"}, more) == 3);
  const std::string text = test.err.str();
  const std::string fault = std::string(kRefusedAddress) + ": connecting";
  const std::size_t first = text.find(fault);
  REQUIRE(first != std::string::npos);
  CHECK(text.find(fault, first + 1) == std::string::npos);
}

TEST_CASE("wrong usage reports all faults and gives exit code 2", "[cli]") {
  std::ostringstream out;
  std::ostringstream err;
  CHECK(RunOperatorCommand({}, out, err) == 2);
  CHECK(RunOperatorCommand({"status", "x", "--entry_address=127.0.0.1:1"}, out, err) == 2);
  CHECK(RunOperatorCommand({"status", "--entry_address"}, out, err) == 2);
  CHECK(RunOperatorCommand({"status", "--helpfull", "--entry_address=127.0.0.1:1"}, out, err) == 2);
  const std::string missing = "/nonexistent/note.json";
  CHECK(RunOperatorCommand({"apply", missing, "--entry_address=127.0.0.1:1"}, out, err) == 2);
  err.str("");
  CHECK(RunOperatorCommand({"fly", "--timeout_ms=x", "--odd=1", "--entry_address=here"}, out,
                           err) == 2);
  CHECK(Contains(err, "--timeout_ms: invalid value"));
  CHECK(Contains(err, "--odd: unknown flag"));
  CHECK(Contains(err, "--entry_address: not an address"));
  CHECK(Contains(err, "command: must be"));
  CHECK(out.str().empty());
}

}  // namespace
}  // namespace waxwingwing
