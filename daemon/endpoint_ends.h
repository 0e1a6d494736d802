// Notices that an endpoint has ended, and which requests had begun there
// shortly before.
//
// When the process of an endpoint ends, all its connections break within a few
// milliseconds, and new ones are refused. One that breaks alone was reset, cut
// off or closed by the endpoint, which lives on. So after a break this waits a
// moment and looks whether other calls to the endpoint, or connections at rest,
// are still open. If none is, it asks for a new connection: only where that is
// refused may the endpoint have ended. A box that has lost its own path sees
// the same, so an end counts only while a neighbour accepts a connection.
// An endpoint that has said that it leaves, that is not listed any more, or
// whose version a roll-out has left, ends as planned and is nobody's fault.
//
//   EndpointEnds ends(&loop, &directory, &rollouts, &connections);
//   ends.OnEnded([](const EndpointEnd& end) {...});
//   uint64_t run = ends.runs()->RecordStart(...);
//   ends.Broke(endpoint, now);    // a call ended before its answer was whole
//   ends.Refused(endpoint, now);  // no connection was taken

#ifndef DAEMON_ENDPOINT_ENDS_H_
#define DAEMON_ENDPOINT_ENDS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "daemon/endpoint_directory.h"
#include "leverwick/recent_runs.h"
#include "leverwick/service_rollouts.h"
#include "net/async_http_client.h"

namespace leverwick {

struct EndpointEnd {
  std::string endpoint;
  TimePoint at{};
  std::vector<EndpointRun> under;  // runs that it may be due to
};

// Belongs to the thread that runs its event loop.
class EndpointEnds {
 public:
  using Callback = std::function<void(const EndpointEnd&)>;

  // The directory, the roll-outs and the connections must outlive this.
  EndpointEnds(boost::asio::io_context* loop,
               const EndpointDirectory* directory,
               const ServiceRollouts* rollouts, HttpConnections* connections);

  void OnEnded(Callback callback) { on_ended_ = std::move(callback); }

  RecentRuns* runs() { return &runs_; }
  const RecentRuns& runs() const { return runs_; }

  // The endpoint ended a call's connection; the call's run has ended.
  void Broke(const std::string& endpoint, TimePoint now);
  // A whole answer ended with its connection, as one without a length does.
  // That is how connections of an ended endpoint look, too.
  void EndedWithConnection(const std::string& endpoint, TimePoint now);
  // The endpoint's address takes no connection; the call has ended.
  void Refused(const std::string& endpoint, TimePoint now);
  // Runs whose whole answers came and whose endpoints live on.
  std::vector<EndpointRun> TakeSurvived(TimePoint now);
  // Another box says that the endpoint ended then. Calls of this box that are
  // still open there speak against it.
  void Told(const std::string& endpoint, TimePoint ended_at);

 private:
  // Whether a call that was sent before `at`, or a connection at rest, is open
  // there.
  bool IsAlive(const std::string& endpoint, TimePoint at) const;
  // Whether an end would be one that nobody planned.
  bool IsUnplanned(const std::string& endpoint) const;
  // A connection at rest closes: an endpoint may end after a whole answer.
  void RestClosed(const std::string& address);
  // Looks when the other connections have had time to break; so many times
  // while some are open.
  void LookSoon(const std::string& endpoint, TimePoint broke_at, int looks);
  void Look(const std::string& endpoint, TimePoint broke_at, int looks);
  // Asks for a connection.
  void Probe(const std::string& endpoint, TimePoint broke_at);
  // Asks for a connection if nothing else shows whether the endpoint lives on.
  void CheckAlive(const std::string& endpoint, TimePoint ended_at);
  // Calls back once whether a neighbour of the endpoint accepts a connection;
  // true if it has none.
  void CheckPath(const std::string& endpoint,
                 std::function<void(bool is_open)> callback);
  // An end that this box has seen itself.
  void TellIfPathIsOpen(const std::string& endpoint, TimePoint at,
                        std::vector<EndpointRun> under);
  void Tell(const std::string& endpoint, TimePoint at,
            std::vector<EndpointRun> under);

  boost::asio::io_context* const loop_;
  const EndpointDirectory* const directory_;
  const ServiceRollouts* const rollouts_;
  HttpConnections* const connections_;
  RecentRuns runs_;
  std::map<std::string, TimePoint> suspected_;  // when a connection broke
  std::set<std::string> checked_;               // for which CheckAlive is due
  // When an endpoint last accepted a connection of CheckAlive.
  std::map<std::string, TimePoint> accepted_;
  std::mt19937 random_;
  Callback on_ended_ = [](const EndpointEnd&) {};
};

}  // namespace leverwick

#endif  // DAEMON_ENDPOINT_ENDS_H_
