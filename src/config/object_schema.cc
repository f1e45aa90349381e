#include "config/object_schema.h"

namespace waxwingwing {
namespace {

using nlohmann::json;

constexpr bool kRequired = true;
constexpr bool kOptional = false;

constexpr number_range kPriority{0, 9};
constexpr number_range kPositive{1, 1000000};
constexpr number_range kCount{0, 1000000};
/// A replica spans at most one fabric domain.
constexpr number_range kVmsPerReplica{1, 1024};
constexpr number_range kEntryVms{1, 1024};
constexpr number_range kBufferBytes{16 << 10, std::uint64_t{1} << 40U};
/// At most one day.
constexpr number_range kWarmUpMs{0, 86400000};
constexpr number_range kKvTokens{1, std::uint64_t{1} << 40U};

template <typename object, auto pointer>
constexpr object_member<object> Member(const char* name, bool required, number_range range = {}) {
  return {name,
          required,
          range,
          [](const json& value, const value_context& context, object& target) {
            ReadValue(value, context, target.*pointer);
          },
          [](const object& from) { return WriteValue(from.*pointer); },
          [](const object& from, object& target) { target.*pointer = from.*pointer; }};
}

}  // namespace

std::span<const object_member<failure_domain_config>>
object_schema<failure_domain_config>::Members() {
  using object = failure_domain_config;
  static constexpr object_member<object> kMembers[] = {
      Member<object, &object::region>("region", kRequired),
      Member<object, &object::state>("state", kOptional),
      Member<object, &object::entry_vms>("entry_vms", kOptional, kEntryVms),
      Member<object, &object::when_cut_off>("when_cut_off", kOptional),
  };
  return kMembers;
}

std::span<const object_member<organisation_config>> object_schema<organisation_config>::Members() {
  using object = organisation_config;
  static constexpr object_member<object> kMembers[] = {
      Member<object, &object::priority>("priority", kOptional, kPriority),
      Member<object, &object::share>("share", kOptional, kPositive),
      Member<object, &object::max_queue>("max_queue", kOptional, kCount),
      Member<object, &object::max_buffer_bytes>("max_buffer_bytes", kOptional, kBufferBytes),
  };
  return kMembers;
}

std::span<const object_member<model_group_config>> object_schema<model_group_config>::Members() {
  using object = model_group_config;
  static constexpr object_member<object> kMembers[] = {
      Member<object, &object::model>("model", kRequired),
      Member<object, &object::failure_domains>("failure_domains", kRequired),
      Member<object, &object::replicas>("replicas", kOptional, kCount),
      Member<object, &object::vms_per_replica>("vms_per_replica", kOptional, kVmsPerReplica),
      Member<object, &object::spares>("spares", kOptional, kCount),
      Member<object, &object::priority>("priority", kOptional, kPriority),
      Member<object, &object::max_requests>("max_requests", kOptional, kPositive),
      Member<object, &object::cold_requests>("cold_requests", kOptional, kPositive),
      Member<object, &object::warm_up>("warm_up_ms", kOptional, kWarmUpMs),
      Member<object, &object::kv_tokens>("kv_tokens", kOptional, kKvTokens),
  };
  return kMembers;
}

std::span<const object_member<service_config>> object_schema<service_config>::Members() {
  using object = service_config;
  // `repeatable` is required, since a default of true could run a call twice.
  static constexpr object_member<object> kMembers[] = {
      Member<object, &object::failure_domains>("failure_domains", kRequired),
      Member<object, &object::repeatable>("repeatable", kRequired),
      Member<object, &object::max_requests>("max_requests", kOptional, kPositive),
  };
  return kMembers;
}

void CheckObject(const model_group_config& value, const std::string& place,
                 finding_list& findings) {
  if (value.cold_requests <= value.max_requests) return;
  findings.Add(MemberPlace(place, "cold_requests"), "must not be greater than max_requests");
}

}  // namespace waxwingwing
