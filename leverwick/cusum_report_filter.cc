// The reference follows a sum down, in each metric, and never up: a decrease,
// which is in the version's favour, is not reported by itself, but later growth
// then counts from the lower value.

#include "leverwick/cusum_report_filter.h"

#include <algorithm>

namespace leverwick {
namespace {

// In log likelihood ratio. One failed response adds 1.4 to 3, a slow one 1.9 to
// 2.3 (leverwick/regression_detector.cc).
constexpr double kReportedIncrease = 1.2;
constexpr double kReportedDecrease = 2;

struct MetricAccessors {
  double (GuardSum::*get)() const;
  void (GuardSum::*set)(double);
};
constexpr MetricAccessors kMetrics[] = {
    {&GuardSum::errors, &GuardSum::set_errors},
    {&GuardSum::latency, &GuardSum::set_latency},
    {&GuardSum::rating, &GuardSum::set_rating},
    {&GuardSum::begin, &GuardSum::set_begin},
    {&GuardSum::broken, &GuardSum::set_broken},
};

// Returns by how much `to` exceeds `from` in the metric where it does so most;
// 0 if it does in none.
double MaxIncrease(const GuardSum& to, const GuardSum& from) {
  double max = 0;
  for (const MetricAccessors& metric : kMetrics) {
    max = std::max(max, (to.*metric.get)() - (from.*metric.get)());
  }
  return max;
}

void LowerTo(const GuardSum& sum, GuardSum* reference) {
  for (const MetricAccessors& metric : kMetrics) {
    double lower = std::min((sum.*metric.get)(), (reference->*metric.get)());
    (reference->*metric.set)(lower);
  }
}

}  // namespace

bool CusumReportFilter::ShouldReport(const GuardSum& sum) {
  SubjectState& state = subjects_[sum.subject()];
  LowerTo(sum, &state.reference);
  if (MaxIncrease(sum, state.reference) >= kReportedIncrease) return true;
  return state.owes_decrease &&
         MaxIncrease(state.reported, sum) >= kReportedDecrease;
}

void CusumReportFilter::RecordReport(const GuardSum& sum) {
  SubjectState& state = subjects_[sum.subject()];
  state.owes_decrease = MaxIncrease(sum, state.reference) >= kReportedIncrease;
  state.reference = sum;
  state.reported = sum;
}

}  // namespace leverwick
