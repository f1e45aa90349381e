#include <algorithm>
#include <mutex>
#include <sstream>
#include <thread>

#include "server.h"

namespace review {
namespace {

using nlohmann::json;

/// A model runner that joins groups by orders and answers streams as the head of an open one.
///
/// With `--refuse_leave=1` it is full when it gets its first `leave`: it answers 503 and states
/// that it has not run it. With `--late_copy=1` it sends the second copy of an answer, once: when
/// it gets its first `leave` on a connection that has carried an answer before, it sends that
/// answer again. With and without this, it is silent for `--silence_ms` before it carries out that
/// `leave`.
class model_runner {
 public:
  explicit model_runner(const std::vector<std::string>& arguments)
      : late_copy_(Argument(arguments, "late_copy", "0") == "1"),
        refuse_leave_(Argument(arguments, "refuse_leave", "0") == "1"),
        silence_(std::stoi(Argument(arguments, "silence_ms", "0"))),
        server_{Argument(arguments, "id", "runner"), "pool", Argument(arguments, "store", ""), "",
                [this](json& entry) { AddState(entry); }},
        record_(Argument(arguments, "record", "/dev/null")) {}

  registration& server() { return server_; }

  void Serve(connection caller) {
    message request;
    std::string last_answer;
    while (caller.Read(request, After(kIdleTimeout)) == read_result::kMessage) {
      WaitWhileSilent();
      if (IsFirstLeave(request)) {
        if (late_copy_ && !last_answer.empty()) {
          record_.Write(server_.id + " sends the second copy of an answer: " +
                        last_answer.substr(0, last_answer.find('\r')));
          caller.Write(last_answer);
        }
        WaitWhileSilent();
      }
      last_answer = Answer(request, caller);
      if (!last_answer.empty() && !caller.Write(last_answer)) return;
    }
  }

 private:
  static constexpr milliseconds kIdleTimeout{30000};
  static constexpr milliseconds kJoinTime{200};
  static constexpr milliseconds kOpenTime{100};
  static constexpr milliseconds kEventInterval{20};
  static constexpr int kEvents = 5;

  struct membership {
    std::string group;
    std::uint64_t epoch = 0;
    std::size_t rank = 0;
    std::string state;
    std::vector<std::string> members;
  };

  void WaitWhileSilent() {
    for (;;) {
      time_point until;
      {
        const std::lock_guard lock(mutex_);
        until = silent_until_;
      }
      if (std::chrono::steady_clock::now() >= until) return;
      std::this_thread::sleep_until(until);
    }
  }

  bool IsFirstLeave(const message& request) {
    if (request.SecondWord() != "/v1/order" || silence_.count() == 0) return false;
    if (json::parse(request.body, nullptr, false).value("op", "") != "leave") return false;
    const std::lock_guard lock(mutex_);
    if (got_leave_) return false;
    got_leave_ = true;
    silent_until_ = After(silence_);
    record_.Write(server_.id + " is silent for " + std::to_string(silence_.count()) + " ms");
    return true;
  }

  void AddState(json& entry) {
    WaitWhileSilent();
    const std::lock_guard lock(mutex_);
    entry["domain"] = "ifo-d0";
    entry["staged"] = json::array();
    entry["models"] = json::array();
    if (!model_.empty()) entry["models"].push_back({{"name", model_}, {"version", 1}});
    if (!membership_) return;
    entry["group"] = {{"name", membership_->group},
                      {"epoch", membership_->epoch},
                      {"rank", membership_->rank},
                      {"state", membership_->state}};
  }

  /// Records the state of the group whose head this is. Called with the mutex held.
  void RecordHead(const std::string& state) {
    if (membership_->rank == 0) {
      record_.Write(server_.id + " head_state " + membership_->group + " " + state);
    }
  }

  std::string Answer(const message& request, const connection& caller) {
    const std::string id = request.Field("Request-Id");
    const std::string expected = request.Field("Expect-Instance");
    const std::string headers = id.empty() ? "" : "Request-Id: " + id + "\r\n";
    if (!expected.empty() && expected != server_.id) {
      return WriteAnswer("421 Misdirected Request", headers + "Not-Executed: 1\r\n", "");
    }
    if (request.SecondWord() == "/v1/report") {
      json report = {{"busy", false}, {"queued", 0}, {"running", 0}};
      AddState(report);
      return WriteAnswer("200 OK", "Content-Type: application/json\r\n", report.dump());
    }
    if (request.SecondWord() == "/v1/order") {
      const unsigned status = TakeOrder(json::parse(request.body, nullptr, false));
      const std::string refusal = status == 503 ? "Not-Executed: 1\r\n" : "";
      return WriteAnswer(std::to_string(status) + " Order",
                         refusal + "Content-Type: application/json\r\n", "{}");
    }
    return Stream(headers, id, caller);
  }

  std::string Stream(const std::string& headers, const std::string& id, const connection& caller) {
    {
      const std::lock_guard lock(mutex_);
      if (!membership_ || membership_->rank != 0) {
        return WriteAnswer("421 Misdirected Request", headers + "Not-Executed: 1\r\n", "");
      }
      if (membership_->state != "open") {
        return WriteAnswer("503 Service Unavailable", headers + "Not-Executed: 1\r\n", "");
      }
      record_.Write(server_.id + " run " + id);
    }
    caller.Write("HTTP/1.1 200 OK\r\n" + headers + "Response-Signature: " + server_.id + "." + id +
                 "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= kEvents; ++event) {
      std::this_thread::sleep_for(kEventInterval);
      const std::string text = "id: " + std::to_string(event) + "\ndata: x\n\n";
      std::ostringstream chunk;
      chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
      caller.Write(chunk.str());
    }
    caller.Write("0\r\n\r\n");
    return {};
  }

  unsigned TakeOrder(const json& order) {
    const std::string op = order.value("op", "");
    const std::string group = order.value("group", "");
    const std::uint64_t epoch = order.value("epoch", std::uint64_t{0});
    const std::lock_guard lock(mutex_);
    if (op == "stage") return 202;
    if (op == "join") return Join(group, epoch, order);
    const bool fits = membership_ && membership_->group == group && membership_->epoch == epoch;
    if (!fits) return 409;
    if (op == "open" && membership_->rank == 0 && membership_->state == "ready") {
      ChangeLater(kOpenTime, "ready", "open");
      return 202;
    }
    if (op == "close" && membership_->state == "open") {
      membership_->state = "ready";
      RecordHead("ready");
      return 202;
    }
    if (op != "leave") return 409;
    if (std::exchange(refuse_leave_, false)) {
      record_.Write(server_.id + " refuses leave " + group);
      return 503;
    }
    RecordHead("left");
    membership_.reset();
    RegisterSoon();
    return 200;
  }

  unsigned Join(const std::string& group, std::uint64_t epoch, const json& order) {
    const auto members = order.value("members", std::vector<std::string>{});
    const bool same = membership_ && membership_->group == group && membership_->epoch == epoch;
    if (epoch < highest_epoch_ || (same && membership_->members != members)) return 412;
    if (same) return 200;
    const auto position = std::find(members.begin(), members.end(), server_.id);
    if (position == members.end()) return 409;
    record_.Write(server_.id + " join " + group + " was_in " +
                  (membership_ ? membership_->group : std::string("none")));
    highest_epoch_ = epoch;
    model_ = order.value("model", "");
    membership_ = membership{group, epoch, static_cast<std::size_t>(position - members.begin()),
                             "joining", members};
    ChangeLater(kJoinTime, "joining", "ready");
    return 202;
  }

  /// Changes the state after `time`, unless the membership changes before. Called with the mutex
  /// held.
  void ChangeLater(milliseconds time, const std::string& from, const std::string& to) {
    std::thread([this, time, from, to, group = membership_->group] {
      std::this_thread::sleep_for(time);
      {
        const std::lock_guard lock(mutex_);
        if (!membership_ || membership_->group != group || membership_->state != from) return;
        membership_->state = to;
        RecordHead(to);
      }
      Register(server_);
    }).detach();
    RegisterSoon();
  }

  void RegisterSoon() {
    std::thread([this] { Register(server_); }).detach();
  }

  const bool late_copy_;
  bool refuse_leave_;
  const milliseconds silence_;
  registration server_;
  record_file record_;
  std::mutex mutex_;
  std::optional<membership> membership_;
  std::string model_;
  std::uint64_t highest_epoch_ = 0;
  time_point silent_until_{};
  bool got_leave_ = false;
};

}  // namespace

int RunModelRunner(const std::vector<std::string>& arguments) {
  model_runner served(arguments);
  ServeForever(served.server(), [&](connection caller) { served.Serve(std::move(caller)); });
  return 0;
}

}  // namespace review
