#include "daemon/limit_watch.h"

#include <cstdio>
#include <random>
#include <utility>

#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("limits");

// Between two lines on limits that only changed: an endpoint may name another
// one in each answer.
constexpr milliseconds kLinePause{1000};
// Endpoints whose limits one line names.
constexpr size_t kMostDescribed = 3;

std::string RateText(double per_second) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3g/s", per_second);
  return text;
}

}  // namespace

LimitWatch::LimitWatch(BoxLocation self, const EndpointDirectory* directory,
                       Metrics* metrics)
    : permits_(std::move(self), &limits_, std::random_device{}()),
      directory_(directory),
      metrics_(metrics) {}

void LimitWatch::Answered(const std::string& endpoint, const AnswerHead& answer,
                          TimePoint sent_at, TimePoint now) {
  if (answer.limit_unreadable) {
    metrics_->Add("leverwick_unreadable_limits_total", "", 1);
    // What can't be read neither sets a limit nor ends one.
    if (!answer.most_per_second) return;
  }
  // A refusal or failure may come from before the endpoint's own code, which
  // would have named the limit.
  if (!answer.most_per_second && !answer.succeeded()) return;
  LimitNews news{endpoint, answer.most_per_second,
                 answer.most_per_second ? now : sent_at};
  Change change = Apply(news);
  Tell(news, change, "answer", now);
  if (change == Change::kAdded || change == Change::kRemoved) on_news_(news);
}

void LimitWatch::Restarted(const std::string& endpoint, TimePoint now) {
  Change change = limits_.RecordRestart(endpoint, now);
  Tell({endpoint, std::nullopt, now}, change, "restart", now);
}

void LimitWatch::Heard(const LimitNews& news, TimePoint now) {
  Tell(news, Apply(news), "box", now);
}

LimitWatch::Change LimitWatch::Apply(const LimitNews& news) {
  if (!news.per_second) return limits_.RecordNoLimit(news.endpoint, news.at);
  return limits_.RecordLimit(news.endpoint, *news.per_second, news.at);
}

void LimitWatch::Tell(const LimitNews& news, Change change, const char* source,
                      TimePoint now) {
  if (change == Change::kNone) return;
  metrics_->Set("leverwick_named_limits", "",
                static_cast<double>(limits_.size()));
  if (change == Change::kUpdated) {
    if (now - told_at_ < kLinePause) return;
    told_at_ = now;
  }
  kLog.Info(change == Change::kRemoved ? "An endpoint names no limit any more."
                                       : "An endpoint names a limit.",
            {{"endpoint", news.endpoint},
             {"limit", news.per_second ? RateText(*news.per_second) : "none"},
             {"told_by", source}});
}

void LimitWatch::Wait(std::function<void()> retry) {
  waiting_.push_back(std::move(retry));
}

void LimitWatch::WakeAll() {
  // Whoever finds no room again waits for the next news.
  std::vector<std::function<void()>> waiting;
  waiting.swap(waiting_);
  for (const auto& retry : waiting) retry();
}

void LimitWatch::Expire(TimePoint now) {
  for (const std::string& endpoint : limits_.endpoints()) {
    if (directory_->Find(endpoint) == nullptr) limits_.Forget(endpoint);
  }
  limits_.Expire(now);
  permits_.Expire(now);
  WakeAll();
}

std::string LimitWatch::Describe(const std::string& endpoint,
                                 TimePoint now) const {
  const ReportedLimit* limit = limits_.Find(endpoint);
  if (limit == nullptr) return "none";
  auto age = std::chrono::duration_cast<milliseconds>(now - limit->reported_at)
                 .count();
  return RateText(limit->requests_per_second) + ",named_" +
         std::to_string(age) + "ms_ago,sent_" +
         std::to_string(permits_.CountRecentSends(endpoint, now));
}

std::string LimitWatch::DescribeService(const std::string& service,
                                        TimePoint now) const {
  std::string text;
  size_t described = 0;
  for (const std::string& endpoint : limits_.endpoints()) {
    const DirectoryEntry* entry = directory_->Find(endpoint);
    if (entry == nullptr || entry->service != service) continue;
    if (++described > kMostDescribed) return text + ";...";
    text +=
        (text.empty() ? "" : ";") + endpoint + "=" + Describe(endpoint, now);
  }
  return text.empty() ? "none" : text;
}

}  // namespace leverwick
