#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

constexpr std::size_t kReadSize = 65536;
constexpr int kBacklog = 512;
constexpr milliseconds kStoreTimeout{2000};

sockaddr_in Resolve(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in resolved{};
  resolved.sin_family = AF_INET;
  resolved.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &resolved.sin_addr);
  return resolved;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

std::string BigEndian(std::size_t number) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU);
  }
  return bytes;
}

void SetNoDelay(int socket) {
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

std::int64_t NowMicros() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

time_point After(milliseconds time) { return std::chrono::steady_clock::now() + time; }

descriptor::~descriptor() {
  if (number_ >= 0) ::close(number_);
}

std::string message::Field(std::string_view name) const {
  for (const auto& [known, value] : fields) {
    if (EqualsIgnoringCase(known, name)) return value;
  }
  return {};
}

std::string message::SecondWord() const {
  const std::size_t start = std::min(start_line.find(' '), start_line.size() - 1) + 1;
  return start_line.substr(start, start_line.find(' ', start) - start);
}

std::optional<connection> connection::Open(const std::string& address) {
  descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in resolved = Resolve(address);
  const auto* generic = reinterpret_cast<const sockaddr*>(&resolved);  // NOLINT
  if (::connect(socket.number(), generic, sizeof resolved) != 0) return std::nullopt;
  SetNoDelay(socket.number());
  return connection(std::move(socket));
}

bool connection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket_.number(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

read_result connection::Fill(time_point deadline) {
  for (;;) {
    const auto left =
        std::chrono::ceil<milliseconds>(deadline - std::chrono::steady_clock::now()).count();
    pollfd wait{socket_.number(), POLLIN, 0};
    const int ready = ::poll(&wait, 1, static_cast<int>(std::max<std::int64_t>(left, 0)));
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return read_result::kTimeout;
    std::array<char, kReadSize> bytes;
    const ssize_t size = ::recv(socket_.number(), bytes.data(), bytes.size(), 0);
    if (size <= 0) return read_result::kEnd;
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    return read_result::kMessage;
  }
}

read_result connection::ReadHead(message& read, time_point deadline) {
  read = {};
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    const read_result filled = Fill(deadline);
    if (filled != read_result::kMessage) return filled;
  }
  const std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  std::size_t start = head.find("\r\n");
  read.start_line = head.substr(0, start);
  for (start += 2; start < head.size();) {
    const std::size_t line_end = head.find("\r\n", start);
    const std::string line = head.substr(start, line_end - start);
    start = line_end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return read_result::kMalformed;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    read.fields.emplace_back(line.substr(0, colon),
                             value == std::string::npos ? std::string() : line.substr(value));
  }
  return read_result::kMessage;
}

read_result connection::ReadBody(std::size_t length, std::string& body, time_point deadline) {
  while (buffer_.size() < length) {
    const read_result filled = Fill(deadline);
    if (filled != read_result::kMessage) return filled;
  }
  body += buffer_.substr(0, length);
  buffer_.erase(0, length);
  return read_result::kMessage;
}

read_result connection::ReadChunks(std::string& body, time_point deadline) {
  for (;;) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      const read_result filled = Fill(deadline);
      if (filled != read_result::kMessage) return filled;
    }
    const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    buffer_.erase(0, end + 2);
    std::string line_end;
    read_result part = ReadBody(size, body, deadline);
    if (part == read_result::kMessage) part = ReadBody(2, line_end, deadline);
    if (part != read_result::kMessage || size == 0) return part;
  }
}

read_result connection::Read(message& read, time_point deadline) {
  const read_result head = ReadHead(read, deadline);
  if (head != read_result::kMessage) return head;
  if (EqualsIgnoringCase(read.Field("Transfer-Encoding"), "chunked")) {
    return ReadChunks(read.body, deadline);
  }
  const std::string length = read.Field("Content-Length");
  if (length.empty()) return read_result::kMessage;
  return ReadBody(std::strtoul(length.c_str(), nullptr, 10), read.body, deadline);
}

listener::listener() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = Resolve("127.0.0.1:0");
  auto* generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT
  socklen_t size = sizeof address;
  if (::bind(socket_.number(), generic, size) != 0 || ::listen(socket_.number(), kBacklog) != 0 ||
      ::getsockname(socket_.number(), generic, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
  address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

connection listener::Accept() const {
  for (;;) {
    descriptor accepted(::accept4(socket_.number(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!accepted) continue;
    SetNoDelay(accepted.number());
    return connection(std::move(accepted));
  }
}

void record_file::Write(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << NowMicros() << ' ' << text << std::endl;
}

bool AppendToStore(const std::string& store, const std::string& topic, const std::string& key,
                   const std::string& value) {
  const std::string content = static_cast<char>(key.size()) + key + value;
  const std::string body = BigEndian(content.size()) + content;
  auto opened = connection::Open(store);
  if (!opened) return false;
  opened->Write("POST /v1/log-append?topic=" + topic + "&part=0 HTTP/1.1\r\nHost: store\r\n" +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  message answer;
  return opened->Read(answer, After(kStoreTimeout)) == read_result::kMessage &&
         answer.SecondWord() == "200";
}

std::string WriteCall(const std::string& target, const std::string& id, const std::string& key,
                      const std::string& headers, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 4000\r\nApi-Key: " + key + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Argument(const std::vector<std::string>& arguments, std::string_view name,
                     std::string fallback) {
  const std::string prefix = "--" + std::string(name) + "=";
  for (const std::string& argument : arguments) {
    if (argument.starts_with(prefix)) return argument.substr(prefix.size());
  }
  return fallback;
}

}  // namespace review
