#include "tests/integration/event_stream.h"

#include <chrono>
#include <limits>
#include <sstream>

namespace waxwingwing::integration {

event_stream::event_stream(const std::string& address, const std::string& path,
                           const header_list& headers, const nlohmann::json& body, settings options)
    : settings_(options) {
  // An eager parser returns from a read only at the end of the answer.
  parser_.eager(false);
  parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  const time_point deadline = std::chrono::steady_clock::now() + settings_.timeout;
  boost::system::error_code error =
      connection_.Connect(address, deadline, settings_.receive_buffer_bytes);
  if (!error) error = connection_.Write(address, {"POST", path, headers, body.dump()}, deadline);
  if (error) answer_.failure = error.message();
}

bool event_stream::ReadTokens(std::size_t count) {
  while (answer_.tokens.size() < count && !Ended()) ReadSome();
  return answer_.tokens.size() >= count;
}

const stream_answer& event_stream::ReadAll() {
  while (!Ended()) ReadSome();
  return answer_;
}

bool event_stream::Ended() const { return !answer_.failure.empty() || parser_.is_done(); }

void event_stream::ReadSome() {
  const time_point deadline = std::chrono::steady_clock::now() + settings_.timeout;
  const boost::system::error_code error = connection_.ReadSome(parser_, deadline);
  if (error) answer_.failure = error.message();
  if (!parser_.is_header_done()) return;
  if (answer_.raw.status == 0) answer_.raw = http_connection::ToAnswer(parser_);
  if (answer_.raw.Header("Content-Type").starts_with("text/event-stream")) ParseEvents();
  if (Ended()) answer_.raw.body = parser_.get().body();
}

void event_stream::ParseEvents() {
  const std::string& body = parser_.get().body();
  for (;;) {
    const std::size_t end = body.find("\n\n", parsed_);
    if (end == std::string::npos) return;
    ParseEvent(body.substr(parsed_, end - parsed_));
    parsed_ = end + 2;
  }
}

void event_stream::ParseEvent(const std::string& text) {
  std::string name;
  std::string data;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("event: ")) name = line.substr(7);
    if (line.starts_with("data: ")) data += line.substr(6);
  }
  if (data.empty()) return;
  if (data == "[DONE]") {
    answer_.done = true;
  } else if (name == "error") {
    answer_.error_event = nlohmann::json::parse(data);
  } else {
    AddToken(nlohmann::json::parse(data));
  }
}

void event_stream::AddToken(const nlohmann::json& event) {
  const nlohmann::json& delta = event.at("choices").at(0).at("delta");
  answer_.tokens.push_back(delta.value("content", std::string()));
  answer_.indexes.push_back(event.value("index", std::uint64_t{0}));
  answer_.attempts.push_back(event.value("attempt", std::string()));
}

}  // namespace waxwingwing::integration
