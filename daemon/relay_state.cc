#include "daemon/relay_state.h"

#include <iomanip>
#include <vector>

#include "net/metrics_text.h"

namespace leverwick {
namespace {

// One line of the summary; metrics with labels have a line for each.
struct Row {
  const char* metric;
  const char* title;
};

constexpr Row kRows[] = {
    {"leverwick_config_version", "configuration, version"},
    {"leverwick_proof_age_seconds", "configuration proved, seconds ago"},
    {"leverwick_reads_store", "reads the store itself (1) or a box (0)"},
    {"leverwick_log_age_seconds", "what is known of a topic, seconds old"},
    {"leverwick_log_reads_total", "answers to reads of a topic"},
    {"leverwick_log_searches_total", "searches for a topic's newest records"},
    {"leverwick_boxes", "boxes of the data centre"},
    {"leverwick_asks_held", "boxes waiting for what this one reads"},
    {"leverwick_endpoints", "endpoints"},
    {"leverwick_named_limits", "endpoints that name a limit"},
    {"leverwick_backoffs", "endpoints that want nothing of this box now"},
    {"leverwick_open_requests", "requests in progress"},
    {"leverwick_requests_total", "requests ended"},
    {"leverwick_refused_total", "refused or failed by this box"},
    {"leverwick_tries_ended_total", "tries without an answer"},
    {"leverwick_retries_total", "retries"},
    {"leverwick_retry_budget", "retries allowed now"},
    {"leverwick_rollout_step",
     "roll-out: 0 canary, 1 wider, 2 all, 3 completed, 4 rolled back"},
    {"leverwick_store_calls_total", "calls to the store"},
    {"leverwick_log_asks_total", "reads from other boxes"},
    {"leverwick_load_notes_total", "notes of prompts to and from other boxes"},
    {"leverwick_log_lines_dropped_total", "log lines dropped"},
};

std::string LabelsText(const MetricValue& metric) {
  std::string text;
  for (const auto& [name, value] : metric.labels) {
    text += "  " + name + " " + value;
  }
  return text;
}

}  // namespace

void PrintRelayState(const std::string& metrics_text, std::ostream* out) {
  constexpr int kValueWidth = 12;
  std::vector<MetricValue> metrics = ReadMetricsText(metrics_text);
  for (const Row& row : kRows) {
    for (const MetricValue& metric : metrics) {
      if (metric.name != row.metric) continue;
      *out << std::setw(kValueWidth) << metric.value << "  " << row.title
           << LabelsText(metric) << "\n";
    }
  }
}

}  // namespace leverwick
