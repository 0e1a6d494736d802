// Reads the text that Metrics writes.
//
//   for (const MetricValue& metric : ReadMetricsText(text)) ...

#ifndef NET_METRICS_TEXT_H_
#define NET_METRICS_TEXT_H_

#include <map>
#include <string>
#include <vector>

namespace leverwick {

struct MetricValue {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;
};

// Lines that are no metric, such as comments, are left out.
std::vector<MetricValue> ReadMetricsText(const std::string& text);

}  // namespace leverwick

#endif  // NET_METRICS_TEXT_H_
