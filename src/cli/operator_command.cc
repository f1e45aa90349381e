#include "waxwingwing/cli/operator_command.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include "cli/admin_client.h"
#include "cli/operator_arguments.h"
#include "cli/operator_report.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/platform/json_fields.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr const char* kUsage =
    "usage: waxwingwing apply FILE [--wait_in_force]\n"
    "       waxwingwing status\n"
    "       waxwingwing drain DOMAIN\n"
    "       waxwingwing restore DOMAIN\n"
    "flags, also as environment variables such as WAXWINGWING_ENTRY_ADDRESS:\n"
    "  --entry_address=ip:port[,ip:port...]  callers' addresses of entry VMs, tried in order\n"
    "  --timeout_ms=N                        time-out of the command, default 30000\n"
    "  --wait_in_force                       wait until every entry VM has confirmed the note\n"
    "exit codes: 0 done, 1 rejected, 2 wrong usage, 3 not confirmed in time, 4 no entry VM "
    "answers\n";
constexpr const char* kNotesTarget = "/v1/admin/release_notes";
constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kFirstClientError = 400;
constexpr std::uint32_t kFirstServerError = 500;

/// Whether the text is valid in a URL path without percent-encoding, which the endpoint does not
/// decode.
bool IsPathSegment(std::string_view text) {
  const auto allowed = [](unsigned char character) {
    return std::isalnum(character) != 0 ||
           std::string_view("._:-").find(static_cast<char>(character)) != std::string_view::npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), allowed);
}

/// Runs one subcommand: holds its arguments, its output streams and the client that it uses.
class command_run {
 public:
  command_run(const operator_arguments& arguments, std::ostream& out, std::ostream& err)
      : arguments_(arguments),
        out_(out),
        err_(err),
        client_(arguments.entry_addresses, std::chrono::steady_clock::now() + arguments.timeout,
                err) {}

  operator_exit Apply() {
    std::ifstream file(arguments_.operands[0], std::ios::binary);
    if (!file) {
      err_ << arguments_.operands[0] << ": cannot be read\n";
      return operator_exit::kUsage;
    }
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    const auto note = ParseJson(text);
    if (!note || !IsPathSegment(TextMember(*note, "note_id"))) {
      const std::string fault = "$.note_id: must be a text of letters, digits and . _ : -";
      err_ << arguments_.operands[0] << ": " << (note ? fault : note.reason()) << "\n";
      return operator_exit::kRejected;
    }
    return Publish(*note, arguments_.wait_in_force);
  }

  operator_exit Status() {
    const auto reply = client_.SendRequest("GET", "/v1/admin/status");
    const auto failure = StatusFailure(reply);
    if (failure) return *failure;
    PrintStatus(reply->body, out_);
    return operator_exit::kDone;
  }

  operator_exit Drain() { return SetDomainState("out"); }
  operator_exit Restore() { return SetDomainState("in"); }

 private:
  std::optional<operator_exit> StatusFailure(const std::optional<admin_reply>& reply) {
    if (!reply) return operator_exit::kUnreachable;
    if (reply->status == kOk) return std::nullopt;
    PrintRejection(reply->body, err_);
    return reply->status < kFirstServerError ? operator_exit::kRejected
                                             : operator_exit::kUnreachable;
  }

  operator_exit SetDomainState(const std::string& state) {
    const std::string& domain = arguments_.operands[0];
    const auto reply = client_.SendRequest("GET", "/v1/admin/status");
    const auto failure = StatusFailure(reply);
    if (failure) return *failure;
    const json& domains = Member(Member(reply->body, "configuration"), "failure_domains");
    const auto found = std::find_if(domains.begin(), domains.end(), [&](const json& row) {
      return row.is_object() && Member(row, "id") == domain;
    });
    if (found == domains.end()) {
      err_ << "there is no failure domain " << domain << "\n";
      return operator_exit::kRejected;
    }
    if (TextMember(*found, "state") == state) {
      out_ << domain << " is already " << state << "\n";
      return operator_exit::kDone;
    }
    return Publish(DomainNote(*found, state), true);
  }

  /// The release note that sets a domain's state. Its base is the domain's own revision, so that
  /// only a later change of this domain is a conflict.
  static json DomainNote(const json& domain, const std::string& state) {
    const std::string id = Member(domain, "id").get<std::string>();
    json note;
    note["note_id"] =
        (state == "out" ? "drain-" : "restore-") + id + "-" + random_source::FromDevice().HexId();
    note["base_revision"] = Member(domain, "revision");
    note["change"]["failure_domains"] = json::array({{{"id", id}, {"state", state}}});
    return note;
  }

  /// Publishes a note and waits for its verdict. Entry VMs use the note's id as its append
  /// id, so that publishing the note to several of them has the effect of publishing it once.
  operator_exit Publish(const json& note, bool wait_in_force) {
    const std::string id = TextMember(note, "note_id");
    const std::string target = std::string(kNotesTarget) + "/" + id;
    auto reply = client_.SendRequest("POST", kNotesTarget, PrintJson(note));
    if (!reply) {
      // A request that got no response may have been appended to the log all the same.
      err_ << "release note " << id
           << " may have been published; publish it again with the same note_id\n";
      return operator_exit::kUnreachable;
    }
    for (;;) {
      if (reply && IsRejection(*reply)) return Rejected(id, reply->body);
      const bool accepted = reply && TextMember(reply->body, "state") == "accepted";
      if (accepted && (!wait_in_force || IsInForce(reply->body))) return Accepted(id, reply->body);
      if (client_.DeadlinePassed()) return NotConfirmed(id, reply);
      client_.WaitPollInterval();
      auto next = client_.SendRequest("GET", target);
      // A poll that the command's deadline ended does not show whether the entry VMs are reachable.
      if (next || !client_.DeadlinePassed()) reply = std::move(next);
    }
  }

  static bool IsRejection(const admin_reply& reply) {
    const bool client_error = reply.status >= kFirstClientError && reply.status < kFirstServerError;
    return client_error || TextMember(reply.body, "state") == "rejected";
  }

  operator_exit Rejected(const std::string& id, const json& body) {
    err_ << "release note " << id << " was rejected\n";
    PrintRejection(body, err_);
    return operator_exit::kRejected;
  }

  operator_exit Accepted(const std::string& id, const json& body) {
    out_ << "release note " << id << " was accepted as revision "
         << PrintJson(Member(body, "revision")) << "\n";
    PrintInForce(body, out_);
    return operator_exit::kDone;
  }

  operator_exit NotConfirmed(const std::string& id, const std::optional<admin_reply>& reply) {
    if (!reply) {
      err_ << "release note " << id << " was published; no entry VM answers any more\n";
      return operator_exit::kUnreachable;
    }
    const bool accepted = TextMember(reply->body, "state") == "accepted";
    err_ << "release note " << id
         << (accepted ? " was accepted but is not confirmed everywhere\n"
                      : " has no verdict yet; publish it again with the same note_id\n");
    PrintInForce(reply->body, out_);
    return operator_exit::kNotConfirmed;
  }

  const operator_arguments& arguments_;
  std::ostream& out_;
  std::ostream& err_;
  admin_client client_;
};

struct subcommand {
  const char* name;
  std::size_t operands;
  operator_exit (command_run::*run)();
};

constexpr subcommand kSubcommands[] = {
    {"apply", 1, &command_run::Apply},
    {"status", 0, &command_run::Status},
    {"drain", 1, &command_run::Drain},
    {"restore", 1, &command_run::Restore},
};

}  // namespace

int RunOperatorCommand(const std::vector<std::string>& arguments, std::ostream& out,
                       std::ostream& err) {
  if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
    out << kUsage;
    return static_cast<int>(operator_exit::kDone);
  }
  finding_list findings;
  const operator_arguments read = ReadOperatorArguments(arguments, findings);
  const auto found =
      std::find_if(std::begin(kSubcommands), std::end(kSubcommands),
                   [&](const subcommand& item) { return read.command == item.name; });
  if (found == std::end(kSubcommands)) {
    findings.Add("command", "must be apply, status, drain or restore");
  } else if (read.operands.size() != found->operands) {
    findings.Add(found->name, "takes " + std::to_string(found->operands) + " operands");
  }
  if (!findings.empty()) {
    err << findings.ToText() << kUsage;
    return static_cast<int>(operator_exit::kUsage);
  }
  command_run run(read, out, err);
  return static_cast<int>((run.*found->run)());
}

}  // namespace waxwingwing
