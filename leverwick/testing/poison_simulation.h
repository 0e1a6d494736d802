// Plays a fleet of boxes before endpoints that end: by chance, or under a
// request that comes again and again at any box. No sockets, no clock; a seed
// decides everything. Time goes on in steps of ten milliseconds.
//
//   PoisonSimulation play(fleet, seed);
//   PoisonSimulationResult result = play.Run();

#ifndef LEVERWICK_TESTING_POISON_SIMULATION_H_
#define LEVERWICK_TESTING_POISON_SIMULATION_H_

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "leverwick/poison_requests.h"
#include "leverwick/recent_runs.h"

namespace leverwick {

struct PoisonSimulationConfig {
  size_t boxes = 7;
  size_t endpoints = 12;
  bool holds = true;        // false: as without any memory
  double others = 90;       // requests a second, all different
  double popular = 20;      // a second, all the same
  double poison = 2;        // a second
  size_t bodies = 1;        // different ones among these
  size_t ends_one_in = 1;   // of its runs ends its endpoint
  bool silent = false;      // ends without closing a connection
  double chance_ends = 0;   // of endpoints, a second
  milliseconds news{150};   // until a box's note has reached the others
  milliseconds down{3000};  // of an endpoint
  std::chrono::seconds time{40};
};

struct PoisonSimulationResult {
  size_t poison_ends = 0;  // endpoints that ended under it
  size_t poison_late = 0;  // sends later than three seconds after the third
  size_t popular = 0, popular_served = 0, popular_held = 0;
  size_t others = 0, others_served = 0, others_held = 0;
};

class PoisonSimulation {
 public:
  PoisonSimulation(const PoisonSimulationConfig& fleet, unsigned seed)
      : fleet_(fleet), random_(seed), endpoints_(fleet.endpoints) {
    for (size_t i = 0; i < fleet.boxes; ++i) {
      boxes_.push_back(std::make_unique<Box>("box-" + std::to_string(i)));
    }
  }

  PoisonSimulationResult Run() {
    for (now_ = kStart; now_ < kStart + fleet_.time; now_ += kStep) {
      Arrive();
      EndEndpoints();
      EndRuns();
      TellNews();
    }
    return result_;
  }

 private:
  static constexpr TimePoint kStart{std::chrono::hours(10)};
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kContact{3000};
  static constexpr milliseconds kWriteInterval{300};
  static constexpr int kMostTries = 3;

  enum class Kind { kOther, kPopular, kPoison };

  struct Box {
    explicit Box(const std::string& name) : poison(name) {}
    PoisonRequests poison;
    RecentRuns runs;
    TimePoint write_after{};
    bool due = false;
  };
  struct Endpoint {
    size_t life = 0;
    TimePoint up_from{};
    TimePoint ends_at = TimePoint::max();
    bool by_poison = false;
  };
  struct Try {
    Kind kind = Kind::kOther;
    RequestDigest digest;
    size_t box = 0;
    size_t endpoint = 0;
    size_t life = 0;
    uint64_t run = 0;
    int tries = 0;
    TimePoint done_at{};
  };
  struct Note {
    TimePoint at{};
    TimePoint written_at{};
    size_t from = 0;
    PoisonNotes notes;
  };

  std::string NameOf(size_t endpoint) const {
    return std::to_string(endpoint) + "/" +
           std::to_string(endpoints_[endpoint].life);
  }
  // What a box sees by a connection that is still open.
  bool Lives(const std::string& name) const {
    size_t endpoint = std::stoul(name);
    return NameOf(endpoint) == name && endpoints_[endpoint].up_from <= now_;
  }
  bool Happens(double a_second) {
    double share = a_second * ToSeconds(kStep);
    return std::uniform_real_distribution<>(0, 1)(random_) < share;
  }

  void Arrive() {
    if (Happens(fleet_.poison)) {
      // A fleet with one body draws nothing for it: its seeds play as before.
      size_t body = fleet_.bodies > 1 ? random_() % fleet_.bodies : 0;
      Begin(Kind::kPoison, "poison-" + std::to_string(body));
    }
    if (Happens(fleet_.popular)) Begin(Kind::kPopular, "popular");
    if (Happens(fleet_.others)) {
      Begin(Kind::kOther, "other-" + std::to_string(result_.others));
    }
    if (!Happens(fleet_.chance_ends)) return;
    Endpoint& endpoint = endpoints_[random_() % endpoints_.size()];
    if (endpoint.up_from <= now_) endpoint.ends_at = now_;
  }

  void Begin(Kind kind, const std::string& body) {
    if (kind == Kind::kPopular) ++result_.popular;
    if (kind == Kind::kOther) ++result_.others;
    Try begun;
    begun.kind = kind;
    begun.digest = ComputeRequestDigest({"a", "/x", "t", body});
    begun.box = random_() % boxes_.size();
    Send(begun);
  }

  void Send(Try sent) {
    Box& box = *boxes_[sent.box];
    auto listed = [](const std::string&) { return true; };
    PoisonVerdict verdict = box.poison.Evaluate(sent.digest, "", listed, now_);
    if (fleet_.holds && verdict.kind == PoisonVerdict::Kind::kQuarantine) {
      if (sent.kind == Kind::kPopular) ++result_.popular_held;
      if (sent.kind == Kind::kOther) ++result_.others_held;
      return;
    }
    bool trial = verdict.kind == PoisonVerdict::Kind::kTrial;
    if (trial) box.poison.RecordTrial(sent.digest, now_);
    size_t from = random_() % endpoints_.size();
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      size_t at = (from + i) % endpoints_.size();
      if (endpoints_[at].up_from > now_) continue;
      sent.endpoint = at;
      sent.life = endpoints_[at].life;
      sent.tries = trial ? kMostTries : sent.tries + 1;
      sent.run = box.runs.RecordStart(sent.digest, NameOf(at), "v1", now_);
      sent.done_at = now_ + milliseconds(100 + random_() % 400);
      if (sent.kind == Kind::kPoison) RunPoison(&endpoints_[at]);
      tries_.push_back(sent);
      return;
    }
  }

  void RunPoison(Endpoint* endpoint) {
    if (third_end_ && now_ > *third_end_ + kContact) ++result_.poison_late;
    if (++poison_runs_ % fleet_.ends_one_in != 0) return;
    TimePoint ends_at = now_ + milliseconds(40 + random_() % 80);
    if (ends_at >= endpoint->ends_at) return;
    endpoint->ends_at = ends_at;
    endpoint->by_poison = true;
  }

  void EndEndpoints() {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      Endpoint& endpoint = endpoints_[i];
      if (endpoint.ends_at > now_) continue;
      if (endpoint.by_poison && ++result_.poison_ends == 3) third_end_ = now_;
      BreakRuns(i);
      endpoint = {endpoint.life + 1, now_ + fleet_.down};
    }
  }

  // Boxes whose calls break notice the end; the calls are sent once more.
  void BreakRuns(size_t endpoint) {
    std::string name = NameOf(endpoint);
    std::vector<Try> broken;
    for (auto entry = tries_.begin(); entry != tries_.end();) {
      bool here = entry->endpoint == endpoint;
      if (here) broken.push_back(*entry);
      entry = here ? tries_.erase(entry) : std::next(entry);
    }
    // What falls silent is given up when its time is over; no box learns of an
    // end.
    if (fleet_.silent) return;
    for (const Try& one : broken) {
      Box& box = *boxes_[one.box];
      box.poison.RecordCrash(box.runs.TakeCrashSuspects(name, now_), now_);
    }
    endpoints_[endpoint].up_from = now_ + fleet_.down;
    for (const Try& one : broken) {
      if (one.tries < kMostTries) Send(one);
    }
  }

  void EndRuns() {
    for (auto entry = tries_.begin(); entry != tries_.end();) {
      if (entry->done_at > now_) {
        ++entry;
        continue;
      }
      Box& box = *boxes_[entry->box];
      box.runs.RecordEnd(NameOf(entry->endpoint), entry->run,
                         RunOutcome::kComplete, now_);
      if (entry->kind == Kind::kPopular) ++result_.popular_served;
      if (entry->kind == Kind::kOther) ++result_.others_served;
      entry = tries_.erase(entry);
    }
  }

  void TellNews() {
    for (size_t i = 0; i < boxes_.size(); ++i) {
      Box& box = *boxes_[i];
      auto is_alive = [this](const std::string& name) { return Lives(name); };
      for (const EndpointRun& run : box.runs.TakeSurvivedRuns(is_alive, now_)) {
        box.poison.RecordSurvivedRun(run, now_);
      }
      box.due = box.poison.TakeChangeFlag() || box.due;
      if (!box.due || now_ < box.write_after) continue;
      box.due = false;
      box.write_after = now_ + kWriteInterval;
      notes_.push_back({now_ + fleet_.news, now_, i,
                        box.poison.BuildNotes(now_, WallTime{})});
    }
    while (!notes_.empty() && notes_.front().at <= now_) {
      Hear(notes_.front());
      notes_.pop_front();
    }
  }

  void Hear(const Note& note) {
    for (size_t i = 0; i < boxes_.size(); ++i) {
      if (i == note.from) continue;
      Box& box = *boxes_[i];
      // As old as its way was long, which a box does not know.
      for (const auto& [endpoint, at] :
           box.poison.Merge(note.notes, now_, false)) {
        if (box.runs.HasRunInFlightAt(endpoint, at)) continue;
        box.poison.RecordCrash(box.runs.TakeCrashSuspects(endpoint, at), at);
      }
    }
  }

  const PoisonSimulationConfig fleet_;
  std::mt19937 random_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::list<Try> tries_;
  std::list<Note> notes_;
  TimePoint now_{};
  std::optional<TimePoint> third_end_;
  size_t poison_runs_ = 0;
  PoisonSimulationResult result_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_POISON_SIMULATION_H_
