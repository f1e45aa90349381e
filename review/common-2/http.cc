#include "http.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <sstream>

namespace waxwingwing::review {
namespace {

constexpr milliseconds kIdleLimit{60000};
constexpr std::size_t kHexBase = 16;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, kHexBase));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& text) {
  std::map<std::string, std::string> query;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, '&')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) continue;
    query[Decode(part.substr(0, equals))] = Decode(part.substr(equals + 1));
  }
  return query;
}

std::string Find(const header_map& headers, const std::string& name) {
  const auto found = headers.find(Lower(name));
  return found == headers.end() ? std::string() : found->second;
}

/// A message's first line and headers, and where its body begins.
struct message_head {
  std::string first_line;
  header_map headers;
  std::size_t size = 0;
};

std::optional<message_head> ParseHead(const std::string& bytes) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  message_head head;
  head.size = end + 4;
  std::istringstream lines(bytes.substr(0, end));
  std::string line;
  while (std::getline(lines, line)) {
    if (line.ends_with('\r')) line.pop_back();
    const std::size_t colon = line.find(':');
    if (head.first_line.empty()) {
      head.first_line = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      head.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
  }
  return head;
}

std::size_t BodySize(const message_head& head) {
  const std::string length = Find(head.headers, "content-length");
  return length.empty() ? 0 : std::stoul(length);
}

/// Reads one message with a body of stated length into `head` and `body`; `bytes` keeps the rest.
bool ReadMessage(const descriptor& socket, std::string& bytes, message_head& head,
                 std::string& body, time_point deadline) {
  for (;;) {
    const auto parsed = ParseHead(bytes);
    if (parsed && bytes.size() >= parsed->size + BodySize(*parsed)) {
      head = *parsed;
      body = bytes.substr(head.size, BodySize(head));
      bytes.erase(0, head.size + body.size());
      return true;
    }
    if (Receive(socket, bytes, deadline) != receive_result::kBytes) return false;
  }
}

std::string Print(const std::string& first_line, const header_map& headers,
                  const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

http_request ToRequest(const message_head& head, std::string body) {
  http_request request;
  std::istringstream words(head.first_line);
  std::string target;
  words >> request.method >> target;
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) request.query = ParseQuery(target.substr(mark + 1));
  request.headers = head.headers;
  request.body = std::move(body);
  return request;
}

}  // namespace

std::string http_request::Header(const std::string& name) const { return Find(headers, name); }

std::string http_request::Query(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

http_server::http_server(handler serve)
    : serve_(std::move(serve)), listener_(Listen()), accepting_([this] { Accept(); }) {}

http_server::~http_server() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const int connection : connections_) ::shutdown(connection, SHUT_RDWR);
  }
  ::shutdown(listener_.socket.get(), SHUT_RDWR);
  accepting_.join();
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return connections_.empty(); });
}

void http_server::Accept() {
  for (;;) {
    descriptor socket(::accept4(listener_.socket.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!socket) return;
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    connections_.insert(socket.get());
    std::thread([this, taken = std::move(socket)] {
      Serve(taken);
      const std::lock_guard ended(mutex_);
      connections_.erase(taken.get());
      ended_.notify_all();
    }).detach();
  }
}

void http_server::Serve(const descriptor& socket) const {
  std::string bytes;
  message_head head;
  std::string body;
  while (ReadMessage(socket, bytes, head, body, Now() + kIdleLimit)) {
    const http_response response = serve_(ToRequest(head, std::move(body)));
    const std::string line = "HTTP/1.1 " + std::to_string(response.status) + " X";
    if (!SendAll(socket, Print(line, response.headers, response.body))) return;
  }
}

http_answer Call(const std::string& address, const std::string& method, const std::string& target,
                 const header_map& headers, const std::string& body, milliseconds limit) {
  const descriptor socket = Connect(address);
  std::string line = method;
  line.append(" ").append(target).append(" HTTP/1.1");
  header_map sent = headers;
  sent.try_emplace("Host", address);
  sent["Connection"] = "close";
  if (!socket || !SendAll(socket, Print(line, sent, body))) return {};
  std::string bytes;
  message_head head;
  http_answer answer;
  if (!ReadMessage(socket, bytes, head, answer.body, Now() + limit)) return {};
  std::istringstream words(head.first_line);
  std::string version;
  words >> version >> answer.status;
  answer.headers = head.headers;
  return answer;
}

}  // namespace waxwingwing::review
