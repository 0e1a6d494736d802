// Tells other boxes which requests endpoints have ended under here, and hears
// theirs, through a topic of the store in which each box keeps one record.
//
// What is found is written at once, and again at most a few times a second; it
// reaches all others that are in touch with the store, also those that start
// later. While nothing ends by itself nothing is written.
//
//   PoisonExchange exchange(&loop, &log, {&requests, &parts, &ends}, "box-a1",
//                           topic);
//   exchange.Start();
//   exchange.Tick(now);

#ifndef DAEMON_POISON_EXCHANGE_H_
#define DAEMON_POISON_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <system_error>
#include <vector>

#include "daemon/endpoint_ends.h"
#include "daemon/topic_follower.h"
#include "leverwick/keyed_log.h"
#include "leverwick/poison_parts.h"
#include "leverwick/poison_requests.h"

namespace leverwick {

// What is told and heard; must outlive the exchange.
struct PoisonFindings {
  PoisonRequests* requests = nullptr;
  PoisonParts* parts = nullptr;
  EndpointEnds* ends = nullptr;
};

// Belongs to the thread that runs its event loop.
class PoisonExchange : private TopicFollower::Listener {
 public:
  PoisonExchange(boost::asio::io_context* loop, KeyedLog* log,
                 PoisonFindings findings, std::string box, std::string topic);

  void Start() { follower_.Start(); }
  // Writes what is due; called a few times a second and after each end.
  void Tick(TimePoint now);

  const std::string& topic() const { return topic_; }
  LogCache* cache() { return follower_.cache(); }

 private:
  // TopicFollower::Listener.
  void OnSnapshot(const std::vector<KeyedRecord>& records) override;
  void OnRecord(const KeyedRecord& record) override;
  void OnRead(TimePoint as_of) override { heard_at_ = as_of; }
  // What is known stays; SetConnectedToPeers follows from the time.
  void OnReadFailed(std::error_code error) override {}

  // `is_fresh`: the record was written just now, not some time ago.
  void Learn(const KeyedRecord& record, bool is_fresh);
  void Write(TimePoint now);
  void OnWritten(std::error_code error);

  KeyedLog* const log_;
  const PoisonFindings findings_;
  const std::string box_;
  const std::string topic_;
  TopicFollower follower_;
  TimePoint heard_at_{};
  TimePoint write_after_{};
  bool due_ = false;
  bool writing_ = false;
};

}  // namespace leverwick

#endif  // DAEMON_POISON_EXCHANGE_H_
