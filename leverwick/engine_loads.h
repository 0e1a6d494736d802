// How long a request would wait at each endpoint before its answer begins.
//
// A prompt is read where its shared parts are kept, unless that endpoint is
// busier than reading them again elsewhere would cost. What counts as busy is
// what the endpoint still has to read for this box and, as far as they tell,
// for the others, how long this box's prompts have waited already, and how much
// later than expected its last answers began. What other boxes do not tell
// shows in the latter two.
//
//   EngineLoads loads;
//   milliseconds wait = loads.ExpectedWait(endpoint, work, preferred, now);
//   uint64_t ticket = loads.Sent(endpoint, work, now);
//   loads.Began(ticket, now);   // its answer has begun
//   loads.Ended(ticket);        // or it ended in another way
//   loads.PeerSent(prompt, now);  // what another box tells

#ifndef LEVERWICK_ENGINE_LOADS_H_
#define LEVERWICK_ENGINE_LOADS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "leverwick/peer_prompts.h"
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
  // Hears of this box's prompts, to tell other boxes.
  class Observer {
   public:
    virtual ~Observer() = default;
    // `life` is left to the observer.
    virtual void OnSent(const SentPrompt& prompt) = 0;
    virtual void OnRead(uint64_t ticket) = 0;
  };
  // Null: nobody. The observer must outlive its place.
  void Observe(Observer* observer) { observer_ = observer; }

  // The time until the answer would begin. `preferred`: the endpoint that
  // other boxes, too, choose for these parts when nothing else tells.
  Seconds ExpectedWait(const std::string& endpoint, const EngineWork& work,
                       bool preferred, TimePoint now) const;

  // The time until an answer begins: for reading its own prompt, and for what
  // others hold up there.
  Seconds OwnBegin(const std::string& endpoint, const EngineWork& work,
                   TimePoint now) const;
  Seconds HeldUpAt(const std::string& endpoint, TimePoint now) const {
    return ReadingAt(endpoint) + DelayAt(endpoint, now);
  }

  uint64_t Sent(const std::string& endpoint, const EngineWork& work,
                TimePoint now);
  // How long the endpoint is expected to read the prompt of a ticket.
  Seconds ReadingOf(uint64_t ticket) const;
  void Began(uint64_t ticket, TimePoint now);
  void Ended(uint64_t ticket);
  // The endpoint could not be reached or broke off before it answered.
  void Failed(uint64_t ticket, const std::string& data_centre, TimePoint now);
  // The endpoint has started again: it has read no prompt, and how late its
  // answers were says nothing any more.
  void Restarted(const std::string& endpoint);
  // It answered, so its data centre can be reached.
  void Reached(const std::string& data_centre);
  // The wait to add for a data centre that could not be reached lately.
  Seconds CutOffWait(const std::string& data_centre, TimePoint now) const;

  // Another box has sent a prompt; its parts are kept there from now on.
  void PeerSent(const SentPrompt& prompt, TimePoint now);
  // That prompt has been read, or given up.
  void PeerRead(uint32_t life, uint64_t ticket) {
    peer_prompts_.RecordPrefillDone(life, ticket);
  }

  // Forgets parts that have not been used for long, and idle endpoints.
  void Expire(TimePoint now);

 private:
  struct Pending {
    std::string endpoint;
    std::string kind;
    double unread = 0;    // tokens
    double expected = 0;  // seconds until the answer begins
    double reading = 0;   // seconds of those spent on reading
    TimePoint sent{};
    bool told = false;  // to the observer
  };
  struct Endpoint {
    // When each part was last sent here, by model and part.
    std::unordered_map<uint64_t, TimePoint> parts;
    std::map<uint64_t, TimePoint> waiting;  // tickets, by when they were sent
    double reading = 0;                     // seconds, of those
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
  // How much later than expected answers begin there now.
  Seconds DelayAt(const std::string& endpoint, TimePoint now) const;
  // What the endpoint still has to read, for all boxes that tell.
  Seconds ReadingAt(const std::string& endpoint) const;
  void Learn(const Pending& pending, double took);
  // Remembers that the parts are kept there, and tells the observer.
  void Keep(uint64_t ticket, const EngineWork& work, TimePoint now);

  std::unordered_map<std::string, Endpoint> endpoints_;
  std::unordered_map<std::string, Pace> paces_;
  std::map<std::string, Failures> failures_;  // by data centre
  std::unordered_map<uint64_t, Pending> pending_;
  PeerPrompts peer_prompts_;
  Observer* observer_ = nullptr;
  uint64_t last_ticket_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_ENGINE_LOADS_H_
