// A line is NAME VALUE or NAME{LABEL="TEXT",...} VALUE.

#include "net/metrics_text.h"

#include <cstdlib>
#include <sstream>

namespace leverwick {
namespace {

std::map<std::string, std::string> ReadLabels(const std::string& text) {
  std::map<std::string, std::string> labels;
  size_t at = 0;
  while (at < text.size()) {
    size_t equals = text.find("=\"", at);
    if (equals == std::string::npos) break;
    size_t end = text.find('"', equals + 2);
    if (end == std::string::npos) break;
    labels[text.substr(at, equals - at)] =
        text.substr(equals + 2, end - equals - 2);
    at = end + 2;  // behind the quote and a comma
  }
  return labels;
}

bool ReadLine(const std::string& line, MetricValue* metric) {
  size_t space = line.rfind(' ');
  bool is_metric =
      !line.empty() && line[0] != '#' && space != std::string::npos;
  if (!is_metric) return false;
  std::string subject = line.substr(0, space);
  size_t brace = subject.find('{');
  metric->name = subject.substr(0, brace);
  if (brace != std::string::npos) {
    metric->labels =
        ReadLabels(subject.substr(brace + 1, subject.size() - brace - 2));
  }
  const char* number = line.c_str() + space + 1;
  char* end = nullptr;
  metric->value = std::strtod(number, &end);
  return end != number;
}

}  // namespace

std::vector<MetricValue> ReadMetricsText(const std::string& text) {
  std::vector<MetricValue> metrics;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    MetricValue metric;
    if (ReadLine(line, &metric)) metrics.push_back(std::move(metric));
  }
  return metrics;
}

}  // namespace leverwick
