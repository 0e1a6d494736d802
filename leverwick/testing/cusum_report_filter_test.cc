#include "leverwick/cusum_report_filter.h"

#include <doctest/doctest.h>

namespace leverwick {
namespace {

GuardSum Sum(double errors, double latency) {
  GuardSum sum;
  sum.set_subject("p/v2");
  sum.set_errors(errors);
  sum.set_latency(latency);
  return sum;
}

// Guards against comparing the sum over all metrics: no response of a slow
// version failed, so its error score outweighed its latency score, the growth
// was not reported, and the version got thousands of requests too many.
TEST_CASE("a decrease in one metric doesn't hide growth in another") {
  CusumReportFilter filter;
  CHECK_FALSE(filter.ShouldReport(Sum(-12, 0)));
  CHECK(filter.ShouldReport(Sum(-12, 2.3)));
  filter.RecordReport(Sum(-12, 2.3));
  CHECK_FALSE(filter.ShouldReport(Sum(-12, 2.3)));
  // Growth counts from the lowest value since the report, in each metric.
  CHECK_FALSE(filter.ShouldReport(Sum(-13, 1.7)));
  CHECK(filter.ShouldReport(Sum(-11, 1.7)));
}

TEST_CASE("growth that is gone again is reported once") {
  CusumReportFilter filter;
  CHECK(filter.ShouldReport(Sum(0, 2.3)));
  filter.RecordReport(Sum(0, 2.3));
  CHECK_FALSE(filter.ShouldReport(Sum(-1, 1.1)));
  CHECK(filter.ShouldReport(Sum(-1, 0.2)));
  filter.RecordReport(Sum(-1, 0.2));
  for (int i = 1; i < 50; ++i)
    CHECK_FALSE(filter.ShouldReport(Sum(-1, 0.2 - i)));
  CHECK(filter.ShouldReport(Sum(-1, 0.2 - 49 + 2.3)));
}

TEST_CASE("a healthy version without slow responses causes no report") {
  CusumReportFilter filter;
  for (int i = 0; i < 1000; ++i)
    CHECK_FALSE(filter.ShouldReport(Sum(-0.3 * i, -i)));
}

}  // namespace
}  // namespace leverwick
