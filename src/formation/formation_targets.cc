#include "waxwingwing/formation/formation_targets.h"

#include <algorithm>

namespace waxwingwing {
namespace {

std::vector<const model_settings*> SortedByShare(const std::vector<model_settings>& models) {
  std::vector<const model_settings*> sorted;
  for (const model_settings& model : models) {
    if (model.group_size > 0) sorted.push_back(&model);
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto* left, const auto* right) { return left->share > right->share; });
  return sorted;
}

/// Returns the model with the highest share per group among those whose groups need at most
/// `available` servers; null when there is none.
const model_settings* MostUnderservedModel(const std::vector<const model_settings*>& models,
                                           const group_counts& totals, std::size_t available) {
  const model_settings* best = nullptr;
  double best_need = 0;
  for (const model_settings* model : models) {
    if (model->group_size > available) continue;
    const auto total = totals.find(model->name);
    const double groups = total == totals.end() ? 0 : static_cast<double>(total->second);
    const double need = model->share / (groups + 1);
    if (best == nullptr || need > best_need) {
      best = model;
      best_need = need;
    }
  }
  return best;
}

}  // namespace

std::map<fabric_domain_id, group_counts> ComputeFormationTargets(
    const std::vector<model_settings>& models,
    const std::map<fabric_domain_id, std::size_t>& usable_servers, std::size_t reserve) {
  const auto sorted = SortedByShare(models);
  std::map<fabric_domain_id, group_counts> targets;
  group_counts totals;
  std::map<fabric_domain_id, std::size_t> left = usable_servers;
  for (auto& [fabric, available] : left) {
    for (const model_settings* model : sorted) {
      if (model->group_size > available) continue;
      ++targets[fabric][model->name];
      ++totals[model->name];
      available -= model->group_size;
    }
  }
  for (auto& [fabric, available] : left) {
    while (available > reserve) {
      const model_settings* model = MostUnderservedModel(sorted, totals, available - reserve);
      if (model == nullptr) break;
      ++targets[fabric][model->name];
      ++totals[model->name];
      available -= model->group_size;
    }
  }
  return targets;
}

}  // namespace waxwingwing
