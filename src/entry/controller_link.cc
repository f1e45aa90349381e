#include "entry/controller_link.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Interval at which a VM reports its running requests to the controller; a stream runs for a
/// second or more.
constexpr milliseconds kReportInterval{250};
/// Longest interval between two directory messages of the controller when nothing changes.
constexpr milliseconds kFeedInterval{250};
/// Silence of the controller, two missed messages, after which a VM reads the registrations itself.
constexpr milliseconds kFeedTimeout{600};
/// Silence of the controller after which a VM looks it up in the store.
constexpr milliseconds kControllerTimeout{1000};
/// Minimum interval between two lookups of the controller.
constexpr milliseconds kLookupInterval{1200};
/// Age at which a VM's last report of its requests expires.
constexpr milliseconds kReportLifetime{1200};
constexpr const char* kCluster = "waxwingwing-entry";

peer_settings PeerSettings(const entry_settings& settings) {
  peer_settings peers;
  peers.cluster = kCluster;
  peers.own_vm = settings.vm;
  peers.own_failure_domain = settings.failure_domain;
  peers.silence_limit = milliseconds(1000);
  peers.connect_timeout = milliseconds(400);
  peers.max_backoff = milliseconds(800);
  return peers;
}

/// Parses the VM id and address in a member name; returns none when it has another form.
std::optional<peer_address> ParseMemberName(const std::string& member) {
  const std::size_t first = member.find('/');
  const std::size_t last = member.rfind('/');
  if (first == std::string::npos || first == last) return std::nullopt;
  return peer_address{vm_id(member.substr(0, first)), member.substr(last + 1)};
}

std::string LinkAddress(const entry_settings& settings) {
  return settings.own_ip + ":" + std::to_string(settings.first_port);
}

std::vector<server_requests_message> ToMessage(const server_requests& requests) {
  std::vector<server_requests_message> message;
  message.reserve(requests.size());
  for (const auto& [server, running] : requests) message.push_back({server.str(), running});
  return message;
}

server_requests FromMessage(const std::vector<server_requests_message>& message) {
  server_requests requests;
  for (const auto& entry : message) requests[backend_server_id(entry.server)] = entry.running;
  return requests;
}

milliseconds AgeOf(time_point at, time_point now) {
  return std::chrono::duration_cast<milliseconds>(std::max(now - at, duration::zero()));
}

std::optional<milliseconds> AgeOf(const std::optional<time_point>& at, time_point now) {
  return at ? std::optional<milliseconds>(AgeOf(*at, now)) : std::nullopt;
}

std::optional<time_point> TimeOf(const std::optional<milliseconds>& age, time_point now) {
  return age ? std::optional<time_point>(now - *age) : std::nullopt;
}

std::vector<rate_limit_message> ToMessage(const std::vector<rate_limit_statement>& statements,
                                          time_point now) {
  std::vector<rate_limit_message> message;
  message.reserve(statements.size());
  for (const rate_limit_statement& known : statements) {
    message.push_back({known.server.str(), known.born, known.rate, AgeOf(known.stated_at, now)});
  }
  return message;
}

std::vector<rate_limit_statement> FromMessage(const std::vector<rate_limit_message>& message,
                                              time_point now) {
  std::vector<rate_limit_statement> statements;
  statements.reserve(message.size());
  for (const rate_limit_message& limit : message) {
    statements.push_back(
        {backend_server_id(limit.server), limit.born, limit.rate, now - limit.age});
  }
  return statements;
}

crash_evidence_message ToMessage(const std::vector<part_evidence>& evidence, time_point now) {
  crash_evidence_message message;
  for (const part_evidence& known : evidence) {
    part_evidence_message part{
        known.part.str(), {}, AgeOf(known.answered_at, now), AgeOf(known.quarantined_at, now)};
    for (const server_crash& crash : known.crashes) {
      part.crashes.push_back({crash.server.str(), AgeOf(crash.at, now)});
    }
    message.parts.push_back(std::move(part));
  }
  return message;
}

std::vector<part_evidence> FromMessage(const crash_evidence_message& message, time_point now) {
  std::vector<part_evidence> evidence;
  for (const part_evidence_message& part : message.parts) {
    part_evidence known;
    known.part = prompt_part_id(part.part);
    known.answered_at = TimeOf(part.answered_age, now);
    known.quarantined_at = TimeOf(part.quarantined_age, now);
    for (const server_crash_message& crash : part.crashes) {
      known.crashes.push_back({backend_server_id(crash.server), now - crash.age});
    }
    evidence.push_back(std::move(known));
  }
  return evidence;
}

}  // namespace

controller_link::controller_link(entry_context& entry, store_client& store,
                                 controller_election& election, controller_link_hooks hooks)
    : entry_(entry),
      store_(store),
      election_(election),
      hooks_(std::move(hooks)),
      health_(entry, "controller"),
      network_(entry.context, PeerSettings(entry.settings), random_source::FromDevice(),
               entry.metrics,
               [this](const vm_id& vm, const peer_message& message) { OnMessage(vm, message); }) {}

std::string controller_link::MemberName(const entry_settings& settings,
                                        const std::string& process) {
  return settings.vm.str() + "/" + process + "/" + LinkAddress(settings);
}

result<std::string> controller_link::Start() {
  return network_.Listen(LinkAddress(entry_.settings));
}

awaitable<void> controller_link::Run() {
  while (!entry_.state.stopping) {
    if (election_.HoldsControllerRole()) {
      if (controller_) network_.SetPeers({});
      controller_.reset();
      feed_received_at_.reset();
      PublishEvidence();
    } else {
      published_offset_.reset();
      co_await FollowController();
    }
    co_await Pause(entry_.context, kReportInterval);
  }
  network_.SetPeers({});
}

awaitable<void> controller_link::FollowController() {
  const time_point now = entry_.clock.Now();
  const bool controller_silent =
      !feed_received_at_ || now - *feed_received_at_ > kControllerTimeout;
  const bool lookup_due = !looked_up_at_ || now - *looked_up_at_ > kLookupInterval;
  // Before the first answer of the store this VM is no member, and there may be no controller yet.
  const bool has_joined = election_.generation() > 0;
  if (controller_silent && lookup_due && has_joined) {
    looked_up_at_ = now;
    co_await FindController();
  }
  SendOwnRequests();
}

awaitable<void> controller_link::FindController() {
  if (controller_) health_.Failed("silent");
  const auto member = co_await store_.FindController();
  if (!member) {
    entry_.log.Write("controller_unknown", {{"reason", member.reason()}});
    co_return;
  }
  const auto found = ParseMemberName(*member);
  if (!found || found->vm == entry_.settings.vm) co_return;
  // Reconnects also when the controller is unchanged, because the existing link has gone silent.
  network_.SetPeers({});
  network_.SetPeers({*found});
  controller_ = found->vm;
  entry_.log.Write("controller_found", {{"controller", found->vm.str()},
                                        {"address", found->address},
                                        {"generation", election_.generation()}});
}

void controller_link::SendOwnRequests() {
  if (!controller_) return;
  network_.Send(*controller_, vm_load_message{ToMessage(hooks_.own_requests()), OwnRateLimits()});
  SendEvidence(*controller_, hooks_.own_evidence());
}

std::vector<rate_limit_message> controller_link::OwnRateLimits() const {
  return ToMessage(hooks_.rate_limits(), entry_.clock.Now());
}

void controller_link::SendEvidence(const vm_id& to, const std::vector<part_evidence>& evidence) {
  if (!evidence.empty()) network_.Send(to, ToMessage(evidence, entry_.clock.Now()));
}

void controller_link::PublishEvidence() {
  const std::vector<part_evidence> evidence = hooks_.all_evidence();
  for (const auto& [vm, known] : followers_) SendEvidence(vm, evidence);
}

bool controller_link::IsFeedCurrent() const {
  return feed_received_at_ && entry_.clock.Now() - *feed_received_at_ <= kFeedTimeout;
}

void controller_link::OnMessage(const vm_id& vm, const peer_message& message) {
  const time_point now = entry_.clock.Now();
  if (const auto* load = std::get_if<vm_load_message>(&message)) {
    followers_[vm] = {FromMessage(load->servers), now};
    hooks_.on_rate_limits(FromMessage(load->limits, now));
  } else if (const auto* stall = std::get_if<stall_message>(&message)) {
    hooks_.on_stall(*stall);
  } else if (const auto* evidence = std::get_if<crash_evidence_message>(&message)) {
    hooks_.on_evidence(FromMessage(*evidence, now));
  } else if (const auto* feed = std::get_if<directory_feed_message>(&message)) {
    // A previous controller may still send messages; only those of the current one count.
    if (controller_ != vm) return;
    feed_received_at_ = now;
    health_.Succeeded();
    NotifyOtherRequests(FromMessage(feed->servers));
    hooks_.on_rate_limits(FromMessage(feed->limits, now));
    hooks_.on_feed(*feed);
  }
}

bool controller_link::ReportStall(const stall_message& stall) {
  if (election_.HoldsControllerRole()) return true;
  return IsFeedCurrent() && network_.Send(*controller_, stall);
}

server_requests controller_link::AllRequests() {
  const time_point now = entry_.clock.Now();
  std::erase_if(followers_,
                [&](const auto& item) { return now - item.second.reported_at > kReportLifetime; });
  server_requests all = hooks_.own_requests();
  for (const auto& [vm, known] : followers_) {
    for (const auto& [server, running] : known.requests) all[server] += running;
  }
  return all;
}

void controller_link::Publish(std::uint64_t from, std::uint64_t next,
                              const std::vector<registration_message>& changes,
                              time_point sent_at) {
  if (!election_.HoldsControllerRole()) return;
  const time_point now = entry_.clock.Now();
  const bool due = !published_at_ || now - *published_at_ >= kFeedInterval;
  if (published_offset_ && changes.empty() && !due) return;
  const server_requests all = AllRequests();
  directory_feed_message feed;
  // Reads skipped since the last message changed nothing, so this message covers them, too.
  feed.from = published_offset_ ? std::min(*published_offset_, from) : from;
  feed.next = next;
  feed.changes = PackChanges(changes);
  feed.age = std::chrono::ceil<milliseconds>(now - sent_at);
  feed.servers = ToMessage(all);
  feed.limits = OwnRateLimits();
  published_offset_ = next;
  published_at_ = now;
  for (const auto& [vm, known] : followers_) network_.Send(vm, feed);
  NotifyOtherRequests(all);
}

void controller_link::NotifyOtherRequests(server_requests all) const {
  for (const auto& [server, running] : hooks_.own_requests()) {
    std::uint32_t& others = all[server];
    // The total is older than this VM's own count and may be smaller.
    others -= std::min(others, running);
  }
  hooks_.on_other_requests(all);
}

}  // namespace waxwingwing
