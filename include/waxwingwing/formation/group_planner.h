#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "waxwingwing/core/clock.h"
#include "waxwingwing/directory/server_directory.h"
#include "waxwingwing/directory/traffic_configuration.h"
#include "waxwingwing/formation/formation_order.h"
#include "waxwingwing/formation/formation_targets.h"
#include "waxwingwing/formation/group_name.h"

namespace waxwingwing {

/// What it takes for a server to join a group of a model.
enum class join_cost {
  /// Its last group had the same model.
  kNone,
  /// It loads the weights from its host.
  kFromHost,
  /// It loads the weights from the store.
  kFromStore,
};

struct group_planner_options {
  /// Spare servers that each fabric domain keeps loaded; one for each of two models.
  std::size_t spares = 2;
  /// Time after which an order without an answer or an effect is sent again; longer than its time
  /// limit and than the opening of a group.
  milliseconds order_retry{600};
  /// The same after an answer that the order was not carried out.
  milliseconds rejected_retry{120};
  /// Longest time from the first join to the opening; a load takes up to 16 s.
  milliseconds forming_limit{40000};
  /// Time that a member has to accept its join; an order that is not answered may be carried out up
  /// to 12 s later, and the group is formed anew long before.
  milliseconds join_limit{2500};
  /// Longest wait for the requests of a head that closes.
  milliseconds closing_limit{9000};
  /// How often a member is asked while its condition is in doubt.
  milliseconds probe_interval{250};
  /// How often a server that did not answer is asked again.
  milliseconds silent_probe_interval{1000};
  /// How long a reported stall keeps a group in doubt; a group that stands still breaks after 6 s.
  milliseconds doubt_time{1500};
  /// A head is taken for dead when it is not registered and does not answer this many probes in
  /// this time, while other members of its group answer.
  std::uint32_t dead_head_probes = 6;
  milliseconds dead_head_time{1200};
  /// Servers that were cut off together register again within this time of each other.
  milliseconds return_time{3000};
  /// After this time a head that this VM has never seen counts as dead; cuts of single servers last
  /// up to 10 s.
  milliseconds unknown_head_time{13000};
  /// How long servers that just registered may wait for the rest of their fabric domain.
  milliseconds settle_time{400};
  /// How long a group is missed before servers load weights for it: the registration of a server
  /// that died lapses after 3.6 s, and cuts of 5 s are common.
  milliseconds load_patience{2500};
  /// A group of one model is given up for another one only when the other model has this many times
  /// as much work for each group: loading takes 16 s.
  double conversion_gain = 1.5;
  /// Loads that may begin within `load_window`; the platform's limit is 5.5 a second.
  std::size_t load_limit = 20;
  milliseconds load_window{5000};
};

/// Forms groups of backend servers for the models of one service, repairs them, and keeps spare
/// servers loaded.
///
/// Used by the controller: `Plan` returns the orders to send now, `RecordOutcome` tells what became
/// of each. Safety rests on three facts. Epochs only rise, and a server rejects a join with a lower
/// epoch than it has seen, so a join that is carried out late changes nothing. A group's members
/// get other orders only after its head has left it, is broken or is dead, so an order to open that
/// is carried out late finds no group. A group is opened only when every member has reported itself
/// ready in it.
class group_planner {
 public:
  explicit group_planner(const group_planner_options& options) : options_(options) {}

  /// Forgets everything; called when this process becomes the controller. Epochs continue above
  /// `epoch_floor`.
  void Reset(std::uint64_t epoch_floor);
  /// Whether loads are limited; they are not before the first request.
  void SetLoadsLimited(bool limited) { loads_limited_ = limited; }

  std::vector<formation_order> Plan(const service_settings& service,
                                    const server_directory& directory, time_point now);
  void RecordOutcome(const formation_order& order, order_outcome outcome, time_point now);
  /// Tells what a probed server says of its membership.
  void RecordProbe(const backend_server_id& server, order_outcome outcome,
                   const std::optional<group_membership>& membership, time_point now);
  /// Someone's streams from the group's head stand still.
  void RecordStall(const server_group_id& group, time_point now);

  /// Whether an order or a change of state is awaited, so that the next round should come soon.
  bool IsBusy() const { return busy_; }
  /// Fabric domains that hold other numbers of groups than they should, as text for log lines.
  const std::string& shortage() const { return shortage_; }

 private:
  enum class phase { kForming, kServing, kClosing, kReleasing };

  struct group_record {
    server_group_id id;
    std::string model;
    std::uint64_t epoch = 0;
    std::vector<backend_server_id> members;
    phase current = phase::kForming;
    time_point phase_since{};
    /// Formed by an earlier controller, whose orders may still be on their way.
    bool adopted = false;
    /// When this controller first saw the group.
    time_point adopted_at{};
    /// Whether `open` was or may have been sent.
    bool may_be_open = false;
    bool head_released = false;
    std::optional<time_point> doubted_until;
  };

  struct server_record {
    /// From a group's name; empty when the server is or was registered.
    std::string address;
    /// The last order, whether its answer is awaited, and the earliest time to repeat it.
    formation_action last_action = formation_action::kProbe;
    server_group_id last_group;
    bool order_pending = false;
    std::optional<time_point> repeat_after;
    std::optional<time_point> probed_at;
    /// Since when the server is registered without a break, or is not.
    std::optional<time_point> listed_since;
    std::optional<time_point> unlisted_since;
    /// When another member of its group was first seen to answer after it was not registered.
    std::optional<time_point> outlived_since;
    /// Probes without an answer since the last answer.
    std::uint32_t silent_probes = 0;
    std::optional<time_point> silent_since;
    /// Membership that the last probe showed, and when.
    std::optional<group_membership> probed_membership;
    std::optional<time_point> answered_at;
    /// Until when an ordered load onto the host may take.
    std::optional<time_point> staging_until;
  };

  enum class member_condition { kPresent, kDraining, kUnlisted, kLost };
  enum class head_condition {
    kListed,
    /// Not registered, but it answers.
    kCutOff,
    /// Neither registered nor answering; it may be cut off with its whole fabric domain and still
    /// serve there.
    kUnknown,
    /// Certainly gone, or in another group.
    kOut,
  };

  void ObserveServers();
  void AdoptGroups();
  void RetireFinishedGroup(const group_view& view);
  void AdvanceGroups();
  void AdvanceForming(group_record& group);
  void AdvanceServing(group_record& group);
  void AdvanceClosing(group_record& group);
  void AdvanceReleasing(group_record& group);
  head_condition ConditionOfHead(const group_record& group);
  head_condition ConditionOfUnlistedHead(const group_record& group);
  void ProbeMembers(const group_record& group);
  void ProbeSilentServers();
  /// Takes a head that this controller has never seen from the group's name.
  void FillHead(group_record& group, const group_name& name);
  std::string AddressOf(const backend_server_id& id);
  void FillMembers(group_record& group, const group_view& view);
  void StartReleasing(group_record& group);
  member_condition ConditionOf(const group_record& group, std::size_t rank);
  bool IsDoubted(const group_record& group) const;
  /// Whether a member answered after `since`, so that the way to the group works.
  bool AnswersSince(const group_record& group, time_point since);
  void Probe(const backend_server_id& id);
  void FormMissing();
  void FormInDomain(const fabric_domain_id& fabric, const group_counts& targets,
                    group_counts& present, bool settled);
  /// Whether free servers that need no loading could replace the members that still load.
  bool HasBetterMembers(const group_record& group) const;
  /// Forms a group of free servers none of which costs more than `most`.
  bool FormGroup(const fabric_domain_id& fabric, const model_settings& model, join_cost most);
  /// Gives up a group of another model for one of `model`, which the domain lacks servers for.
  void ConvertGroup(const fabric_domain_id& fabric, const model_settings& model,
                    const group_counts& targets, const group_counts& present);
  group_record* FindSurplus(const fabric_domain_id& fabric, const model_settings& model,
                            const group_counts& targets, const group_counts& present);
  bool IsStagedOrAsked(const backend_server_id& id, const model_settings& model);
  std::size_t CountGroups(const std::string& model) const;
  /// The groups that a domain lacks, those with the largest share first.
  std::vector<const model_settings*> MissingModels(const group_counts& targets,
                                                   const group_counts& present) const;
  void DescribeShortage(const fabric_domain_id& fabric, std::size_t usable,
                        const group_counts& targets, const group_counts& present);
  void KeepSpares(const fabric_domain_id& fabric);
  void Order(const backend_server_id& target, formation_action action, const group_record& group);
  bool MaySend(const backend_server_id& target, formation_action action,
               const server_group_id& group);
  bool IsUsable(const backend_server_id& id) const;
  bool HoldsMembership(const group_record& group, const backend_server_id& id) const;
  bool TakeLoad(std::size_t loads);
  std::size_t LoadsNeeded(const std::vector<backend_server_id>& members,
                          const std::string& model) const;
  std::uint64_t NextEpoch() { return ++highest_epoch_; }

  const group_planner_options options_;
  std::map<server_group_id, group_record> groups_;
  std::map<backend_server_id, server_record> servers_;
  /// Groups whose members were set free, and when.
  std::map<server_group_id, time_point> finished_;
  std::deque<time_point> loads_;
  /// Since when a fabric domain lacks a group.
  std::map<fabric_domain_id, time_point> missing_since_;
  std::uint64_t highest_epoch_ = 0;
  bool busy_ = false;
  bool loads_limited_ = true;
  std::string shortage_;

  // Valid during Plan.
  const service_settings* service_ = nullptr;
  const server_directory* directory_ = nullptr;
  time_point now_{};
  std::vector<formation_order> orders_;
  std::set<backend_server_id> taken_;
  /// Members of groups in the round before.
  std::set<backend_server_id> taken_before_;
  std::map<fabric_domain_id, std::vector<backend_server_id>> free_;
};

}  // namespace waxwingwing
