#include "entry/controller_link.h"

#include <algorithm>
#include <variant>

#include "entry/forward_limits.h"
#include "entry/link_messages.h"
#include "waxwingwing/core/hash.h"
#include "waxwingwing/platform/pause.h"

namespace waxwingwing {
namespace {

/// Interval at which a VM reports its running requests; a stream runs for a second or more.
constexpr milliseconds kReportInterval{200};
/// Longest interval between two feeds of the controller when nothing changes.
constexpr milliseconds kFeedInterval{200};
/// Silence of the parent, four missed feeds, after which a VM reads the registrations itself.
constexpr milliseconds kFeedTimeout{800};
/// Age of the registrations in a feed from which a VM reads them itself.
constexpr milliseconds kMaxFeedAge{1200};
/// Silence after which a VM follows another parent, or connects to it anew.
constexpr milliseconds kParentTimeout{700};
/// The same for the first feed of the controller, which may have lost its relays and get the
/// reports of all VMs at once.
constexpr milliseconds kFirstControllerFeedTimeout{2000};
/// Number of carriers that a feed names, and that a relay names of its followers: enough for a few
/// of each failure domain.
constexpr std::size_t kMaxCarriers = 48;
constexpr std::size_t kMaxReportedCarriers = 8;
/// Number of reports whose receipts are awaited.
constexpr std::size_t kMaxSentReports = 32;
constexpr const char* kCluster = "waxwingwing-entry";

peer_settings PeerSettings(const entry_settings& settings) {
  peer_settings peers;
  peers.cluster = kCluster;
  peers.own_vm = settings.vm;
  peers.own_failure_domain = settings.failure_domain;
  peers.silence_limit = milliseconds(1000);
  peers.connect_timeout = milliseconds(400);
  peers.max_backoff = milliseconds(800);
  LimitPeers(settings, peers);
  return peers;
}

std::string LinkAddress(const entry_settings& settings) {
  return settings.own_ip + ":" + std::to_string(settings.first_port);
}

/// The resource that a relay would exhaust first: a core, or 100 Mbit/s of its link.
double Capacity(const entry_settings& settings) {
  return std::min(settings.processor, settings.link_mbps / 100);
}

std::uint64_t HashOf(const vm_id& vm) { return StableHash(vm.str()); }

milliseconds AgeOf(time_point at, time_point now) {
  return std::chrono::ceil<milliseconds>(std::max(now - at, duration::zero()));
}

std::optional<milliseconds> AgeOf(const std::optional<time_point>& at, time_point now) {
  return at ? std::optional<milliseconds>(AgeOf(*at, now)) : std::nullopt;
}

}  // namespace

controller_link::controller_link(entry_context& entry, controller_election& election,
                                 controller_link_hooks hooks)
    : entry_(entry),
      election_(election),
      hooks_(std::move(hooks)),
      self_{entry.settings.vm, LinkAddress(entry.settings), entry.settings.failure_domain,
            Capacity(entry.settings)},
      health_(entry, "controller"),
      network_(entry.context, PeerSettings(entry.settings), random_source::FromDevice(),
               entry.metrics,
               [this](const vm_id& vm, const peer_message& message) { OnMessage(vm, message); }),
      parents_(self_.vm, self_.failure_domain),
      // Reports of an earlier process of this VM must have other numbers.
      sequence_(random_source::FromDevice().Next() >> 1U) {}

std::string controller_link::MemberName(const entry_settings& settings,
                                        const std::string& process) {
  return settings.vm.str() + "/" + process + "/" + LinkAddress(settings);
}

std::optional<relay_node> controller_link::Controller() const {
  const std::string& holder = election_.record().holder;
  const std::size_t first = holder.find('/');
  const std::size_t last = holder.rfind('/');
  if (first == std::string::npos || first == last) return std::nullopt;
  relay_node node;
  node.vm = vm_id(holder.substr(0, first));
  node.address = holder.substr(last + 1);
  if (node.vm == self_.vm) return std::nullopt;
  return node;
}

result<std::string> controller_link::Start() { return network_.Listen(self_.address); }

awaitable<void> controller_link::Run() {
  for (;;) {
    const time_point now = entry_.clock.Now();
    // A VM that stops must not be appointed as a relay.
    if (entry_.state.stopping) self_.capacity = 0;
    RemoveFormerFollowers(now);
    if (election_.HoldsControllerRole()) {
      Lead(now);
    } else {
      Follow(now);
    }
    SendEvidence();
    co_await Pause(entry_.context, kReportInterval);
  }
}

void controller_link::AnnounceRelease() { BroadcastLoads(); }

void controller_link::RemoveFormerFollowers(time_point now) {
  reports_.RemoveExpired(now);
  for (const auto& [vm, sequence] : reports_.Followers()) {
    if (!network_.IsConnected(vm)) reports_.Remove(vm);
  }
}

void controller_link::Lead(time_point now) {
  if (parent_) network_.SetPeers({});
  parent_.reset();
  feed_received_at_.reset();
  // The loads are of use also while the store cannot be read.
  const bool due = published_at_ && now - *published_at_ >= kFeedInterval;
  if (due) BroadcastLoads();
  if (CountCutOff(true) > 0) NotifyCarriers(SelectCarriers(kMaxCarriers));
}

std::uint64_t controller_link::CountCutOff(bool relays) const {
  return reports_.CountCutOff(relays) + (hooks_.has_lost_paths() ? 1 : 0);
}

std::vector<relay_node> controller_link::SelectCarriers(std::size_t limit) {
  std::vector<relay_node> carriers = reports_.Carriers();
  const std::string address = hooks_.carrier_address();
  if (!address.empty()) {
    carriers.push_back({self_.vm, address, self_.failure_domain, Capacity(entry_.settings)});
  }
  for (std::size_t i = carriers.size(); i > 1; --i) {
    std::swap(carriers[i - 1], carriers[random_.Below(i)]);
  }
  if (carriers.size() > limit) carriers.resize(limit);
  return carriers;
}

void controller_link::NotifyCarriers(const std::vector<relay_node>& carriers) const {
  std::vector<relay_node> others;
  for (const relay_node& carrier : carriers) {
    if (carrier.vm != self_.vm) others.push_back(carrier);
  }
  hooks_.on_carriers(others);
}

void controller_link::Follow(time_point now) {
  // A controller that stops still has to announce the release of its lease.
  if (!entry_.state.stopping) feeds_.Reset();
  relays_.clear();
  parents_.SetController(Controller());
  const bool silent = IsParentSilent(now);
  if (silent) {
    health_.Failed("silent");
    parents_.Exclude(parent_->node.vm, now);
  }
  const auto selected = parents_.Select(now);
  if (!selected) {
    if (parent_) network_.SetPeers({});
    parent_.reset();
    return;
  }
  const bool changed =
      !parent_ || parent_->node.vm != selected->vm || parent_->node.address != selected->address;
  // Connects anew also when the parent stays the same, because its connection may have gone silent.
  if (changed || silent) Connect(*selected, now);
  ReportLoad(now);
}

bool controller_link::IsParentSilent(time_point now) const {
  if (!parent_) return false;
  const bool has_fed = feed_received_at_ && *feed_received_at_ >= parent_->connected_at;
  if (has_fed) return now - *feed_received_at_ > kParentTimeout;
  const auto controller = Controller();
  const bool is_controller = controller && controller->vm == parent_->node.vm;
  return now - parent_->connected_at >
         (is_controller ? kFirstControllerFeedTimeout : kParentTimeout);
}

void controller_link::Connect(const relay_node& parent, time_point now) {
  network_.SetPeers({});
  network_.SetPeers({{parent.vm, parent.address}});
  parent_ = parent_link{parent, now, {}, {}, true};
  incoming_operators_.Clear();
  entry_.log.Write("parent_selected", {{"parent", parent.vm.str()},
                                       {"address", parent.address},
                                       {"controller", election_.record().holder},
                                       {"relays", parents_.IsRelay()}});
}

void controller_link::ReportLoad(time_point now) {
  vm_load_message report;
  report.servers = ToMessage(reports_.Sum(hooks_.own_requests(), false));
  report.limits = ToMessage(hooks_.rate_limits(), now);
  report.node = ToMessage(self_);
  report.vms = reports_.CountVms(false);
  report.sequence = ++sequence_;
  const auto successor = reports_.Successor();
  if (successor) report.successor = ToMessage(*successor);
  report.carrier_address = hooks_.carrier_address();
  report.cut_off_vms = CountCutOff(false);
  if (!reports_.empty() && (are_carriers_wanted_ || report.cut_off_vms > 0)) {
    for (const relay_node& carrier : SelectCarriers(kMaxReportedCarriers)) {
      report.carriers.push_back(ToMessage(carrier));
    }
  }
  if (!network_.IsConnected(parent_->node.vm)) {
    parent_->is_new = true;
    return;
  }
  if (hooks_.usage_changes) report.usage = ToMessage(hooks_.usage_changes(parent_->is_new));
  parent_->is_new = !network_.Send(parent_->node.vm, report);
  if (parent_->is_new) return;
  parent_->sent.emplace_back(sequence_, now);
  if (parent_->sent.size() > kMaxSentReports) parent_->sent.pop_front();
}

void controller_link::SendEvidence() {
  const time_point now = entry_.clock.Now();
  const bool has_followers = !reports_.empty();
  const auto evidence = has_followers ? hooks_.all_evidence() : hooks_.own_evidence();
  if (evidence.empty()) return;
  const crash_evidence_message message = ToMessage(evidence, now);
  std::vector<vm_id> receivers;
  if (parent_) receivers.push_back(parent_->node.vm);
  for (const auto& [vm, sequence] : reports_.Followers()) receivers.push_back(vm);
  network_.Broadcast(receivers, message);
}

bool controller_link::IsFeedCurrent() const {
  const time_point now = entry_.clock.Now();
  return parent_ && feed_received_at_ && now - *feed_received_at_ <= kFeedTimeout &&
         now - *feed_read_at_ <= kMaxFeedAge;
}

void controller_link::OnMessage(const vm_id& vm, const peer_message& message) {
  if (const auto* load = std::get_if<vm_load_message>(&message)) {
    OnLoad(vm, *load);
  } else if (const auto* feed = std::get_if<directory_feed_message>(&message)) {
    OnFeed(vm, *feed);
  } else if (const auto* stall = std::get_if<stall_message>(&message)) {
    hooks_.on_stall(*stall);
    if (!election_.HoldsControllerRole() && parent_ && parent_->node.vm != vm) {
      network_.Send(parent_->node.vm, *stall);
    }
  } else if (const auto* evidence = std::get_if<crash_evidence_message>(&message)) {
    hooks_.on_evidence(FromMessage(*evidence, entry_.clock.Now()));
  } else if (const auto* request = std::get_if<operators_request_message>(&message)) {
    OnOperatorsRequest(vm, *request);
  } else if (const auto* records = std::get_if<operators_records_message>(&message)) {
    OnOperatorsRecords(vm, *records);
  }
}

void controller_link::OnLoad(const vm_id& vm, const vm_load_message& load) {
  const time_point now = entry_.clock.Now();
  load_report report;
  report.node = FromMessage(load.node);
  report.node.vm = vm;
  report.vms = load.vms;
  report.requests = FromMessage(load.servers);
  report.sequence = load.sequence;
  if (load.successor) report.successor = FromMessage(*load.successor);
  report.carrier_address = load.carrier_address;
  report.cut_off_vms = load.cut_off_vms;
  for (const auto& carrier : load.carriers) report.carriers.push_back(FromMessage(carrier));
  reports_.Record(std::move(report), now);
  hooks_.on_rate_limits(FromMessage(load.limits, now));
  if (hooks_.on_usage && !load.usage.empty()) hooks_.on_usage(FromMessage(load.usage));
}

void controller_link::OnFeed(const vm_id& vm, const directory_feed_message& feed) {
  if (election_.HoldsControllerRole() || !parent_ || parent_->node.vm != vm) return;
  const lease_record lease{feed.lease_holder, feed.lease_end, store_era(feed.lease_era)};
  // A previous controller may still send messages, and relays may pass them on.
  if (lease.position() < election_.record().position()) return;
  const time_point now = entry_.clock.Now();
  feed_received_at_ = now;
  feed_read_at_ = now - feed.age;
  health_.Succeeded();
  election_.Observe(lease);
  std::vector<relay_node> relays;
  for (const relay_node_message& relay : feed.relays) relays.push_back(FromMessage(relay));
  parents_.SetRelays(relays);
  RecordReceipts(feed.receipts);
  const operators_view operators = OperatorsOf(feed, now);
  are_carriers_wanted_ = feed.cut_off_vms > 0;
  std::vector<relay_node> carriers;
  for (const auto& carrier : feed.carriers) carriers.push_back(FromMessage(carrier));
  const bool has_cut_off_followers = reports_.CountCutOff(false) > 0;
  if (has_cut_off_followers) {
    // Those of the own failure domain come first.
    for (const relay_node& carrier : SelectCarriers(kMaxCarriers)) carriers.push_back(carrier);
  }
  if (are_carriers_wanted_ || has_cut_off_followers) NotifyCarriers(carriers);
  if (!reports_.empty()) {
    directory_feed_message passed_on = feed;
    passed_on.carriers.clear();
    for (const relay_node& carrier : carriers) passed_on.carriers.push_back(ToMessage(carrier));
    passed_on.cut_off_vms =
        std::max<std::uint64_t>(feed.cut_off_vms, has_cut_off_followers ? 1 : 0);
    passed_on.operators_age_bound = AgeOf(operators.earliest_confirmation, now);
    Broadcast(std::move(passed_on));
  }
  NotifyOtherRequests(FromMessage(feed.servers), feed.vms);
  hooks_.on_rate_limits(FromMessage(feed.limits, now));
  hooks_.on_operators(operators);
  // While the controller cannot read the store, its feeds say nothing new about servers.
  if (feed.age <= kMaxFeedAge) hooks_.on_feed(feed);
}

void controller_link::RecordReceipts(const std::vector<load_receipt_message>& receipts) {
  const auto own = std::find_if(receipts.begin(), receipts.end(), [&](const auto& receipt) {
    return receipt.vm == HashOf(self_.vm);
  });
  if (own == receipts.end()) return;
  auto& sent = parent_->sent;
  while (!sent.empty() && sent.front().first <= own->sequence) {
    if (sent.front().first == own->sequence) parent_->received_report_sent_at = sent.front().second;
    sent.pop_front();
  }
}

operators_view controller_link::OperatorsOf(const directory_feed_message& feed,
                                            time_point now) const {
  operators_view view;
  view.next = {store_era(feed.operators_era), feed.operators_next};
  if (feed.operators_age) view.confirmed_at = now - *feed.operators_age;
  if (feed.operators_age_bound && parent_->received_report_sent_at) {
    // The parent sent the feed after it had received that report.
    view.earliest_confirmation = *parent_->received_report_sent_at - *feed.operators_age_bound;
  }
  return view;
}

const std::vector<operators_records_message>& controller_link::PackOperators(
    const std::optional<store_position>& known) {
  static const std::vector<operators_records_message> kNone;
  const auto update = hooks_.operators_since(known);
  if (!update) return kNone;
  const bool is_packed = packed_operators_ && packed_operators_->known == update->from &&
                         packed_operators_->next == update->next;
  if (is_packed) return packed_operators_->messages;
  auto messages = ToMessages(*update);
  if (!messages) {
    entry_.log.Write("operators_records_not_passed_on", {{"reason", messages.reason()}});
    return kNone;
  }
  packed_operators_ = {update->from, update->next, *std::move(messages)};
  return packed_operators_->messages;
}

void controller_link::PassOnOperators() {
  const auto known = passed_on_;
  passed_on_ = hooks_.operators().next;
  if (reports_.empty()) return;
  std::vector<vm_id> followers;
  for (const auto& [vm, sequence] : reports_.Followers()) followers.push_back(vm);
  for (const operators_records_message& part : PackOperators(known)) {
    network_.Broadcast(followers, part);
  }
}

bool controller_link::RequestOperators(const std::optional<store_position>& known) {
  if (!parent_) return false;
  operators_request_message request;
  if (known) request = {known->era.get(), known->offset};
  return network_.Send(parent_->node.vm, request);
}

void controller_link::OnOperatorsRequest(const vm_id& vm,
                                         const operators_request_message& request) {
  std::optional<store_position> known;
  if (request.from) known = store_position{store_era(request.era), *request.from};
  for (const operators_records_message& part : PackOperators(known)) network_.Send(vm, part);
}

void controller_link::OnOperatorsRecords(const vm_id& vm,
                                         const operators_records_message& records) {
  if (election_.HoldsControllerRole() || !parent_ || parent_->node.vm != vm) return;
  const auto update = incoming_operators_.Add(records);
  if (!update) return;
  if (!*update) {
    entry_.log.Write("operators_records_unreadable", {{"reason", update->reason()}});
    return;
  }
  hooks_.on_operators_update(**update);
}

bool controller_link::ReportStall(const stall_message& stall) {
  if (election_.HoldsControllerRole()) return true;
  return IsFeedCurrent() && network_.Send(parent_->node.vm, stall);
}

void controller_link::Publish(const registration_read& read) {
  if (!election_.HoldsControllerRole()) return feeds_.RecordUnsent(read);
  read_sent_at_ = read.sent_at;
  const bool due = !published_at_ || entry_.clock.Now() - *published_at_ >= kFeedInterval;
  if (!due && feeds_.Covers(read)) return;
  BroadcastFeed(feeds_.Next(read));
}

void controller_link::BroadcastLoads() {
  const auto& place = feeds_.place();
  if (place) BroadcastFeed({read_coverage::kRecords, *place, *place, {}, read_sent_at_});
}

void controller_link::BroadcastFeed(const registration_read& read) {
  const time_point now = entry_.clock.Now();
  UpdateRelays();
  const server_requests all = reports_.Sum(hooks_.own_requests(), true);
  const std::size_t vms = reports_.CountVms(true);
  const operators_view operators = hooks_.operators();
  directory_feed_message feed;
  feed.from = read.from.offset;
  feed.next = read.next.offset;
  feed.era = read.next.era.get();
  feed.changes = PackChanges(read.changes);
  feed.is_comparison = read.coverage == read_coverage::kComparison;
  feed.age = AgeOf(read_sent_at_, now);
  feed.servers = ToMessage(all);
  feed.limits = ToMessage(hooks_.rate_limits(), now);
  feed.lease_holder = election_.record().holder;
  feed.lease_end = election_.record().end;
  feed.lease_era = election_.record().era.get();
  feed.vms = vms;
  for (const relay_node& relay : relays_) feed.relays.push_back(ToMessage(relay));
  feed.cut_off_vms = CountCutOff(true);
  if (feed.cut_off_vms > 0) {
    for (const relay_node& carrier : SelectCarriers(kMaxCarriers)) {
      feed.carriers.push_back(ToMessage(carrier));
    }
  }
  feed.operators_next = operators.next.offset;
  feed.operators_era = operators.next.era.get();
  feed.operators_age = AgeOf(operators.confirmed_at, now);
  feed.operators_age_bound = AgeOf(operators.earliest_confirmation, now);
  published_at_ = now;
  Broadcast(std::move(feed));
  NotifyOtherRequests(all, vms);
}

void controller_link::Broadcast(directory_feed_message feed) {
  if (reports_.empty()) return;
  feed.receipts.clear();
  std::vector<vm_id> followers;
  for (const auto& [vm, sequence] : reports_.Followers()) {
    feed.receipts.push_back({HashOf(vm), sequence});
    followers.push_back(vm);
  }
  network_.Broadcast(followers, feed);
}

void controller_link::UpdateRelays() {
  auto relays =
      AppointRelays(reports_.RelayCandidates(),
                    domain_sizes_.Update(reports_.VmsByDomain(), entry_.clock.Now()), relays_);
  if (relays == relays_) return;
  std::string names;
  for (const relay_node& relay : relays) names += relay.vm.str() + " ";
  entry_.log.Write(
      "relays_appointed",
      {{"relays", names}, {"previous", relays_.size()}, {"vms", reports_.CountVms(true)}});
  relays_ = std::move(relays);
}

void controller_link::NotifyOtherRequests(server_requests all, std::size_t vms) const {
  // The total is older than this VM's own counts and may be smaller.
  for (const auto& [server, usage] : hooks_.own_requests()) all[server] -= usage;
  hooks_.on_other_requests(all, vms);
}

}  // namespace waxwingwing
