// Simulates a fleet of boxes in front of endpoints that crash, either at random
// or while running a poison request that arrives repeatedly at any box. There
// are no sockets and no clock: the outcome depends only on the seed. Simulated
// time advances in steps of ten milliseconds.
//
//   PoisonSimulation simulation(config, seed);
//   PoisonSimulationResult result = simulation.Run();

#ifndef LEVERWICK_TESTING_POISON_SIMULATION_H_
#define LEVERWICK_TESTING_POISON_SIMULATION_H_

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "leverwick/poison_parts.h"
#include "leverwick/poison_requests.h"
#include "leverwick/recent_runs.h"

namespace leverwick {

// Rates are per second.
struct PoisonSimulationConfig {
  size_t boxes = 7;
  size_t endpoints = 12;
  bool quarantines = true;          // false: poison requests are always sent
  double other_rate = 90;           // of requests that all differ
  double popular_rate = 20;         // of one request that crashes nothing
  double poison_rate = 2;           // of poison requests
  size_t poison_bodies = 1;         // different bodies of poison requests
  size_t runs_per_crash = 1;        // one in so many poison runs crashes
  bool crashes_silently = false;    // without closing a connection
  double random_crash_rate = 0;     // of endpoints
  milliseconds report_delay{150};   // until a box's report reaches the others
  milliseconds restart_time{3000};  // of an endpoint
  std::chrono::seconds duration{40};
  // Requests have prompts: one of so many first parts and one of so many
  // second ones, or none at all if zero. Poison requests then differ from each
  // other and share the part that is poisonous.
  size_t first_parts = 0;
  size_t second_parts = 400;
  enum class Position { kFirst, kSecond, kThird };
  Position poison_position = Position::kSecond;
  // Without poison requests before this time.
  std::chrono::seconds poison_starts{0};
};

struct PoisonSimulationResult {
  size_t poison_crashes = 0;  // endpoints that crashed under poison requests
  // Poison requests sent more than three seconds after the third crash.
  size_t late_attempts = 0;
  size_t popular = 0, popular_served = 0, popular_quarantined = 0;
  size_t others = 0, others_served = 0, others_quarantined = 0;
  // Poison requests sent more than three seconds after the fifth crash.
  size_t late_part_attempts = 0;
  // Others that arrive more than six seconds after it; with the first part of
  // the poison requests.
  size_t later = 0, later_served = 0;
  size_t later_shared = 0, later_shared_served = 0;
  size_t most_report_bytes = 0;
};

class PoisonSimulation {
 public:
  PoisonSimulation(const PoisonSimulationConfig& config, unsigned seed)
      : config_(config), random_(seed), endpoints_(config.endpoints) {
    for (size_t i = 0; i < config.boxes; ++i) {
      boxes_.push_back(std::make_unique<Box>("box-" + std::to_string(i)));
    }
  }

  PoisonSimulationResult Run() {
    for (now_ = kStart; now_ < kStart + config_.duration; now_ += kStep) {
      GenerateArrivals();
      CrashEndpoints();
      CompleteRuns();
      ExchangeReports();
    }
    return result_;
  }

 private:
  static constexpr TimePoint kStart{std::chrono::hours(10)};
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kReportDeadline{3000};
  static constexpr milliseconds kWriteInterval{300};
  static constexpr int kMaxAttempts = 3;

  enum class Kind { kOther, kPopular, kPoison };

  struct Box {
    explicit Box(const std::string& name) : poison(name), parts(name) {}
    PoisonRequests poison;
    PoisonParts parts;
    RecentRuns runs;
    TimePoint next_report_at{};
    bool report_pending = false;
  };
  struct Endpoint {
    size_t incarnation = 0;
    TimePoint up_at{};
    TimePoint crashes_at = TimePoint::max();
    bool crashed_by_poison = false;
  };
  struct Attempt {
    Kind kind = Kind::kOther;
    RequestDigest digest;
    PartDigests parts;
    TimePoint arrived_at{};
    bool has_shared_part = false;
    size_t box = 0;
    size_t endpoint = 0;
    size_t incarnation = 0;
    uint64_t run = 0;
    int number = 0;
    TimePoint completes_at{};
  };
  struct Report {
    TimePoint arrives_at{};
    TimePoint written_at{};
    size_t from = 0;
    PoisonNotes notes;
  };

  std::string IncarnationName(size_t endpoint) const {
    return std::to_string(endpoint) + "/" +
           std::to_string(endpoints_[endpoint].incarnation);
  }
  // Returns whether a connection to this incarnation would still be open.
  bool IsUp(const std::string& name) const {
    size_t endpoint = std::stoul(name);
    return IncarnationName(endpoint) == name &&
           endpoints_[endpoint].up_at <= now_;
  }
  bool HappensNow(double rate) {
    double share = rate * ToSeconds(kStep);
    return std::uniform_real_distribution<>(0, 1)(random_) < share;
  }

  void GenerateArrivals() {
    bool has_poison = now_ >= kStart + config_.poison_starts;
    if (HappensNow(config_.poison_rate) && has_poison) {
      // Draws no random number for a single body, so that the existing seeds
      // give the same sequences.
      size_t body =
          config_.poison_bodies > 1 ? random_() % config_.poison_bodies : 0;
      std::string name = "poison-" + std::to_string(body);
      if (config_.first_parts > 0) name += "-" + std::to_string(++bodies_);
      StartRequest(Kind::kPoison, name);
    }
    if (HappensNow(config_.popular_rate))
      StartRequest(Kind::kPopular, "popular");
    if (HappensNow(config_.other_rate)) {
      StartRequest(Kind::kOther, "other-" + std::to_string(result_.others));
    }
    if (!HappensNow(config_.random_crash_rate)) return;
    Endpoint& endpoint = endpoints_[random_() % endpoints_.size()];
    if (endpoint.up_at <= now_) endpoint.crashes_at = now_;
  }

  void StartRequest(Kind kind, const std::string& body) {
    if (kind == Kind::kPopular) ++result_.popular;
    if (kind == Kind::kOther) ++result_.others;
    Attempt attempt;
    attempt.kind = kind;
    attempt.digest = ComputeRequestDigest({"a", "/x", "t", body});
    attempt.arrived_at = now_;
    if (config_.first_parts > 0) DrawPrompt(&attempt);
    if (IsLater(attempt)) {
      ++result_.later;
      if (attempt.has_shared_part) ++result_.later_shared;
    }
    attempt.box = random_() % boxes_.size();
    Send(attempt);
  }

  // Whether the request counts among those after the fifth crash.
  bool IsLater(const Attempt& attempt) const {
    return attempt.kind == Kind::kOther && fifth_crash_at_ &&
           attempt.arrived_at > *fifth_crash_at_ + 2 * kReportDeadline;
  }

  // The last part is that of the request only.
  void DrawPrompt(Attempt* attempt) {
    using Position = PoisonSimulationConfig::Position;
    bool is_poison = attempt->kind == Kind::kPoison;
    size_t first = is_poison ? 0 : prompt_random_() % config_.first_parts;
    size_t second = prompt_random_() % config_.second_parts;
    Prompt prompt = {{"first-" + std::to_string(first), 100},
                     {"second-" + std::to_string(second), 100},
                     {"last", 10}};
    if (is_poison) {
      auto position = static_cast<int64_t>(config_.poison_position);
      prompt.insert(prompt.begin() + position, {"poison", 100});
      // A poisonous first part stands in place of the shared one.
      if (config_.poison_position == Position::kFirst)
        prompt.erase(prompt.begin() + 1);
    }
    attempt->parts = ComputePartDigests("service", prompt);
    attempt->has_shared_part = !is_poison && first == 0;
  }

  void Send(Attempt attempt) {
    Box& box = *boxes_[attempt.box];
    auto is_listed = [](const std::string&) { return true; };
    PoisonVerdict verdict = StricterVerdict(
        box.poison.Evaluate(attempt.digest, "", is_listed, now_),
        box.parts.Evaluate({attempt.parts, attempt.digest.organisation_hash()},
                           "", is_listed, now_));
    if (verdict.may_claim_trial) box.parts.ClaimTrial(verdict.parts, now_);
    if (config_.quarantines &&
        verdict.kind == PoisonVerdict::Kind::kQuarantine) {
      if (attempt.kind == Kind::kPopular) ++result_.popular_quarantined;
      if (attempt.kind == Kind::kOther) ++result_.others_quarantined;
      return;
    }
    bool is_trial = verdict.kind == PoisonVerdict::Kind::kTrial;
    if (is_trial) {
      box.poison.RecordTrial(attempt.digest, now_);
      box.parts.RecordTrial(verdict.parts, now_);
    }
    size_t from = random_() % endpoints_.size();
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      size_t candidate = (from + i) % endpoints_.size();
      if (endpoints_[candidate].up_at > now_) continue;
      attempt.endpoint = candidate;
      attempt.incarnation = endpoints_[candidate].incarnation;
      attempt.number = is_trial ? kMaxAttempts : attempt.number + 1;
      attempt.run =
          box.runs.RecordStart(attempt.digest, IncarnationName(candidate), "v1",
                               now_, attempt.parts);
      attempt.completes_at = now_ + milliseconds(100 + random_() % 400);
      if (attempt.kind == Kind::kPoison) StartPoisonRun(&endpoints_[candidate]);
      attempts_.push_back(attempt);
      return;
    }
  }

  void StartPoisonRun(Endpoint* endpoint) {
    if (third_crash_at_ && now_ > *third_crash_at_ + kReportDeadline)
      ++result_.late_attempts;
    if (fifth_crash_at_ && now_ > *fifth_crash_at_ + kReportDeadline)
      ++result_.late_part_attempts;
    if (++poison_runs_ % config_.runs_per_crash != 0) return;
    TimePoint crashes_at = now_ + milliseconds(40 + random_() % 80);
    if (crashes_at >= endpoint->crashes_at) return;
    endpoint->crashes_at = crashes_at;
    endpoint->crashed_by_poison = true;
  }

  void CrashEndpoints() {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      Endpoint& endpoint = endpoints_[i];
      if (endpoint.crashes_at > now_) continue;
      if (endpoint.crashed_by_poison) {
        ++result_.poison_crashes;
        if (result_.poison_crashes == 3) third_crash_at_ = now_;
        if (result_.poison_crashes == 5) fifth_crash_at_ = now_;
      }
      DisconnectRuns(i);
      endpoint = {endpoint.incarnation + 1, now_ + config_.restart_time};
    }
  }

  // Boxes whose calls are disconnected detect the crash and retry the calls.
  void DisconnectRuns(size_t endpoint) {
    std::string name = IncarnationName(endpoint);
    std::vector<Attempt> disconnected;
    for (auto entry = attempts_.begin(); entry != attempts_.end();) {
      bool is_affected = entry->endpoint == endpoint;
      if (is_affected) disconnected.push_back(*entry);
      entry = is_affected ? attempts_.erase(entry) : std::next(entry);
    }
    // A silent crash closes no connection: its runs time out, and no box
    // detects the crash.
    if (config_.crashes_silently) return;
    for (const Attempt& attempt : disconnected) {
      Box& box = *boxes_[attempt.box];
      RecordCrash(&box, box.runs.TakeCrashSuspects(name, now_), now_);
    }
    endpoints_[endpoint].up_at = now_ + config_.restart_time;
    for (const Attempt& attempt : disconnected) {
      if (attempt.number < kMaxAttempts) Send(attempt);
    }
  }

  static void RecordCrash(Box* box, const std::vector<EndpointRun>& suspects,
                          TimePoint crashed_at) {
    box->poison.RecordCrash(suspects, crashed_at);
    box->parts.RecordCrash(suspects, crashed_at);
  }

  void CompleteRuns() {
    for (auto entry = attempts_.begin(); entry != attempts_.end();) {
      if (entry->completes_at > now_) {
        ++entry;
        continue;
      }
      Box& box = *boxes_[entry->box];
      box.runs.RecordEnd(IncarnationName(entry->endpoint), entry->run,
                         RunOutcome::kComplete, now_);
      if (entry->kind == Kind::kPopular) ++result_.popular_served;
      if (entry->kind == Kind::kOther) ++result_.others_served;
      if (IsLater(*entry)) {
        ++result_.later_served;
        if (entry->has_shared_part) ++result_.later_shared_served;
      }
      entry = attempts_.erase(entry);
    }
  }

  void ExchangeReports() {
    for (size_t i = 0; i < boxes_.size(); ++i) {
      Box& box = *boxes_[i];
      auto is_alive = [this](const std::string& name) { return IsUp(name); };
      for (const EndpointRun& run : box.runs.TakeSurvivedRuns(is_alive, now_)) {
        box.poison.RecordSurvivedRun(run, now_);
        box.parts.RecordSurvivedRun(run, now_);
      }
      box.report_pending = box.poison.TakeChangeFlag() || box.report_pending;
      box.report_pending = box.parts.TakeChangeFlag() || box.report_pending;
      if (!box.report_pending || now_ < box.next_report_at) continue;
      box.report_pending = false;
      box.next_report_at = now_ + kWriteInterval;
      PoisonNotes notes = box.poison.BuildNotes(now_, WallTime{});
      box.parts.AppendNotes(now_, &notes);
      result_.most_report_bytes =
          std::max(result_.most_report_bytes, notes.ByteSizeLong());
      reports_.push_back({now_ + config_.report_delay, now_, i, notes});
    }
    while (!reports_.empty() && reports_.front().arrives_at <= now_) {
      ApplyReport(reports_.front());
      reports_.pop_front();
    }
  }

  void ApplyReport(const Report& report) {
    for (size_t i = 0; i < boxes_.size(); ++i) {
      if (i == report.from) continue;
      Box& box = *boxes_[i];
      // The age of the report is the time it was in transit, which the
      // receiving box does not know.
      auto crashes = box.poison.Merge(report.notes, now_, false);
      crashes.merge(box.parts.Merge(report.notes, now_, false));
      for (const auto& [endpoint, at] : crashes) {
        if (box.runs.HasRunInFlightAt(endpoint, at)) continue;
        RecordCrash(&box, box.runs.TakeCrashSuspects(endpoint, at), at);
      }
    }
  }

  const PoisonSimulationConfig config_;
  std::mt19937 random_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::list<Attempt> attempts_;
  std::list<Report> reports_;
  TimePoint now_{};
  std::optional<TimePoint> third_crash_at_;
  std::optional<TimePoint> fifth_crash_at_;
  std::mt19937 prompt_random_{1};
  size_t bodies_ = 0;
  size_t poison_runs_ = 0;
  PoisonSimulationResult result_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_POISON_SIMULATION_H_
