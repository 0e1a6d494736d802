// PartitionDetector tells whether this box is partitioned from the endpoints of
// a service.
//
// An endpoint that accepts no connection has usually ended. If several
// endpoints of a service fail in a row and none of them is contacted in
// between, this box may have lost its own path to them, and it opens test
// connections to others. If these fail as well it counts as partitioned:
// requests should take another way, and test connections go on. Refusals are
// also what endpoints that have ended together cause, so where test connections
// are refused a second, larger round has to fail too. However many
// requests fail meanwhile, it does not count as partitioned before the test
// connections have ended. The partition is over after several contacts within a
// short time; one that returns soon after its end needs more of them.
//
// Something on the way may accept connections in the name of the endpoints and
// then close them. Once a connection was closed unanswered, accepted ones are
// no contact any more until an endpoint has responded.
//
//   PartitionDetector detector;
//   detector.RecordConnectFailure(service, endpoint, error_kind, listed, now);
//   for (const PartitionProbe& probe : detector.TakeDueProbes(now)) {
//     detector.RecordProbeBegin(service, endpoint);  // for each one opened
//   }
//   detector.RecordProbeEnd(service, endpoint);  // then how it has ended:
//   detector.RecordAccept(service, now);
//   detector.RecordContact(service, now);
//   if (detector.IsPartitioned(service)) ...  // forward the request

#ifndef LEVERWICK_PARTITION_DETECTOR_H_
#define LEVERWICK_PARTITION_DETECTOR_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// Test connections that are to be opened, each to a different endpoint.
struct PartitionProbe {
  std::string service;
  size_t count = 0;
  std::set<std::string> excluded;  // endpoints that failed lately
};

// Not thread-safe.
class PartitionDetector {
 public:
  // kClosed: the connection was accepted and closed before any response.
  enum class Failure { kRefused, kTimedOut, kClosed };

  // Called when a partition begins or ends; `since` is when it began.
  using ChangeCallback = std::function<void(
      const std::string& service, bool is_partitioned, TimePoint since)>;

  // Time between two rounds of test connections, and until the next one after
  // a contact, if it is needed.
  static constexpr milliseconds kProbeInterval{500};
  static constexpr milliseconds kConfirmInterval{100};
  // Time between two requests that may be sent to an endpoint during a
  // partition because no other box accepts them.
  static constexpr milliseconds kTrialInterval{200};

  void SetChangeCallback(ChangeCallback callback) {
    on_change_ = std::move(callback);
  }

  // Records that a connection to the endpoint has failed. `listed` is the
  // number of the service's endpoints that may be contacted.
  void RecordConnectFailure(const std::string& service,
                            const std::string& endpoint, Failure failure,
                            size_t listed, TimePoint now);
  // Records that a test connection to the endpoint was begun.
  void RecordProbeBegin(const std::string& service,
                        const std::string& endpoint);
  // Records that it has ended, before the failure or contact that it ended
  // with is recorded. One that tells nothing of the path is recorded as ended
  // only.
  void RecordProbeEnd(const std::string& service, const std::string& endpoint);
  // Records that a connection to an endpoint of the service was accepted.
  // Returns whether that counts as a contact.
  bool RecordAccept(const std::string& service, TimePoint now);
  // Records that an endpoint of the service responded, or that a connection to
  // it stayed open.
  void RecordContact(const std::string& service, TimePoint now);

  bool IsPartitioned(const std::string& service) const;
  size_t partitioned_count() const;

  // Returns the test connections that are due, and counts them as opened.
  std::vector<PartitionProbe> TakeDueProbes(TimePoint now);
  // Returns whether a request may be sent to an endpoint during a partition. If
  // it may, the next one has to wait for kTrialInterval. None may while
  // connections time out, since its caller would wait in vain.
  bool TakeTrial(const std::string& service, TimePoint now);

  // Removes services without recent failures. A partitioned service is kept.
  void Expire(TimePoint now);
  // Removes a service that has no endpoints any more.
  void Discard(const std::string& service);

  size_t size() const { return services_.size(); }

 private:
  struct Service {
    // Distinct endpoints and failures since the last contact.
    std::set<std::string> failed_endpoints;
    size_t failures = 0;
    Failure last_kind = Failure::kRefused;
    bool any_closed = false;  // since the last contact
    TimePoint last_failure{};
    bool is_partitioned = false;
    TimePoint since{};
    bool was_partitioned = false;
    TimePoint ended_at{};
    int contacts = 0;  // during the partition, since contacts_since
    TimePoint contacts_since{};
    int required_contacts = 0;
    bool is_suspect = false;  // test connections are due
    // Rounds of test connections since the last contact.
    bool is_tested = false;
    bool is_second_round_due = false;
    bool is_tested_twice = false;
    std::multiset<std::string> probed_endpoints;  // test connections under way
    TimePoint next_probe{};
    TimePoint next_trial{};
  };

  // Whether test connections may still show that the endpoints are reachable.
  static bool AwaitsProbes(const Service& service, TimePoint now);
  static bool NeedsSecondRound(const Service& service, size_t listed);
  void Begin(const std::string& name, Service* service, TimePoint now);
  void End(const std::string& name, Service* service, TimePoint now);

  std::map<std::string, Service> services_;
  ChangeCallback on_change_ = [](const std::string&, bool, TimePoint) {};
};

}  // namespace leverwick

#endif  // LEVERWICK_PARTITION_DETECTOR_H_
