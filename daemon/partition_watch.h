// Watches whether this box is partitioned from the endpoints of a service, and
// opens test connections while it is.
//
//   PartitionWatch watch(&loop, &pool, &directory, &reach, &connections,
//                        &metrics);
//   watch.ConnectFailed(service, endpoint, error);
//   watch.ClosedUnanswered(service, endpoint);
//   watch.Accepted(service);
//   watch.Contacted(service);
//   if (watch.IsPartitioned(service)) ...
//   watch.Tick(now);  // a few times a second

#ifndef DAEMON_PARTITION_WATCH_H_
#define DAEMON_PARTITION_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <random>
#include <string>
#include <system_error>

#include "daemon/endpoint_directory.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/partition_detector.h"
#include "leverwick/reachability.h"
#include "net/async_http_client.h"
#include "net/metrics.h"

namespace leverwick {

// Belongs to the thread that runs its event loop.
class PartitionWatch {
 public:
  // The objects passed in must outlive the watch.
  PartitionWatch(boost::asio::io_context* loop, EndpointPool* pool,
                 const EndpointDirectory* directory, Reachability* reach,
                 HttpConnections* connections, Metrics* metrics);

  // Called when a request to the endpoint failed before a byte was sent.
  void ConnectFailed(const std::string& service, const std::string& endpoint,
                     std::error_code error);
  // Called when a new connection to the endpoint was closed before any
  // response.
  void ClosedUnanswered(const std::string& service,
                        const std::string& endpoint);
  // Called when an endpoint of the service accepted a connection.
  void Accepted(const std::string& service);
  // Called when an endpoint of the service responded, or a connection to it
  // stayed open.
  void Contacted(const std::string& service);

  bool IsPartitioned(const std::string& service) const {
    return detector_.IsPartitioned(service);
  }
  // Whether a request may be sent to an endpoint during a partition
  // (leverwick/partition_detector.h).
  bool TakeTrial(const std::string& service);

  // Opens the test connections that are due.
  void Tick(TimePoint now);

 private:
  void Record(const std::string& service, const std::string& endpoint,
              PartitionDetector::Failure failure);
  void Changed(const std::string& service, bool is_partitioned,
               TimePoint since);
  void OpenDueProbes(TimePoint now);
  void Open(PartitionProbe probe, TimePoint now);
  void OpenTo(const std::string& service, const DirectoryEntry& endpoint);

  boost::asio::io_context* const loop_;
  EndpointPool* const pool_;
  const EndpointDirectory* const directory_;
  Reachability* const reach_;
  HttpConnections* const connections_;
  Metrics* const metrics_;
  PartitionDetector detector_;
  std::mt19937_64 random_;
};

}  // namespace leverwick

#endif  // DAEMON_PARTITION_WATCH_H_
