#include "waxwingwing/membership/report_table.h"

#include <catch2/catch.hpp>

namespace waxwingwing {
namespace {

const time_point kStart = time_point(std::chrono::hours(1));

backend_report Report(std::uint64_t run, std::uint64_t sequence, milliseconds taken,
                      milliseconds uptime) {
  backend_report report;
  report.vm = vm_id("e1");
  report.incarnation = incarnation(run);
  report.sequence = sequence;
  report.uptime = uptime;
  report.taken_at = kStart + taken;
  return report;
}

time_point At(milliseconds elapsed) { return kStart + elapsed; }

TEST_CASE("a late report does not replace a newer one", "[membership]") {
  report_table table;
  REQUIRE(table.Observe(Report(9, 2, milliseconds(500), milliseconds(900)), At(milliseconds(500))));
  REQUIRE_FALSE(
      table.Observe(Report(9, 1, milliseconds(0), milliseconds(400)), At(milliseconds(600))));
  REQUIRE(table.Find(vm_id("e1"))->sequence == 2);
}

TEST_CASE("a relayed copy that looks younger does not refresh a report", "[membership]") {
  // The age of a relayed report does not include the transit time, so a second copy of a report
  // seems younger than the first. If the copy refreshed the report, a silent VM would look live.
  report_table table;
  table.Observe(Report(9, 2, milliseconds(0), milliseconds(900)), At(milliseconds(0)));
  REQUIRE_FALSE(
      table.Observe(Report(9, 2, milliseconds(800), milliseconds(900)), At(milliseconds(900))));
  REQUIRE(table.Age(vm_id("e1"), At(milliseconds(900))) == milliseconds(900));
}

TEST_CASE("after a restart late reports of the old run are filtered out", "[membership]") {
  // Incarnations are random numbers, so the new one may be smaller, and its sequence starts again.
  report_table table;
  table.Observe(Report(9, 70, milliseconds(0), milliseconds(60000)), At(milliseconds(0)));
  REQUIRE(table.Observe(Report(3, 1, milliseconds(900), milliseconds(100)), At(milliseconds(900))));
  REQUIRE_FALSE(
      table.Observe(Report(9, 71, milliseconds(950), milliseconds(60500)), At(milliseconds(950))));
  REQUIRE(table.Find(vm_id("e1"))->incarnation == incarnation(3));
}

TEST_CASE("an expired report is replaced by a report taken later", "[membership]") {
  // The older incarnation looks as if it had started later, because the estimate of its start time
  // is wrong. Its report must not block the reports of the running incarnation for ever.
  report_table table;
  table.Observe(Report(9, 1, milliseconds(0), milliseconds(10)), At(milliseconds(0)));
  const backend_report later = Report(3, 1, milliseconds(2500), milliseconds(2600));
  REQUIRE(table.Observe(later, At(milliseconds(2500))));
}

TEST_CASE("a report from the future is recorded as taken now", "[membership]") {
  report_table table;
  table.Observe(Report(9, 1, milliseconds(5000), milliseconds(10)), At(milliseconds(0)));
  REQUIRE(table.Age(vm_id("e1"), At(milliseconds(100))) == milliseconds(100));
}

TEST_CASE("a report is fresh for its lifetime only", "[membership]") {
  report_table table;
  table.Observe(Report(9, 1, milliseconds(0), milliseconds(10)), At(milliseconds(0)));
  REQUIRE(table.FindFresh(vm_id("e1"), At(kReportLifetime)) != nullptr);
  REQUIRE(table.FindFresh(vm_id("e1"), At(kReportLifetime + milliseconds(1))) == nullptr);
  REQUIRE_FALSE(table.Age(vm_id("e2"), At(milliseconds(0))).has_value());
}

TEST_CASE("only a report taken after the failure clears the suspicion of a backend server",
          "[membership]") {
  // A suspicion of another incarnation has no effect, and a report taken before the failure may
  // arrive after it.
  report_table table;
  table.Observe(Report(9, 1, milliseconds(0), milliseconds(10)), At(milliseconds(0)));
  table.MarkSuspected(vm_id("e1"), incarnation(8), At(milliseconds(300)));
  REQUIRE_FALSE(table.IsSuspected(vm_id("e1")));
  table.MarkSuspected(vm_id("e1"), incarnation(9), At(milliseconds(300)));
  REQUIRE(table.IsSuspected(vm_id("e1")));
  table.Observe(Report(9, 2, milliseconds(200), milliseconds(210)), At(milliseconds(400)));
  REQUIRE(table.IsSuspected(vm_id("e1")));
  table.Observe(Report(9, 3, milliseconds(500), milliseconds(510)), At(milliseconds(600)));
  REQUIRE_FALSE(table.IsSuspected(vm_id("e1")));
}

TEST_CASE("backend servers that left the VM list are removed", "[membership]") {
  report_table table;
  table.Observe(Report(9, 1, milliseconds(0), milliseconds(10)), At(milliseconds(0)));
  vm_entry other;
  other.id = vm_id("e2");
  table.Retain({other});
  REQUIRE(table.Find(vm_id("e1")) == nullptr);
}

}  // namespace
}  // namespace waxwingwing
