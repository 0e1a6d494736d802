// What a relay tells scrapers. Counters are kept as things happen; the state of
// the moment is read when it is asked for.

#include "daemon/relay.h"
#include "net/log.h"

namespace leverwick {
namespace {

// Organisations with counters of their own; the others share one, so that a
// configuration with thousands does not make the answer megabytes long.
constexpr size_t kMostOrganisations = 50;
constexpr char kOtherOrganisations[] = "other";

std::string Label(const char* name, const std::string& value) {
  return std::string(name) + "=\"" + value + "\"";
}

}  // namespace

void Relay::CountEnd(const std::string& organisation,
                     const std::string& outcome, int status) {
  bool has_room = told_organisations_.size() < kMostOrganisations;
  if (has_room) told_organisations_.insert(organisation);
  bool is_told = told_organisations_.count(organisation) > 0;
  metrics_.Add(
      "leverwick_requests_total",
      Label("outcome", outcome) + "," +
          Label("status", std::to_string(status)) + "," +
          Label("organisation", is_told ? organisation : kOtherOrganisations),
      1);
}

bool Relay::TakeRetry(const std::string& service,
                      RetryBudget::Purpose purpose) {
  bool allowed = BudgetOf(service)->TryConsume(purpose);
  metrics_.Add("leverwick_retries_total",
               Label("service", service) + "," +
                   Label("outcome", allowed ? "allowed" : "no_budget"),
               1);
  return allowed;
}

void Relay::SetRolloutGauges(const RolloutRecord& rollout) {
  std::string labels = Label("service", rollout.service) + "," +
                       Label("version", rollout.target_version);
  metrics_.Set("leverwick_rollout_step", labels,
               static_cast<double>(rollout.step));
  std::string subject =
      RegressionSubject(rollout.service, rollout.target_version);
  metrics_.Set("leverwick_rollout_suspicion", labels,
               guard_.NormalizedScore(subject));
  const TargetAnswers& seen = watch_.SeenOf(rollout.service);
  auto set = [&](const char* kind, uint64_t count) {
    metrics_.Set("leverwick_rollout_answers",
                 labels + "," + Label("seen", kind),
                 static_cast<double>(count));
  };
  set("answered", seen.answered);
  set("failed", seen.failed);
  set("broken", seen.broken);
  set("timed", seen.timed);
  set("slow", seen.slow);
}

void Relay::SetSpeedGauges() {
  EndpointSpeeds::Summary speeds = loads_.speeds()->Summarize(Clock::now());
  metrics_.Set("leverwick_pace_samples", "",
               static_cast<double>(speeds.samples));
  metrics_.Set("leverwick_endpoints_not_average", "",
               static_cast<double>(speeds.estimated));
  metrics_.Set("leverwick_endpoint_slowness", Label("endpoint", "fastest"),
               speeds.fastest);
  metrics_.Set("leverwick_endpoint_slowness", Label("endpoint", "slowest"),
               speeds.slowest);
}

std::string Relay::MetricsText() {
  auto version = config_ == nullptr ? 0 : config_->version();
  metrics_.Set("leverwick_config_version", "", static_cast<double>(version));
  metrics_.Set("leverwick_proof_age_seconds", "",
               static_cast<double>(ProofAge().count()) / 1000);
  metrics_.Set("leverwick_open_requests", "",
               static_cast<double>(open_.size()));
  metrics_.Set("leverwick_endpoints", "",
               static_cast<double>(directory_.size()));
  metrics_.Set("leverwick_idle_connections", "",
               static_cast<double>(connections_.idle()));
  metrics_.Set("leverwick_connections_opened_total", "",
               static_cast<double>(connections_.opened()));
  metrics_.Set("leverwick_log_lines_dropped_total", "",
               static_cast<double>(DroppedLogLines()));
  metrics_.Set("leverwick_log_request_share", "", sampler_.sample_rate());
  for (const auto& budget : budgets_) {
    metrics_.Set("leverwick_retry_budget", Label("service", budget.first),
                 budget.second->available());
  }
  for (const RolloutRecord& rollout : rollouts_.records()) {
    SetRolloutGauges(rollout);
  }
  SetSpeedGauges();
  state_gauges_();
  return metrics_.Text();
}

}  // namespace leverwick
