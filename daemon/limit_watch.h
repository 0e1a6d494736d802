// The limits that endpoints name, as a box hears of them, and the requests that
// wait for room within them.
//
// Hears them in the answers of endpoints and in the notes of other boxes, tells
// lines and metrics of them, and keeps to them by SendPermits. A request that
// only limits keep from all endpoints waits here for the answer to an ask.
//
//   LimitWatch watch(self, &directory, &metrics);
//   watch.Answered(endpoint, answer, sent_at, now);
//   watch.Wait([] { ... });  // called when there is news of a permit
//   watch.Expire(now);

#ifndef DAEMON_LIMIT_WATCH_H_
#define DAEMON_LIMIT_WATCH_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "daemon/dialect.h"
#include "daemon/endpoint_directory.h"
#include "leverwick/endpoint_limits.h"
#include "leverwick/send_permits.h"
#include "net/metrics.h"

namespace leverwick {

// What another box, or this one, has heard of an endpoint.
struct LimitNews {
  std::string endpoint;
  std::optional<double> per_second;  // unset: it names no limit any more
  // When the answer that named it came, or when the request was sent whose
  // answer did not.
  TimePoint at{};
};

// Not thread-safe.
class LimitWatch {
 public:
  LimitWatch(BoxLocation self, const EndpointDirectory* directory,
             Metrics* metrics);

  // An endpoint has answered a request that was sent to it at `sent_at`.
  void Answered(const std::string& endpoint, const AnswerHead& answer,
                TimePoint sent_at, TimePoint now);
  // The endpoint has started again under its id.
  void Restarted(const std::string& endpoint, TimePoint now);
  // Another box tells.
  void Heard(const LimitNews& news, TimePoint now);
  // Called with what this box's own answers have begun or ended.
  void OnNews(std::function<void(const LimitNews&)> callback) {
    on_news_ = std::move(callback);
  }

  const EndpointLimits& limits() const { return limits_; }
  SendPermits* permits() { return &permits_; }
  const SendPermits* permits() const { return &permits_; }

  // `retry` is called once, when an ask was answered or given up.
  void Wait(std::function<void()> retry);
  void WakeAll();

  // Gives up what was lost, forgets endpoints that are no longer listed.
  void Expire(TimePoint now);

  // An endpoint's limit, how long ago it was named and what this box has sent
  // there lately, for lines; "none" without a limit.
  std::string Describe(const std::string& endpoint, TimePoint now) const;
  // The same of some of a service's endpoints.
  std::string DescribeService(const std::string& service, TimePoint now) const;

 private:
  using Change = EndpointLimits::Change;
  Change Apply(const LimitNews& news);
  // A line on what changed; `source`: who said so.
  void Tell(const LimitNews& news, Change change, const char* source,
            TimePoint now);

  EndpointLimits limits_;
  SendPermits permits_;
  const EndpointDirectory* const directory_;
  Metrics* const metrics_;
  std::function<void(const LimitNews&)> on_news_ = [](const LimitNews&) {};
  std::vector<std::function<void()>> waiting_;
  TimePoint told_at_{};  // the last line on a limit that only changed
};

}  // namespace leverwick

#endif  // DAEMON_LIMIT_WATCH_H_
