#include <atomic>
#include <thread>

#include "server.h"

namespace review {
namespace {

/// A server of a plain service. `--spoil_every=N` garbles the status line of each Nth answer: the
/// digits of `--spoil_as` in turn take the place of its first digit.
class desk {
 public:
  explicit desk(const std::vector<std::string>& arguments)
      : id_(Argument(arguments, "id", "desk-1")),
        work_(std::stoi(Argument(arguments, "work_ms", "15"))),
        spoil_every_(std::stoul(Argument(arguments, "spoil_every", "0"))),
        spoil_as_(Argument(arguments, "spoil_as", "2")),
        record_(Argument(arguments, "record", "/dev/null")) {}

  void Serve(connection caller) {
    message request;
    while (caller.Read(request, After(kIdleTimeout)) == read_result::kMessage) {
      if (!caller.Write(Answer(request))) return;
    }
  }

 private:
  static constexpr milliseconds kIdleTimeout{30000};

  std::string Answer(const message& request) {
    const std::string id = request.Field("Request-Id");
    const std::string expected = request.Field("Expect-Instance");
    std::string headers = "Request-Id: " + id + "\r\n";
    if (!expected.empty() && expected != id_) {
      return WriteAnswer("421 Misdirected Request", headers + "Not-Executed: 1\r\n", "");
    }
    record_.Write(id_ + " run " + id + " " + request.SecondWord() + " tenant=" +
                  request.Field("Tenant") + " body_bytes=" + std::to_string(request.body.size()));
    std::this_thread::sleep_for(work_);
    headers += "Response-Signature: " + id_ + "." + id + "\r\n";
    const std::size_t count = ++answers_;
    const bool spoils = spoil_every_ > 0 && count % spoil_every_ == 0;
    const char digit = spoils ? spoil_as_[count / spoil_every_ % spoil_as_.size()] : '2';
    if (spoils) record_.Write(id_ + " spoils " + id + " as " + digit + "00");
    return WriteAnswer(digit + std::string("00 OK"), headers, "answer to " + id);
  }

  const std::string id_;
  const milliseconds work_;
  const std::size_t spoil_every_;
  const std::string spoil_as_;
  record_file record_;
  std::atomic<std::size_t> answers_{0};
};

}  // namespace

int RunDesk(const std::vector<std::string>& arguments) {
  desk served(arguments);
  registration server{Argument(arguments, "id", "desk-1"), "desk", Argument(arguments, "store", ""),
                      "", [](nlohmann::json&) {}};
  ServeForever(server, [&](connection caller) { served.Serve(std::move(caller)); });
  return 0;
}

}  // namespace review
