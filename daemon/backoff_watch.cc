#include "daemon/backoff_watch.h"

#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("backoffs");

// Endpoints whose back-offs one line names.
constexpr size_t kMostDescribed = 3;

std::string MillisecondsText(nanoseconds time) {
  auto whole = std::chrono::duration_cast<milliseconds>(time);
  return std::to_string(whole.count());
}

}  // namespace

void BackoffWatch::Answered(const std::string& endpoint,
                            const AnswerHead& answer, TimePoint now) {
  if (answer.retry_after_unreadable) {
    metrics_->Add("leverwick_unreadable_backoffs_total", "", 1);
  }
  if (!answer.retry_after) return;
  metrics_->Add("leverwick_backoffs_asked_total", "", 1);
  if (!backoffs_.RecordBackoff(endpoint, *answer.retry_after, now)) return;
  metrics_->Set("leverwick_backoffs", "",
                static_cast<double>(backoffs_.size()));
  const Backoff* backoff = backoffs_.Find(endpoint);
  kLog.Info("An endpoint asks for a back-off.",
            {{"endpoint", endpoint},
             {"request", answer.request_id},
             {"status", std::to_string(answer.status)},
             {"asked_ms", MillisecondsText(backoff->requested_duration)},
             {"kept_ms", MillisecondsText(backoff->until - now)}});
}

void BackoffWatch::Expire(TimePoint now) {
  for (const EndedBackoff& ended : backoffs_.Expire(now)) {
    kLog.Info(
        "A back-off is over.",
        {{"endpoint", ended.endpoint},
         {"asked_ms", MillisecondsText(ended.backoff.requested_duration)},
         {"sent", std::to_string(ended.backoff.sends)},
         {"sent_after_end", std::to_string(ended.backoff.sends_after_end)}});
  }
  metrics_->Set("leverwick_backoffs", "",
                static_cast<double>(backoffs_.size()));
}

std::string BackoffWatch::Describe(const std::string& endpoint,
                                   TimePoint now) const {
  const Backoff* backoff = backoffs_.Find(endpoint);
  if (backoff == nullptr) return "none";
  return MillisecondsText(backoff->requested_duration) + "ms,asked_" +
         MillisecondsText(now - backoff->requested_at) + "ms_ago,sent_" +
         std::to_string(backoff->sends);
}

std::string BackoffWatch::DescribeService(const std::string& service,
                                          TimePoint now) const {
  std::string text;
  size_t described = 0;
  for (const std::string& endpoint : backoffs_.endpoints()) {
    const DirectoryEntry* entry = directory_->Find(endpoint);
    if (entry == nullptr || entry->service != service) continue;
    if (++described > kMostDescribed) return text + ";...";
    text +=
        (text.empty() ? "" : ";") + endpoint + "=" + Describe(endpoint, now);
  }
  return text.empty() ? "none" : text;
}

}  // namespace leverwick
