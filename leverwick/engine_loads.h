// How long a request would wait at each endpoint before its answer begins.
//
// A prompt is read where its shared parts are kept, unless that endpoint is
// busier than reading them again elsewhere would cost. What counts as busy is
// what this box sees itself, exactly and at once: prompt tokens that its own
// requests have yet to get read there, how long those have waited already, and
// how much later than expected its last answers began. Other boxes' requests
// show in the latter two.
//
//   EngineLoads loads;
//   milliseconds wait = loads.ExpectedWait(endpoint, work, preferred, now);
//   uint64_t ticket = loads.Sent(endpoint, work, now);
//   loads.Began(ticket, now);   // its answer has begun
//   loads.Ended(ticket);        // or it ended in another way

#ifndef LEVERWICK_ENGINE_LOADS_H_
#define LEVERWICK_ENGINE_LOADS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "leverwick/prompt.h"
#include "leverwick/time.h"

namespace leverwick {

// What is asked of an endpoint.
struct EngineWork {
  std::string kind;  // route and model: answers of a kind begin alike
  std::string model;
  const Prompt* prompt = nullptr;
};

// Not thread-safe.
class EngineLoads {
 public:
  // The time until the answer would begin. `preferred`: the endpoint that
  // other boxes, too, choose for these parts when nothing else tells.
  Seconds ExpectedWait(const std::string& endpoint, const EngineWork& work,
                       bool preferred, TimePoint now) const;

  uint64_t Sent(const std::string& endpoint, const EngineWork& work,
                TimePoint now);
  void Began(uint64_t ticket, TimePoint now);
  void Ended(uint64_t ticket);
  // The endpoint could not be reached or broke off before it answered.
  void Failed(uint64_t ticket, const std::string& data_centre, TimePoint now);
  // It answered, so its data centre can be reached.
  void Reached(const std::string& data_centre);
  // The wait to add for a data centre that could not be reached lately.
  Seconds CutOffWait(const std::string& data_centre, TimePoint now) const;

  // Forgets parts that have not been used for long, and idle endpoints.
  void Expire(TimePoint now);

 private:
  struct Pending {
    std::string endpoint;
    std::string kind;
    double unread = 0;    // tokens
    double expected = 0;  // seconds until the answer begins
    TimePoint sent{};
  };
  struct Endpoint {
    // When each part was last sent here, by model and part.
    std::unordered_map<uint64_t, TimePoint> parts;
    std::map<uint64_t, TimePoint> waiting;  // tickets, by when they were sent
    double unread = 0;                      // tokens of those
    double delay = 0;  // seconds beyond expectation, fading
    TimePoint delay_at{};
  };
  // How fast answers of a kind begin where nothing delays them.
  struct Pace {
    double seconds = 0.03;            // beside the reading
    double seconds_per_token = 5e-5;  // of reading
  };
  // Endpoints of one data centre that failed since one of it last answered.
  struct Failures {
    std::set<std::string> endpoints;
    TimePoint last{};
  };

  // Tokens of the prompt that the endpoint would have to read.
  double UnreadTokens(const std::string& endpoint, const EngineWork& work,
                      bool preferred, TimePoint now) const;
  static double Delay(const Endpoint& endpoint, TimePoint now);
  const Pace& PaceOf(const std::string& kind) const;
  void Learn(const Pending& pending, double took);

  std::unordered_map<std::string, Endpoint> endpoints_;
  std::unordered_map<std::string, Pace> paces_;
  std::map<std::string, Failures> failures_;  // by data centre
  std::unordered_map<uint64_t, Pending> pending_;
  uint64_t last_ticket_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENGINE_LOADS_H_
