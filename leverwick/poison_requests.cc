// Whether a request is held follows from all strikes that are known, counted
// anew at each change: changes are rare, and there are a thousand requests at
// most. No request's ends are put down to another that is held as well: a
// popular request is under way at every end, and would hide the guilty one
// while no endpoint is left to prove it sound.

#include "leverwick/poison_requests.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

// Ends this close together may have one cause, such as a power cut, unless a
// run began after the end before. Boxes tell each other of ends about as late.
constexpr milliseconds kSameMoment{100};
// Within which times that notes tell are taken for the same.
constexpr milliseconds kSameWord{500};
// Requests that are forgotten together when all places are taken.
constexpr size_t kEvicted = 64;
// Strikes that are kept of one request: more than it takes to hold it.
constexpr size_t kMostStrikes = 8;
// Endpoints that are remembered as alive, and those a request did not end.
constexpr size_t kMostLives = 256;
constexpr size_t kMostRefuted = 16;
// Until the next trial, after the last end or trial. The first comes soon, for
// those who are held by mistake; each further one makes a mistake less likely,
// and may cost all that runs on an endpoint.
constexpr std::chrono::seconds kTrialPauses[] = {
    std::chrono::seconds(10), std::chrono::minutes(1), std::chrono::minutes(10),
    std::chrono::hours(1)};
// Boxes come to be allowed a trial one after the other within this time, so
// that the first one's note has reached most others.
constexpr std::chrono::seconds kTrialTurns{4};
// When no version that a request has ended is listed any more, its trial need
// not wait; a moment, so that boxes agree on the list.
constexpr std::chrono::seconds kNewVersionPause{2};

uint32_t AgeMs(TimePoint at, TimePoint now) {
  auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, UINT32_MAX));
}

}  // namespace

size_t PoisonRequests::EndsOf(const Request& request,
                              const std::string& but_version) {
  size_t ends = 0;
  TimePoint last{};
  for (const Strike& strike : request.strikes) {
    if (!but_version.empty() && strike.version == but_version) continue;
    bool apart =
        ends == 0 || strike.begin >= last || strike.end - last >= kSameMoment;
    if (!apart) continue;
    ++ends;
    last = strike.end;
  }
  return ends;
}

bool PoisonRequests::Add(const RequestDigest& digest, const Strike& strike) {
  auto lives = lives_.find(strike.endpoint);
  if (lives != lives_.end() && strike.end <= lives->second.at) return false;
  if (requests_.count(digest) == 0) Evict();
  Request& request = requests_[digest];
  if (request.refuted.count(strike.endpoint) > 0) return false;
  auto& strikes = request.strikes;
  for (Strike& known : strikes) {
    if (known.endpoint != strike.endpoint) continue;
    known.own = known.own || strike.own;
    return false;
  }
  auto by_end = [](const Strike& a, const Strike& b) { return a.end < b.end; };
  strikes.insert(
      std::upper_bound(strikes.begin(), strikes.end(), strike, by_end), strike);
  if (strikes.size() > kMostStrikes) strikes.erase(strikes.begin());
  request.last = std::max(request.last, strike.end);
  TimePoint& struck = struck_[strike.endpoint];
  struck = std::max(struck, strike.end);
  return true;
}

void PoisonRequests::EndedUnder(const std::vector<EndpointRun>& runs,
                                TimePoint ended_at) {
  for (const EndpointRun& run : runs) {
    if (sound_.Excuses(run.request, run.version)) continue;
    Strike strike{run.endpoint, run.version, run.begin, ended_at, true};
    if (Add(run.request, strike)) changed_ = true;
  }
  Recount();
}

void PoisonRequests::Refute(Request* request, const std::string& endpoint,
                            bool own) {
  auto& strikes = request->strikes;
  strikes.erase(std::remove_if(strikes.begin(), strikes.end(),
                               [&endpoint](const Strike& strike) {
                                 return strike.endpoint == endpoint;
                               }),
                strikes.end());
  bool& by_this_box = request->refuted[endpoint];
  by_this_box = by_this_box || own;
  if (request->refuted.size() > kMostRefuted) {
    request->refuted.erase(request->refuted.begin());
  }
}

void PoisonRequests::Survived(const EndpointRun& run, TimePoint now) {
  sound_.Proved(run.request, run.version, now);
  auto found = requests_.find(run.request);
  if (found == requests_.end() || found->second.strikes.empty()) return;
  Clear(&found->second, run.version, now);
  Recount();
}

void PoisonRequests::Clear(Request* request, const std::string& version,
                           TimePoint now) {
  // One end alone holds nobody back: the others need not hear of it.
  if (EndsOf(*request) > 1) changed_ = true;
  for (const Strike& strike : std::vector<Strike>(request->strikes)) {
    bool taken_back = strike.version == version && strike.end <= now;
    if (taken_back) Refute(request, strike.endpoint, true);
  }
}

bool PoisonRequests::TakeBack(const std::string& endpoint, const Life& life) {
  Life& known = lives_[endpoint];
  known.own = known.own || life.own;
  // The same word told again differs by the time that the note took.
  if (life.at - known.at < kSameWord) return false;
  known.at = life.at;
  if (lives_.size() > kMostLives) lives_.erase(lives_.begin());
  bool mattered = false;
  for (auto& entry : requests_) {
    auto& strikes = entry.second.strikes;
    auto gone = std::remove_if(
        strikes.begin(), strikes.end(), [&](const Strike& strike) {
          return strike.endpoint == endpoint && strike.end <= life.at;
        });
    if (gone == strikes.end()) continue;
    if (strikes.size() > 1) mattered = true;
    strikes.erase(gone, strikes.end());
  }
  struck_.erase(endpoint);
  return mattered;
}

void PoisonRequests::Answered(const std::string& endpoint, TimePoint sent_at) {
  auto struck = struck_.find(endpoint);
  if (struck == struck_.end() || sent_at <= struck->second) return;
  if (TakeBack(endpoint, {sent_at, true})) changed_ = true;
  Recount();
}

void PoisonRequests::Recount() {
  for (auto& [digest, request] : requests_) {
    bool held = EndsOf(request) >= kMostEnds;
    if (held != request.held) SetHeld(digest, &request, held);
  }
}

void PoisonRequests::SetHeld(const RequestDigest& digest, Request* request,
                             bool held) {
  request->held = held;
  held_ += held ? 1 : -1;
  PoisonNews news{digest, held, {}};
  for (const Strike& strike : request->strikes) {
    news.endpoints.push_back(strike.endpoint);
  }
  news_.push_back(std::move(news));
}

TimePoint PoisonRequests::TrialDue(const RequestDigest& digest,
                                   const Request& request,
                                   bool versions_left) const {
  TimePoint first_end = request.strikes.front().end;
  auto trials = static_cast<size_t>(
      std::count_if(request.trials.begin(), request.trials.end(),
                    [first_end](const Trial& t) { return t.at > first_end; }));
  size_t last_pause = std::size(kTrialPauses) - 1;
  std::chrono::seconds pause = kTrialPauses[std::min(trials, last_pause)];
  // A version that it has not ended gets one trial early.
  if (!versions_left && trials < last_pause) pause = kNewVersionPause;
  double turn = UnitHash(box_ + "/" + digest.bytes());
  return request.last + pause + FromSeconds(ToSeconds(kTrialTurns) * turn);
}

PoisonVerdict PoisonRequests::Judge(
    const RequestDigest& request, const std::string& target,
    const std::function<bool(const std::string&)>& is_listed,
    TimePoint now) const {
  PoisonVerdict verdict;
  auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.held) return verdict;
  const Request& held = found->second;
  verdict.ends = EndsOf(held);
  if (!target.empty() && EndsOf(held, target) < kMostEnds) {
    verdict.kind = PoisonVerdict::Kind::kAvoidTarget;
    return verdict;
  }
  bool versions_left =
      std::any_of(held.strikes.begin(), held.strikes.end(),
                  [&](const Strike& s) { return is_listed(s.version); });
  verdict.kind = PoisonVerdict::Kind::kHold;
  if (!in_touch_) return verdict;
  TimePoint due = TrialDue(request, held, versions_left);
  if (due <= now) verdict.kind = PoisonVerdict::Kind::kTrial;
  verdict.next_trial = std::chrono::ceil<milliseconds>(
      std::max(due - now, TimePoint::duration::zero()));
  return verdict;
}

void PoisonRequests::AddTrial(Request* request, TimePoint at, bool own) {
  // The same trial told again differs by the time that the note took.
  for (const Trial& known : request->trials) {
    if (known.own == own && std::chrono::abs(known.at - at) < kTrialTurns) {
      return;
    }
  }
  request->trials.push_back({at, own});
  if (request->trials.size() > kMostStrikes) {
    request->trials.erase(request->trials.begin());
  }
  request->last = std::max(request->last, at);
}

void PoisonRequests::TrialBegan(const RequestDigest& request, TimePoint now) {
  auto found = requests_.find(request);
  if (found == requests_.end()) return;
  AddTrial(&found->second, now, true);
  changed_ = true;
}

bool PoisonRequests::TakeChanged() {
  bool changed = changed_;
  changed_ = false;
  return changed;
}

bool PoisonRequests::IsOwn(const Request& request) {
  auto own = [](const auto& part) { return part.own; };
  const auto& strikes = request.strikes;
  const auto& trials = request.trials;
  return std::any_of(strikes.begin(), strikes.end(), own) ||
         std::any_of(trials.begin(), trials.end(), own) ||
         std::any_of(request.refuted.begin(), request.refuted.end(),
                     [](const auto& refuted) { return refuted.second; });
}

void PoisonRequests::AddTo(PoisonNotes* notes, const RequestDigest& digest,
                           const Request& request, TimePoint now) const {
  StruckRequest* told = notes->add_requests();
  told->set_digest(digest.bytes());
  for (const Strike& strike : request.strikes) {
    if (!strike.own) continue;
    EndpointStrike* out = told->add_strikes();
    out->set_endpoint(strike.endpoint);
    out->set_version(strike.version);
    out->set_age_ms(AgeMs(strike.end, now));
    out->set_run_ms(AgeMs(strike.begin, strike.end));
  }
  for (const auto& [endpoint, own] : request.refuted) {
    if (own) told->add_refuted(endpoint);
  }
  for (const Trial& trial : request.trials) {
    if (trial.own) told->add_trial_ages_ms(AgeMs(trial.at, now));
  }
}

PoisonNotes PoisonRequests::Notes(TimePoint now, WallTime wall) const {
  PoisonNotes notes;
  notes.set_written_at_ms(SinceEpoch(wall).count());
  // Those with the most ends first; of the same number the newest, and of one
  // end those whose run had begun last.
  using Rank = std::pair<size_t, TimePoint>;
  std::multimap<Rank, const RequestDigest*, std::greater<>> own;
  for (const auto& [digest, request] : requests_) {
    if (!IsOwn(request)) continue;
    TimePoint last_begin{};
    for (const Strike& strike : request.strikes) {
      last_begin = std::max(last_begin, strike.begin);
    }
    own.emplace(Rank(request.strikes.size(), last_begin), &digest);
  }
  for (const auto& ranked : own) {
    if (notes.requests_size() == kMostTold) break;
    AddTo(&notes, *ranked.second, requests_.at(*ranked.second), now);
  }
  for (const auto& [endpoint, life] : lives_) {
    if (!life.own) continue;
    EndpointLife* out = notes.add_lives();
    out->set_endpoint(endpoint);
    out->set_age_ms(AgeMs(life.at, now));
  }
  return notes;
}

std::map<std::string, TimePoint> PoisonRequests::Merge(const PoisonNotes& notes,
                                                       TimePoint written_at,
                                                       bool own) {
  std::map<std::string, TimePoint> ended;
  for (const EndpointLife& life : notes.lives()) {
    TakeBack(life.endpoint(), {written_at - milliseconds(life.age_ms()), own});
  }
  for (const StruckRequest& told : notes.requests()) {
    RequestDigest digest(told.digest());
    for (const EndpointStrike& strike : told.strikes()) {
      TimePoint end = written_at - milliseconds(strike.age_ms());
      TimePoint begin = end - milliseconds(strike.run_ms());
      bool news =
          Add(digest, {strike.endpoint(), strike.version(), begin, end, own});
      if (news && !own) ended.emplace(strike.endpoint(), end);
    }
    auto found = requests_.find(digest);
    if (found == requests_.end()) continue;
    Request& request = found->second;
    for (const EndpointStrike& strike : told.strikes()) {
      bool sound = sound_.Knows(digest, strike.version());
      if (sound) Clear(&request, strike.version(), written_at);
    }
    for (const std::string& endpoint : told.refuted()) {
      Refute(&request, endpoint, own);
    }
    for (uint32_t age : told.trial_ages_ms()) {
      AddTrial(&request, written_at - milliseconds(age), own);
    }
  }
  Recount();
  return ended;
}

std::vector<PoisonNews> PoisonRequests::TakeNews() {
  std::vector<PoisonNews> news;
  news.swap(news_);
  return news;
}

void PoisonRequests::Forget(const RequestDigest& digest) {
  auto found = requests_.find(digest);
  if (found->second.held) --held_;
  requests_.erase(found);
}

void PoisonRequests::Evict() {
  if (requests_.size() < kMostRequests) return;
  // Whoever has the most gives way; among its own the least suspected, and of
  // those the oldest. So nobody's flood makes others' strikes forgotten.
  std::map<uint32_t, size_t> counts;
  for (const auto& entry : requests_) ++counts[entry.first.owner()];
  auto fewer = [](const auto& a, const auto& b) { return a.second < b.second; };
  uint32_t largest =
      std::max_element(counts.begin(), counts.end(), fewer)->first;
  using Rank = std::pair<size_t, TimePoint>;
  std::multimap<Rank, RequestDigest> ranked;
  for (const auto& [digest, request] : requests_) {
    if (digest.owner() != largest) continue;
    ranked.emplace(Rank(request.strikes.size(), request.last), digest);
  }
  size_t left = std::min(kEvicted, (ranked.size() + 1) / 2);
  for (const auto& entry : ranked) {
    if (left-- == 0) break;
    Forget(entry.second);
  }
}

void PoisonRequests::Expire(TimePoint now) {
  std::vector<RequestDigest> over;
  for (auto& [digest, request] : requests_) {
    if (now - request.last > kRemembered) over.push_back(digest);
  }
  for (const RequestDigest& digest : over) {
    Request& request = requests_[digest];
    if (request.held) SetHeld(digest, &request, false);
    Forget(digest);
  }
  auto drop = [now](auto* map, auto time_of) {
    for (auto entry = map->begin(); entry != map->end();) {
      bool old = now - time_of(entry->second) > kRemembered;
      entry = old ? map->erase(entry) : std::next(entry);
    }
  };
  drop(&struck_, [](TimePoint at) { return at; });
  drop(&lives_, [](const Life& life) { return life.at; });
}

}  // namespace leverwick
