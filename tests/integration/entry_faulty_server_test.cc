// Servers that write bytes that are not the answer to the request at hand.
#include <catch2/catch.hpp>
#include <string>

#include "tests/integration/entry_deployment.h"

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

}  // namespace
}  // namespace waxwingwing::integration
