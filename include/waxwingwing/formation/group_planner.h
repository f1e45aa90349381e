#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/server_directory.h"
#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/formation/formation_order.h"
#include "waxwingwing/formation/formation_targets.h"
#include "waxwingwing/formation/group_name.h"

namespace waxwingwing {

/// Cost of loading a model's weights when a server joins a group.
enum class join_cost {
  /// The weights are loaded already: the server's last group served the same model.
  kNone,
  /// The server loads the weights from its host.
  kFromHost,
  /// The server loads the weights from the weight store.
  kFromStore,
};

/// Why a planner releases the members of a group, so that they may join other groups.
enum class release_reason {
  /// This controller formed the group and has sent no order to open it.
  kNeverOpened,
  /// The head's answer to `leave` shows that it is not a member, or no longer.
  kHeadLeft,
  /// The head is registered without this membership.
  kHeadRegisteredElsewhere,
  /// The head is registered as broken.
  kHeadBroken,
  /// The head is not registered and leaves probes unanswered, which its members answer. It may
  /// still serve, so each member joins another group only after it has left.
  kHeadSilent,
  /// The same for a head that this controller has never seen, while members have been registered
  /// for long.
  kHeadNeverSeen,
};

const char* NameOf(release_reason reason);

/// A group whose members a planner releases, for log lines.
struct group_release {
  server_group_id group;
  backend_server_id head;
  std::size_t members = 0;
  release_reason reason = release_reason::kNeverOpened;
  /// Whether an earlier controller formed the group.
  bool adopted = false;
  /// How long the head has not been registered, and for how long and how often it has left probes
  /// unanswered.
  duration unregistered{};
  duration silent{};
  std::uint32_t unanswered_probes = 0;
};

/// Limits and time-outs of a `group_planner`.
struct group_planner_options {
  /// Spare servers with loaded weights in each fabric domain: one for each of two models.
  std::size_t spares = 2;
  /// Time after which an order without an answer or a visible effect is sent again; longer than the
  /// order's time-out and than the time a group takes to open.
  milliseconds order_retry{600};
  /// Time after which an order that is known not to have been executed is sent again.
  milliseconds rejected_retry{120};
  /// Longest time from a group's first join to its opening; loading weights takes up to 16 s.
  milliseconds forming_limit{40000};
  /// Time within which a member has to accept its join. An unanswered order may be executed up to
  /// 12 s later; the group is formed again with other members long before that.
  milliseconds join_limit{2500};
  /// Longest wait for a closing head to finish its requests.
  milliseconds closing_limit{9000};
  /// Interval between probes of a member of a group that may have failed.
  milliseconds probe_interval{250};
  /// Interval between probes of a registered server that did not answer.
  milliseconds unanswered_probe_interval{1000};
  /// How long a member of a suspected group must leave probes unanswered to count as lost. Sound
  /// servers may be silent for a second, and a stall is reported some hundred ms after it began. A
  /// refusal shows a failure at once.
  milliseconds silent_member_time{800};
  /// How long a group is suspected after a stall report; a stalled group breaks after 6 s.
  milliseconds suspicion_time{1500};
  /// The members of an unregistered head are told to leave when it leaves `silent_head_probes`
  /// probes unanswered for at least `silent_head_time` while other members of its group answer.
  std::uint32_t silent_head_probes = 6;
  milliseconds silent_head_time{1200};
  /// Servers that were partitioned together register again within this time of each other.
  milliseconds reregistration_time{3000};
  /// The members of a head that this VM has never seen registered are told to leave after this
  /// time; partitions of single servers last up to 10 s.
  milliseconds unknown_head_time{13000};
  /// How long newly registered servers wait for the rest of their fabric domain to register.
  milliseconds settle_time{400};
  /// How long a group must be missing before servers load its weights from the store: the
  /// registration of a failed server lapses after 3.6 s, and partitions of 5 s are common.
  milliseconds store_load_delay{2500};
  /// A group is converted to another model only when that model has more than this many times the
  /// work per group, because loading its weights takes 16 s.
  double conversion_gain = 1.5;
  /// Loads from the store that may start within `load_window`; the platform's limit is 5.5 a
  /// second.
  std::size_t load_limit = 20;
  milliseconds load_window{5000};
};

/// Forms groups of backend servers for the models of one service, replaces groups that lose
/// members, and keeps the weights of spare servers loaded.
///
/// Used by the controller: `Plan` returns the orders to send now, `RecordOutcome` reports the
/// result of each. Safety rests on three invariants. Epochs only increase, and a server rejects a
/// join with a lower epoch than it has seen, so a join that is executed late has no effect. A
/// member of a group is assigned to another one only after its head has stated that the group is
/// over, so that an `open` order that is executed late finds no group, or after the member itself
/// has stated that it has left. Silence proves neither. A group is opened only when every member
/// has reported itself ready in it.
class group_planner {
 public:
  explicit group_planner(const group_planner_options& options) : options_(options) {}

  /// Discards all state; called when this process becomes the controller. New epochs are higher
  /// than `epoch_floor`.
  void Reset(std::uint64_t epoch_floor);
  /// Enables the limit on loads from the store; it does not apply before the first request.
  void SetLoadsLimited(bool limited) { loads_limited_ = limited; }

  /// Returns the orders that bring the groups of `service` closer to their targets.
  std::vector<formation_order> Plan(const service_settings& service,
                                    const server_directory& directory, time_point now);
  void RecordOutcome(const formation_order& order, order_outcome outcome, time_point now);
  /// Records the result of a probe and the membership that the server reported.
  void RecordProbe(const backend_server_id& server, order_outcome outcome,
                   const std::optional<group_membership>& membership, time_point now);
  /// Records a report that streams from the head of `group` have stalled.
  void RecordStall(const server_group_id& group, time_point now);

  /// Whether an order or a change of state is pending, so that `Plan` should be called again soon.
  bool IsBusy() const { return busy_; }
  /// Returns the groups whose members were released since the last call.
  std::vector<group_release> TakeReleases() { return std::exchange(releases_, {}); }
  /// The fabric domains that lack groups and the missing models, as text for log lines.
  const std::string& shortage() const { return shortage_; }

 private:
  enum class phase { kForming, kServing, kClosing, kReleasing };

  struct group_record {
    server_group_id id;
    std::string model;
    std::uint64_t epoch = 0;
    std::vector<backend_server_id> members;
    phase current_phase = phase::kForming;
    time_point phase_since{};
    /// Whether the group was formed by an earlier controller, whose orders may still be in flight.
    bool adopted = false;
    /// When this controller first saw the group.
    time_point adopted_at{};
    /// Whether an `open` order was sent or may have been sent by an earlier controller.
    bool may_be_open = false;
    /// Set when the members may join other groups.
    std::optional<release_reason> released_by;
    /// Whether the members are told to leave because nothing is known of the head.
    bool dissolving = false;
    /// When members have answered that they are not in the group, or no longer.
    std::map<backend_server_id, time_point> departures;
    std::optional<time_point> suspected_until;
  };

  struct server_record {
    /// Address from a group's name; empty when the server is or was registered.
    std::string address;
    /// The last order, whether its answer is pending, and the earliest time to send it again.
    formation_action last_action = formation_action::kProbe;
    server_group_id last_group;
    bool order_pending = false;
    std::optional<time_point> repeat_after;
    std::optional<time_point> probed_at;
    /// When the server's current registered or unregistered period began.
    std::optional<time_point> registered_since;
    std::optional<time_point> unregistered_since;
    /// When another member of its group was first found to answer after this server's registration
    /// lapsed.
    std::optional<time_point> others_answered_since;
    /// Probes without an answer since the last answer.
    std::uint32_t unanswered_probes = 0;
    std::optional<time_point> unanswered_since;
    /// Whether the last probe was refused, by the server or for lack of one at its address.
    bool refuses = false;
    /// Membership that the last answered probe returned, and the time of that answer.
    std::optional<group_membership> probed_membership;
    std::optional<time_point> answered_at;
    /// Deadline of an ordered load of weights onto the host.
    std::optional<time_point> staging_until;
  };

  enum class member_condition { kPresent, kDraining, kUnregistered, kLost };
  enum class head_condition {
    kRegistered,
    /// Not registered, but it answers probes.
    kReachable,
    /// Neither registered nor answering; it may be partitioned with its whole fabric domain and
    /// still serve requests there.
    kUnknown,
    /// Not registered and silent, while its members answer; other VMs may still reach it.
    kSilent,
    /// Never seen by this controller, while members have been registered for long.
    kNeverSeen,
    kNeverOpened,
    kRegisteredElsewhere,
    kBroken,
  };

  void ObserveServers();
  /// Keeps the epochs of new groups above those of groups that controllers have formed.
  void ObserveEpoch(const group_membership& membership);
  void AdoptGroups();
  void ReleaseReturnedHead(const group_view& view);
  void AdvanceGroups();
  void AdvanceForming(group_record& group);
  void AdvanceServing(group_record& group);
  void AdvanceClosing(group_record& group);
  void AdvanceReleasing(group_record& group);
  head_condition ConditionOfHead(const group_record& group);
  head_condition ConditionOfUnlistedHead(const group_record& group);
  /// Why a group with a head in this condition is over; nothing while the head may serve.
  static std::optional<release_reason> ReasonOf(head_condition condition);
  /// Tells the registered members to leave.
  void Dissolve(group_record& group, release_reason reason);
  /// Whether the member has stated that it is not in the group, or no longer.
  bool HasDeparted(const group_record& group, const backend_server_id& member) const;
  /// Whether no registered server is, by its own statement, in the group.
  bool IsAbandoned(const group_record& group) const;
  void RecordRelease(const group_record& group, release_reason reason);
  void ProbeMembers(const group_record& group);
  void ProbeUnresponsiveServers();
  /// Sets a head that this controller has never seen registered from the group's name.
  void SetHeadFromName(group_record& group, const group_name& name);
  std::string AddressOf(const backend_server_id& id);
  void AddRegisteredMembers(group_record& group, const group_view& view);
  void StartReleasing(group_record& group);
  member_condition ConditionOfMember(const group_record& group, std::size_t rank);
  bool IsSuspected(const group_record& group) const;
  /// Whether unanswered probes of a registered member are conclusive.
  bool IsSilentForLong(const server_record& server) const;
  /// Whether a member answered after `since`, which shows that the group is reachable.
  bool HasAnsweredSince(const group_record& group, time_point since);
  void Probe(const backend_server_id& id);
  void FormMissingGroups();
  void FormInDomain(const fabric_domain_id& fabric, const group_counts& targets,
                    group_counts& present, bool settled);
  /// Whether free servers with loaded weights could replace the members that are still loading.
  bool HasBetterMembers(const group_record& group) const;
  /// Forms a group of free servers whose join cost is at most `max_cost`; returns whether it did.
  bool FormGroup(const fabric_domain_id& fabric, const model_settings& model, join_cost max_cost);
  /// Closes a surplus group of another model to form one of `model`, for which the domain has too
  /// few free servers.
  void ConvertGroup(const fabric_domain_id& fabric, const model_settings& model,
                    const group_counts& targets, const group_counts& present);
  group_record* FindSurplusGroup(const fabric_domain_id& fabric, const model_settings& model,
                                 const group_counts& targets, const group_counts& present);
  bool EnsureStaged(const backend_server_id& id, const model_settings& model);
  std::size_t CountGroups(const std::string& model) const;
  /// One entry for each group that a domain lacks, in descending order of share.
  std::vector<const model_settings*> MissingModels(const group_counts& targets,
                                                   const group_counts& present) const;
  void DescribeShortage(const fabric_domain_id& fabric, std::size_t usable,
                        const group_counts& targets, const group_counts& present);
  void LoadSpares(const fabric_domain_id& fabric);
  void QueueOrder(const backend_server_id& target, formation_action action,
                  const group_record& group);
  bool MaySend(const backend_server_id& target, formation_action action,
               const server_group_id& group);
  bool IsUsable(const backend_server_id& id) const;
  bool HoldsMembership(const group_record& group, const backend_server_id& id) const;
  bool ReserveLoads(std::size_t loads);
  std::size_t CountStoreLoads(const std::vector<backend_server_id>& members,
                              const std::string& model) const;
  std::uint64_t NextEpoch() { return ++highest_epoch_; }

  const group_planner_options options_;
  std::map<server_group_id, group_record> groups_;
  std::map<backend_server_id, server_record> servers_;
  /// Groups whose members were released, with the time of the release.
  std::map<server_group_id, time_point> released_groups_;
  std::deque<time_point> loads_;
  /// When each fabric domain that lacks a group began to lack it.
  std::map<fabric_domain_id, time_point> missing_since_;
  std::uint64_t highest_epoch_ = 0;
  bool busy_ = false;
  bool loads_limited_ = true;
  std::string shortage_;
  std::vector<group_release> releases_;

  // Only valid during a call of `Plan`.
  const service_settings* service_ = nullptr;
  const server_directory* directory_ = nullptr;
  time_point now_{};
  std::vector<formation_order> orders_;
  std::set<backend_server_id> assigned_;
  /// Members of groups in the previous call of `Plan`.
  std::set<backend_server_id> previously_assigned_;
  std::map<fabric_domain_id, std::vector<backend_server_id>> free_;
};

}  // namespace waxwingwing
