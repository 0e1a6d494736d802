#include "net/metrics_text.h"

#include <doctest/doctest.h>

#include "net/metrics.h"

namespace leverwick {
namespace {

TEST_CASE("what Metrics writes is read back") {
  Metrics metrics;
  metrics.Add("a_total", "x=\"1\",y=\"two words\"", 3);
  metrics.Set("b", "", 0.25);
  metrics.Time("c_seconds", "", Seconds(0.3));
  std::map<std::string, MetricValue> found;
  for (const MetricValue& metric : ReadMetricsText(metrics.Text())) {
    found[metric.name] = metric;
  }
  CHECK(found["a_total"].value == 3);
  CHECK(found["a_total"].labels ==
        std::map<std::string, std::string>{{"x", "1"}, {"y", "two words"}});
  CHECK(found["b"].value == 0.25);
  CHECK(found["b"].labels.empty());
  CHECK(found["c_seconds_count"].value == 1);
}

TEST_CASE("lines that are no metric are left out") {
  CHECK(ReadMetricsText("# HELP a b\n\nword\na b\n").empty());
  CHECK(ReadMetricsText("a{ 1\n").size() == 1);
}

}  // namespace
}  // namespace leverwick
