// Simulates boxes that choose endpoints of different speeds for prompts.
//
// Each request has a prompt whose parts are shared with others, comes to a
// random box, and goes where EngineLoads expects its response soonest. An
// endpoint reads prompts one after the other, and then makes the events of each
// stream at its own pace. Boxes tell a number of others what they send and
// measure; notes arrive late. Time is simulated, and the seed determines a run.
//
//   SpeedsSimulation simulation(scenario, seed);
//   SpeedsResult result = simulation.Run();

#ifndef LEVERWICK_TESTING_SPEEDS_SIMULATION_H_
#define LEVERWICK_TESTING_SPEEDS_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "leverwick/digest.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/engine_loads.h"
#include "leverwick/gossip_fanout.h"

namespace leverwick {

struct SpeedsScenario {
  size_t boxes = 67;
  size_t endpoints = 60;
  std::vector<double> speeds = {0.6, 1, 1.6};  // of a third each
  bool measures = true;  // the boxes record the pace of streams
  // Of all endpoints' time at speed 1 that reading every prompt whole takes.
  double load = 0.55;
  Seconds duration{16};
  // Boxes whose samples say the opposite, and the delay of their notes.
  size_t wrong_boxes = 0;
  Seconds note_delay{0.015};
  // From the middle on, the first endpoint works at this speed; 0: no change.
  double later_speed = 0;
  bool restarts = false;  // the first endpoint does, in the middle
};

// Of the requests that come after the first half.
struct SpeedsResult {
  size_t requests = 0;
  size_t late = 0;         // the first event, or the last
  double busiest = 0;      // time worked at the busiest endpoint, by the mean
  double tokens_read = 0;  // a request
  double first_share = 0;  // of the first endpoint in the sends, by the mean,
                           // in the last quarter
};

class SpeedsSimulation {
 public:
  SpeedsSimulation(const SpeedsScenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed) {
    std::vector<ListedEndpoint> listed;
    for (size_t i = 0; i < scenario.endpoints; ++i) {
      ListedEndpoint endpoint;
      endpoint.address = "endpoint-" + std::to_string(i);
      endpoint.target = "chat";
      endpoint.max_in_flight = 32;
      listed.push_back(endpoint);
      Engine& engine = engines_[endpoint.address];
      engine.speed = scenario.speeds[i % scenario.speeds.size()];
    }
    pool_.SetListed(listed, now_);
    for (size_t i = 0; i < scenario.boxes; ++i) {
      boxes_.push_back(std::make_unique<Box>(this, i));
    }
  }

  SpeedsResult Run() {
    double per_second = scenario_.load *
                        static_cast<double>(scenario_.endpoints) /
                        (kSecondsPerToken * kPromptTokens);
    std::exponential_distribution<> gap(per_second);
    TimePoint middle = start_ + FromSeconds(scenario_.duration.count() / 2);
    At(middle, [this] { ChangeFirst(); });
    for (Seconds at{0}; at < scenario_.duration; at += Seconds(gap(random_))) {
      At(start_ + FromSeconds(at.count()), [this] { Arrive(); });
    }
    while (!events_.empty()) {
      auto event = events_.begin();
      now_ = event->first;
      auto act = std::move(event->second);
      events_.erase(event);
      act();
    }
    double all = 0;
    for (const auto& [address, engine] : engines_) {
      all += engine.worked;
      result_.busiest = std::max(result_.busiest, engine.worked);
    }
    auto count = static_cast<double>(scenario_.endpoints);
    result_.busiest *= count / all;
    result_.tokens_read /= static_cast<double>(result_.requests);
    result_.first_share = first_sends_ * count / late_sends_;
    return result_;
  }

 private:
  static constexpr double kSecondsPerToken = 5e-5;
  static constexpr double kSystemTokens = 500;
  static constexpr double kSubjectTokens = 4500;
  static constexpr double kOwnTokens = 1500;
  static constexpr double kPromptTokens =
      kSystemTokens + kSubjectTokens + kOwnTokens;
  static constexpr size_t kSubjects = 15;    // an endpoint
  static constexpr double kInterval = 0.04;  // of events, in seconds
  static constexpr double kEvents = 50;
  static constexpr Seconds kFirstEventObjective{2};
  static constexpr Seconds kPauseObjective{0.8};
  static constexpr Seconds kWholeObjective{8};
  static constexpr size_t kPacesPerSecond = 8;
  const TimePoint start_ = TimePoint() + std::chrono::hours(1);

  struct Box;

  struct Stream {
    Box* box = nullptr;
    uint64_t ticket = 0;
    TimePoint sent{};
    TimePoint last{};  // its last event, as far as known
    double noise = 1;  // of its pace
    bool counts = false;
    bool late = false;
  };

  struct Engine {
    double speed = 1;
    TimePoint free_at{};
    double worked = 0;  // seconds
    std::map<std::string, TimePoint> parts;
    std::set<std::shared_ptr<Stream>> streams;
  };

  struct Box : EngineLoads::Observer {
    Box(SpeedsSimulation* fleet, size_t number) : fleet(fleet), number(number) {
      loads.SetObserver(this);
      for (const auto& engine : fleet->engines_) {
        loads.speeds()->SetService(engine.first, "chat");
      }
    }
    uint32_t incarnation() const { return static_cast<uint32_t>(number + 1); }
    void OnRequestSent(const SentRequest& request) override {
      SentRequest told = request;
      told.incarnation = incarnation();
      fleet->Tell(number, [told](Box* box, TimePoint now) {
        box->loads.RecordPeerSend(told, now);
      });
    }
    void OnPrefillDone(uint64_t ticket) override {
      fleet->Tell(number, [life = incarnation(), ticket](Box* box, TimePoint) {
        box->loads.RecordPeerPrefill(life, ticket);
      });
    }
    void OnRequestEnded(uint64_t ticket) override {
      fleet->Tell(number,
                  [life = incarnation(), ticket](Box* box, TimePoint now) {
                    box->loads.RecordPeerEnd(life, ticket, now);
                  });
    }
    void OnPaceMeasured(const PaceSample& sample) override {
      if (fleet->now_ - second > std::chrono::seconds(1)) {
        second = fleet->now_;
        told = 0;
      }
      if (++told > kPacesPerSecond) return;
      PaceSample note = sample;
      note.incarnation = incarnation();
      if (number < fleet->scenario_.wrong_boxes) note.ratio = 1 / note.ratio;
      fleet->Tell(number, [note](Box* box, TimePoint now) {
        box->loads.speeds()->Record(note, now);
      });
    }

    SpeedsSimulation* const fleet;
    const size_t number;
    EngineLoads loads;
    TimePoint second{};
    size_t told = 0;
  };

  void At(TimePoint when, std::function<void()> act) {
    events_.emplace(when, std::move(act));
  }

  void Tell(size_t from, std::function<void(Box*, TimePoint)> note) {
    At(now_ + FromSeconds(scenario_.note_delay.count()), [=] {
      for (size_t i = 1; i <= GossipFanout(boxes_.size() - 1); ++i) {
        note(boxes_[(from + i) % boxes_.size()].get(), now_);
      }
    });
  }

  void ChangeFirst() {
    Engine& engine = engines_["endpoint-0"];
    if (scenario_.later_speed > 0) engine.speed = scenario_.later_speed;
    if (!scenario_.restarts) return;
    engine.parts.clear();
    for (auto& box : boxes_) box->loads.RecordRestart("endpoint-0");
  }

  void Arrive() {
    Box* box = boxes_[random_() % boxes_.size()].get();
    std::string subject =
        "s" + std::to_string(random_() % (kSubjects * engines_.size()));
    std::string own = "own" + std::to_string(++number_);
    std::lognormal_distribution<> own_tokens(std::log(kOwnTokens) - 0.5, 1);
    auto prompt = std::make_shared<Prompt>(
        Prompt{{"system", static_cast<int64_t>(kSystemTokens)},
               {subject, static_cast<int64_t>(kSubjectTokens)},
               {own, static_cast<int64_t>(own_tokens(random_))}});
    EngineWork work{"route/model", "model", prompt.get()};
    box->loads.Expire(now_);
    auto cost = [&](const ListedEndpoint& endpoint, bool preferred) {
      return box->loads.ExpectedWait(endpoint.address, work, preferred, now_)
          .count();
    };
    auto any = [](const ListedEndpoint&) { return true; };
    CapacitySpread spread;
    spread.request_hash = StableHash(own);
    spread.capacity = [&](const ListedEndpoint& endpoint) {
      return box->loads.RelativeCapacity(endpoint.address, now_);
    };
    std::string chosen = pool_
                             .PickCheapest("chat", StableHash(subject), {},
                                           now_, any, cost, {}, spread)
                             .address;
    uint64_t ticket = box->loads.RecordSend(
        chosen, work, {std::chrono::seconds(25), 32}, now_);
    Serve(box, chosen, ticket, *prompt);
  }

  void Serve(Box* box, const std::string& chosen, uint64_t ticket,
             const Prompt& prompt) {
    Engine& engine = engines_[chosen];
    double tokens = 0;
    for (const PromptPart& part : prompt) {
      auto read = engine.parts.find(part.id);
      bool cached = read != engine.parts.end() &&
                    now_ - read->second < std::chrono::seconds(20);
      if (!cached) tokens += static_cast<double>(part.tokens);
      engine.parts[part.id] = now_;
    }
    Seconds reading(tokens * kSecondsPerToken / engine.speed);
    auto stream = std::make_shared<Stream>();
    stream->box = box;
    stream->ticket = ticket;
    stream->sent = now_;
    stream->counts = now_ - start_ >= scenario_.duration / 2;
    TimePoint begun = std::max(now_, engine.free_at);
    engine.free_at = begun + FromSeconds(reading.count());
    At(begun, [=] { Stall(chosen, reading); });
    At(engine.free_at, [=] { Start(chosen, stream); });
    if (stream->counts) Count(chosen, tokens, reading);
  }

  // Reading a prompt holds up the streams that run there.
  void Stall(const std::string& chosen, Seconds reading) {
    for (const auto& stream : engines_[chosen].streams) {
      stream->last += FromSeconds(reading.count());
      if (reading > kPauseObjective) stream->late = true;
    }
  }

  void Start(const std::string& chosen, const std::shared_ptr<Stream>& stream) {
    Engine& engine = engines_[chosen];
    stream->noise = std::exp(std::normal_distribution<>(0, 0.2)(random_));
    stream->last =
        now_ + FromSeconds(kEvents * kInterval * stream->noise / engine.speed);
    if (now_ - stream->sent > kFirstEventObjective) stream->late = true;
    stream->box->loads.RecordResponseStart(stream->ticket, now_);
    engine.streams.insert(stream);
    At(stream->last, [=] { End(chosen, stream); });
    if (scenario_.measures) Measure(chosen, stream);
  }

  void Measure(const std::string& chosen,
               const std::shared_ptr<Stream>& stream) {
    At(now_ + std::chrono::seconds(1), [=] {
      Engine& engine = engines_[chosen];
      if (engine.streams.count(stream) == 0) return;
      Seconds interval(kInterval * stream->noise / engine.speed);
      stream->box->loads.RecordPace(chosen, "route/model", interval, now_);
      Measure(chosen, stream);
    });
  }

  void End(const std::string& chosen, const std::shared_ptr<Stream>& stream) {
    if (now_ < stream->last) {
      return At(stream->last, [=] { End(chosen, stream); });
    }
    engines_[chosen].streams.erase(stream);
    stream->box->loads.RecordFinish(stream->ticket);
    bool late = stream->late || now_ - stream->sent > kWholeObjective;
    if (stream->counts && late) ++result_.late;
  }

  void Count(const std::string& chosen, double tokens, Seconds reading) {
    ++result_.requests;
    result_.tokens_read += tokens;
    engines_[chosen].worked += reading.count();
    if (now_ - start_ < scenario_.duration * 0.75) return;
    ++late_sends_;
    first_sends_ += chosen == "endpoint-0" ? 1 : 0;
  }

  const SpeedsScenario scenario_;
  std::mt19937_64 random_;
  TimePoint now_ = start_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::unordered_map<std::string, Engine> engines_;
  EndpointPool pool_;
  std::vector<std::unique_ptr<Box>> boxes_;
  size_t number_ = 0;
  SpeedsResult result_;
  double late_sends_ = 0;
  double first_sends_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_SPEEDS_SIMULATION_H_
