// Takes and renews the lease of the duties that one box at a time may carry
// out, through a topic of the store in which all boxes write.
//
// The decisions are DutyLease's. All boxes follow the topic, so that each
// knows the holder; only the holder writes, and whoever takes over from it.
//
//   DutyHolder duties(&loop, &log, {"box-a1", life, address}, options, topic,
//                     &metrics);
//   duties.Start();
//   duties.Tick(now);  // a few times a second
//   std::optional<uint64_t> token = duties.token();  // nullopt: not the holder

#ifndef DAEMON_DUTY_HOLDER_H_
#define DAEMON_DUTY_HOLDER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <vector>

#include "daemon/topic_follower.h"
#include "leverwick/duty_lease.h"
#include "leverwick/keyed_log.h"
#include "leverwick/staggered_start.h"
#include "net/metrics.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class DutyHolder : private TopicFollower::Listener {
 public:
  DutyHolder(boost::asio::io_context* loop, KeyedLog* log,
             const LeaseCandidate& self, const LeaseOptions& options,
             std::string topic, Metrics* metrics);

  void Start();
  void Tick(TimePoint now);
  // The names of all boxes but this one.
  void SetBoxes(std::vector<std::string> others);
  // Leaves the duties to another box for `absence`.
  void Release(nanoseconds absence);

  // The fencing token, if a call that starts now ends while this box holds the
  // lease.
  std::optional<uint64_t> token() const { return lease_.TokenAt(Clock::now()); }
  // The record of whoever holds the lease, as far as is known.
  const std::optional<LeaseRecord>& holder() const { return newest_; }

  const std::string& topic() const { return topic_; }
  LogCache* cache() { return follower_.cache(); }

 private:
  // TopicFollower::Listener.
  void OnSnapshot(const std::vector<KeyedRecord>& records) override;
  void OnRecord(const KeyedRecord& record) override;
  void OnRead(TimePoint as_of) override;
  void OnReadFailed(std::error_code error) override {
    lease_.RecordReadFailure();
  }

  void Append(const LeaseAppend& append);
  void OnAppended(const LeaseAppend& append, std::error_code error);
  void TellChange(bool holds);

  KeyedLog* const log_;
  const std::string topic_;
  Metrics* const metrics_;
  DutyLease lease_;
  StaggeredStart turns_;
  TopicFollower follower_;
  std::mt19937_64 random_;
  std::optional<LeaseRecord> newest_;
  double turn_draw_ = 0;
  nanoseconds turn_delay_{0};  // until this box's turn to take the lease over
  bool held_ = false;          // when it was told last
};

}  // namespace leverwick

#endif  // DAEMON_DUTY_HOLDER_H_
