#include "bench/drill_report.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace waxwingwing {
namespace {

using integration::open_loop_load;
using nlohmann::json;
using outcome = open_loop_load::outcome;

constexpr double kMicrosPerMilli = 1000;

struct phase_count {
  std::uint64_t whole = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::vector<double> first_token_ms;
  std::map<std::string, std::uint64_t> reasons;

  std::uint64_t all() const { return whole + refused + failed; }
};

void Count(const open_loop_load::request& request, phase_count& phase) {
  if (request.result == outcome::kWhole) ++phase.whole;
  if (request.result == outcome::kRefusedNotRun) ++phase.refused;
  if (request.result == outcome::kFailed) ++phase.failed;
  if (!request.reason.empty()) ++phase.reasons[request.reason];
  if (request.result != outcome::kWhole) return;
  const auto wait_us = static_cast<double>(request.first_token_us - request.due_us);
  phase.first_token_ms.push_back(wait_us / kMicrosPerMilli);
}

double Share(std::uint64_t part, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

json ToJson(const phase_count& phase) {
  return {{"requests", phase.all()},
          {"whole", phase.whole},
          {"refused_not_run", phase.refused},
          {"failed", phase.failed},
          {"refused_share", Share(phase.refused, phase.all())},
          {"reasons", phase.reasons},
          {"first_token_p50_ms", Quantile(phase.first_token_ms, 0.5)},
          {"first_token_p95_ms", Quantile(phase.first_token_ms, 0.95)}};
}

using token_range = std::pair<std::uint64_t, std::uint64_t>;

/// Counts the tokens in the ranges that repeat tokens generated before.
std::uint64_t Repeated(std::vector<token_range> ranges) {
  std::sort(ranges.begin(), ranges.end());
  std::uint64_t repeated = 0;
  std::uint64_t covered = 0;
  for (const auto& [first, end] : ranges) {
    if (first < covered) repeated += std::min(end, covered) - first;
    covered = std::max(covered, end);
  }
  return repeated;
}

}  // namespace

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto place = values.begin() + static_cast<std::ptrdiff_t>(last * part);
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

generated_tokens CountTokens(const std::vector<integration::vm_records>& engines) {
  std::map<std::string, std::vector<token_range>> ranges;
  generated_tokens counted;
  for (const integration::vm_records& engine : engines) {
    for (const json& request : engine.List("requests")) {
      const std::uint64_t first = request.at("resume_offset").get<std::uint64_t>();
      const std::uint64_t sent = request.value("tokens_sent", std::uint64_t{0});
      ranges[request.at("request_id").get<std::string>()].emplace_back(first, first + sent);
      counted.all += sent;
    }
  }
  for (auto& [id, list] : ranges) counted.repeated += Repeated(std::move(list));
  return counted;
}

json ReportDrill(const std::vector<open_loop_load::request>& requests,
                 const std::vector<integration::vm_records>& engines, const drill_times& times) {
  phase_count before;
  phase_count during;
  for (const open_loop_load::request& request : requests) {
    if (request.due_us < times.out_us) Count(request, before);
    if (request.due_us >= times.out_us && request.due_us < times.end_us) Count(request, during);
  }
  const generated_tokens tokens = CountTokens(engines);
  const double before_p95 = Quantile(before.first_token_ms, 0.95);
  const double ratio = before_p95 > 0 ? Quantile(during.first_token_ms, 0.95) / before_p95 : 0;
  return {{"before", ToJson(before)},
          {"during", ToJson(during)},
          {"failed", before.failed + during.failed},
          {"first_token_p95_ratio", ratio},
          {"refused_share", Share(during.refused, during.all())},
          {"tokens", tokens.all},
          {"repeated_token_share", Share(tokens.repeated, tokens.all)}};
}

}  // namespace waxwingwing
