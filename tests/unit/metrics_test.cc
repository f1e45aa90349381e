#include <catch2/catch.hpp>
#include <limits>
#include <thread>

#include "waxwingwing/core/random_source.h"
#include "waxwingwing/metrics/metrics_registry.h"

namespace waxwingwing {
namespace {

TEST_CASE("metrics are printed in the Prometheus text format", "[metrics]") {
  metrics_registry metrics;
  metrics.Counter("rejections_total", {{"reason", "queue_full"}}).Increment(3);
  metrics.Counter("rejections_total", {{"reason", "deadline"}}).Increment();
  metrics.Gauge("connections").Set(-2);
  REQUIRE(metrics.ToText() ==
          "# TYPE rejections_total counter\n"
          "rejections_total{reason=\"deadline\"} 1\n"
          "rejections_total{reason=\"queue_full\"} 3\n"
          "# TYPE connections gauge\n"
          "connections -2\n");
}

// Guards against a label value from a caller that ends its line and so adds a false series.
TEST_CASE("label values are escaped", "[metrics]") {
  metrics_registry metrics;
  metrics.Counter("calls", {{"organisation", "a\"b\\c\nd 9"}, {"code", "x"}}).Increment();
  REQUIRE(metrics.ToText() ==
          "# TYPE calls counter\ncalls{organisation=\"a\\\"b\\\\c\\nd 9\",code=\"x\"} 1\n");
}

// Guards against a status page that counts other metrics, or other labels, among the refusals.
TEST_CASE("counters are listed by the value of their only label", "[metrics]") {
  metrics_registry metrics;
  metrics.Counter("refusals", {{"reason", "queue_full"}}).Increment(3);
  metrics.Counter("refusals", {{"reason", "no_capacity"}}).Increment();
  metrics.Counter("refusals", {{"organisation", "acme"}}).Increment();
  metrics.Counter("retries", {{"reason", "stream_cut"}}).Increment();
  const std::map<std::string, std::uint64_t> expected = {{"no_capacity", 1}, {"queue_full", 3}};
  REQUIRE(metrics.CountersBy("refusals", "reason") == expected);
  REQUIRE(metrics.CountersBy("missing", "reason").empty());
}

TEST_CASE("look-ups with the same name and labels give the same metric", "[metrics]") {
  metrics_registry metrics;
  counter& first = metrics.Counter("calls", {{"code", "1"}});
  for (int i = 0; i < 100; ++i) metrics.Counter("calls", {{"code", std::to_string(i)}});
  REQUIRE(&metrics.Counter("calls", {{"code", "1"}}) == &first);
}

TEST_CASE("a summary prints its quantiles, sum and count", "[metrics]") {
  metrics_registry metrics;
  quantile_summary& summary = metrics.Summary("wait_seconds", {{"model", "m"}});
  summary.Observe(0.5);
  summary.Observe(0.25);
  REQUIRE(metrics.ToText() ==
          "# TYPE wait_seconds summary\n"
          "wait_seconds{model=\"m\",quantile=\"0.5\"} 0.25\n"
          "wait_seconds{model=\"m\",quantile=\"0.95\"} 0.5\n"
          "wait_seconds{model=\"m\",quantile=\"0.99\"} 0.5\n"
          "wait_seconds_sum{model=\"m\"} 0.75\n"
          "wait_seconds_count{model=\"m\"} 2\n");
}

// Guards against reading the markers of the estimator before they are filled and sorted.
TEST_CASE("quantiles of few values are exact", "[metrics]") {
  quantile_summary summary;
  REQUIRE(summary.Quantile(0.5) == 0);
  for (const double value : {9, 1, 8, 2, 7, 3, 6, 4, 5}) summary.Observe(value);
  REQUIRE(summary.Quantile(0.5) == 5);
  REQUIRE(summary.Quantile(0.99) == 9);
}

TEST_CASE("quantiles of many values are close to the true quantiles", "[metrics]") {
  quantile_summary summary;
  random_source random(11);
  for (int i = 0; i < 50000; ++i) summary.Observe(random.Fraction());
  CHECK(summary.Quantile(0.5) == Approx(0.5).margin(0.02));
  CHECK(summary.Quantile(0.95) == Approx(0.95).margin(0.01));
  CHECK(summary.Quantile(0.99) == Approx(0.99).margin(0.005));
}

TEST_CASE("values that are not finite are left out of a summary", "[metrics]") {
  quantile_summary summary;
  summary.Observe(std::numeric_limits<double>::quiet_NaN());
  summary.Observe(std::numeric_limits<double>::infinity());
  summary.Observe(1);
  REQUIRE(summary.Count() == 1);
  REQUIRE(summary.Sum() == 1);
}

TEST_CASE("counters include every increment of concurrent threads", "[metrics]") {
  metrics_registry metrics;
  const auto count = [&] {
    for (int i = 0; i < 10000; ++i) metrics.Counter("calls").Increment();
  };
  std::thread first(count);
  std::thread second(count);
  first.join();
  second.join();
  REQUIRE(metrics.Counter("calls").value() == 20000);
}

}  // namespace
}  // namespace waxwingwing
