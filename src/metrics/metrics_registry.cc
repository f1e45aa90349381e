#include "waxwingwing/metrics/metrics_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cctype>

namespace waxwingwing {
namespace {

constexpr double kPrintedFractions[] = {0.5, 0.95, 0.99};

/// Escapes a label value as the Prometheus text format requires.
std::string EscapeLabelValue(std::string_view value) {
  std::string text;
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') text += '\\';
    text += character;
  }
  return text;
}

[[maybe_unused]] bool IsName(std::string_view name) {
  const auto allowed = [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '_';
  };
  return !name.empty() && std::isdigit(static_cast<unsigned char>(name[0])) == 0 &&
         std::all_of(name.begin(), name.end(), allowed);
}

/// Formats labels as `a="1",b="2"`, which is also the key of a series in its family.
std::string LabelText(const metric_labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    assert(IsName(name));
    if (!text.empty()) text += ',';
    text += name + "=\"" + EscapeLabelValue(value) + '"';
  }
  return text;
}

std::string SeriesName(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : name + '{' + labels + '}';
}

template <typename family_type>
auto& FindOrAdd(family_type& families, std::string_view name, const metric_labels& labels) {
  assert(IsName(name));
  auto& metric = families[std::string(name)][LabelText(labels)];
  using metric_type = typename std::remove_reference_t<decltype(metric)>::element_type;
  if (!metric) metric = std::make_unique<metric_type>();
  return *metric;
}

template <typename family_type>
void AppendValues(std::string& text, const family_type& families, std::string_view type) {
  for (const auto& [name, series] : families) {
    text += fmt::format("# TYPE {} {}\n", name, type);
    for (const auto& [labels, metric] : series) {
      text += fmt::format("{} {}\n", SeriesName(name, labels), metric->value());
    }
  }
}

void AppendSummary(std::string& text, const std::string& name, const std::string& labels,
                   const quantile_summary& summary) {
  const std::string separator = labels.empty() ? "" : ",";
  for (const double fraction : kPrintedFractions) {
    text += fmt::format("{}{{{}{}quantile=\"{}\"}} {}\n", name, labels, separator, fraction,
                        summary.Quantile(fraction));
  }
  text += fmt::format("{} {}\n", SeriesName(name + "_sum", labels), summary.Sum());
  text += fmt::format("{} {}\n", SeriesName(name + "_count", labels), summary.Count());
}

}  // namespace

counter& metrics_registry::Counter(std::string_view name, const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(counters_, name, labels);
}

gauge& metrics_registry::Gauge(std::string_view name, const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(gauges_, name, labels);
}

quantile_summary& metrics_registry::Summary(std::string_view name, const metric_labels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrAdd(summaries_, name, labels);
}

std::map<std::string, std::uint64_t> metrics_registry::CountersBy(std::string_view name,
                                                                  std::string_view label) const {
  const std::string prefix = std::string(label) + "=\"";
  std::map<std::string, std::uint64_t> values;
  const std::lock_guard lock(mutex_);
  const auto found = counters_.find(std::string(name));
  if (found == counters_.end()) return values;
  for (const auto& [labels, metric] : found->second) {
    if (!labels.starts_with(prefix)) continue;
    values[labels.substr(prefix.size(), labels.size() - prefix.size() - 1)] = metric->value();
  }
  return values;
}

std::string metrics_registry::ToText() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  AppendValues(text, counters_, "counter");
  AppendValues(text, gauges_, "gauge");
  for (const auto& [name, series] : summaries_) {
    text += fmt::format("# TYPE {} summary\n", name);
    for (const auto& [labels, summary] : series) AppendSummary(text, name, labels, *summary);
  }
  return text;
}

}  // namespace waxwingwing
