#include "tests/unit/support/gateway_fixture.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "waxwingwing/streaming/event_parser.h"

namespace waxwingwing::testing {
namespace {

constexpr std::uint64_t kLargeBody = 64U << 20U;

}  // namespace

gateway_fixture::gateway_fixture() : snapshot_(std::make_shared<routing_snapshot>()) {
  settings.gap_timeout = milliseconds(200);
  settings.first_byte_timeout = milliseconds(2000);
  settings.stall_timeout = milliseconds(200);
  settings.default_deadline = milliseconds(5000);
  snapshot_->has_configuration = true;
  snapshot_->ready = true;
  // Tests do not republish the snapshot regularly, so its time is set ahead to keep it current.
  snapshot_->published_at = std::chrono::steady_clock::now() + std::chrono::hours(1);
  snapshot_->own_domain = failure_domain_id("ifo");
  auto& configuration = snapshot_->configuration;
  const organisation_id organisation("org");
  configuration.organisations[organisation].value.id = organisation;
  const model_group_id model("model");
  configuration.model_groups[model].value.id = model;
  for (const char* name : {"echo", "once"}) {
    const service_id service(name);
    configuration.services[service].value.id = service;
  }
  configuration.services[service_id("once")].value.repeatable = false;
  cell_ = std::make_unique<snapshot_cell<routing_snapshot>>(
      std::make_shared<const routing_snapshot>(*snapshot_));
}

void gateway_fixture::AddBackend(const std::string& name, const std::string& address,
                                 std::uint32_t requests) {
  backend_view view;
  view.replica = replica_id("replica-" + name);
  view.generation = generation(1);
  view.vm = vm_id(name);
  view.incarnation = incarnation(7);
  view.address = address;
  view.failure_domain = snapshot_->own_domain;
  view.routable = true;
  view.budget = std::make_shared<backend_budget>();
  view.budget->SetLimits(request_count(requests), token_count(1000000));
  budgets.push_back(view.budget);
  Change([&](routing_snapshot& snapshot) {
    snapshot.replicas[model_group_id("model")].push_back(view);
    snapshot.services[service_id("echo")].push_back(view);
    snapshot.services[service_id("once")].push_back(view);
  });
}

void gateway_fixture::Change(const std::function<void(routing_snapshot&)>& change) {
  change(*snapshot_);
  cell_->Publish(std::make_shared<const routing_snapshot>(*snapshot_));
}

void gateway_fixture::Start() {
  const auto selector = [] { return std::move(*MakeReplicaSelector("round_robin")); };
  const gateway_dependencies dependencies{*cell_, control, retries, metrics, selector};
  gateway = std::make_unique<gateway_server>(settings, dependencies);
  const auto address = gateway->Start();
  if (!address) throw std::runtime_error(address.reason());
  const auto port = std::stoi(address->substr(address->rfind(':') + 1));
  endpoint_ =
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
}

tcp::socket gateway_fixture::Connect() {
  tcp::socket socket(context_);
  socket.open(tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  socket.connect(endpoint_);
  return socket;
}

void gateway_fixture::Send(tcp::socket& socket, const std::string& target, const std::string& body,
                           const std::vector<std::pair<std::string, std::string>>& headers) {
  text_request request(http::verb::post, target, 11);
  request.set("X-Organisation", "org");
  for (const auto& [name, value] : headers) request.set(name, value);
  request.body() = body;
  request.prepare_payload();
  http::write(socket, request);
}

text_response gateway_fixture::Receive(tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kLargeBody);
  http::read(socket, buffer, parser);
  return parser.release();
}

text_response gateway_fixture::Post(
    const std::string& target, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  tcp::socket socket = Connect();
  Send(socket, target, body, headers);
  return Receive(socket);
}

text_response gateway_fixture::Get(const std::string& target) {
  tcp::socket socket = Connect();
  const text_request request(http::verb::get, target, 11);
  http::write(socket, request);
  return Receive(socket);
}

std::string ChatBody(std::uint64_t tokens, bool stream) {
  nlohmann::json message;
  message["role"] = "user";
  message["content"] = "hello";
  nlohmann::json body;
  body["model"] = "model";
  body["messages"] = nlohmann::json::array({message});
  body["max_tokens"] = tokens;
  body["stream"] = stream;
  return body.dump();
}

std::string StreamText(const std::string& body) {
  event_parser parser(byte_count(1U << 20U));
  std::vector<server_event> events;
  parser.Feed(body, events);
  std::string text;
  for (const server_event& event : events) {
    if (event.data == "[DONE]") {
      text += "<done>";
      continue;
    }
    const auto data = nlohmann::json::parse(event.data);
    if (event.type == "error") {
      text += "<" + data.at("error").at("code").get<std::string>() + ">";
      continue;
    }
    text += data.at("choices").at(0).at("delta").at("content").get<std::string>();
  }
  return text;
}

std::string CompleteText(std::uint64_t count, std::size_t size) {
  std::string text;
  for (std::uint64_t i = 0; i < count; ++i) text += TokenText(i, size);
  return text;
}

bool WaitFor(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

}  // namespace waxwingwing::testing
