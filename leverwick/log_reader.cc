// A call runs through the same steps for a read and for all newest records: the
// sources of ReadSources, the store if others read from this box, a relayed
// read of the store, a search. Each step that fails starts the next one within
// the same call, so that the time until an answer is bounded by the sum of
// their limits, whatever the pauses of the caller are.
//
// In a search the boxes that attempt to read the store double every two rounds
// (StoreAttempts). An answer multiplies the boxes that know it by up to
// 1 + kProbes each round, so that few of the others need the store once the
// first ones have been served.

#include "leverwick/log_reader.h"

#include <algorithm>

#include "leverwick/result.h"

namespace leverwick {
namespace {

// Beyond the time that a read is held. Boxes of a data centre are a few
// milliseconds apart; the rest is for one that is busy.
constexpr milliseconds kAnswerTime{250};
// A box that reads the store for another one needs an answer of the store.
constexpr milliseconds kRelayTime{900};
// A box that begins to read a topic at the same moment has it by then.
constexpr milliseconds kSnapshotTime{500};
// Many boxes wait for longer for the one that reads a topic for all of them,
// since they are told one after the other and would burden the store otherwise.
constexpr milliseconds kSnapshotTimePerBox{10};
constexpr milliseconds kLongestSnapshotTime{5000};
// Of the age that an answer may have, where a box of another data centre gives
// it: a box that others read from turns elsewhere before these lose patience.
constexpr double kRemoteAgeShare = 0.7;

// Boxes that are asked within one call: the reader and whoever takes over from
// it; more while what is known is still young.
constexpr int kMostAsks = 2;
constexpr int kMostAsksWhileYoung = 16;
// Boxes detect the failure of their reader within less than this of each other.
constexpr milliseconds kTakeOverTime{100};
// Boxes that are asked to relay within one call, and the first ones of the
// order that are asked before any other: the largest.
constexpr int kMostRelays = 3;
constexpr size_t kLargestBoxes = 8;

constexpr milliseconds kRoundTime{60};
// Rounds of a search after the last box's attempt at the store, within which
// an answer spreads.
constexpr int kSpreadRounds = 8;
constexpr size_t kProbes = 3;
// Rounds between the steps in which more boxes attempt to read the store.
constexpr int kRoundsPerStep = 2;
// Of the oldest age that an answer may have: up to here the usual sources have
// time, then a search begins.
constexpr double kYoungShare = 0.8;
// While there is time, the usual sources are tried again after this.
constexpr milliseconds kSourcePause{500};
// An answer that is hardly newer than what is known would begin another search
// soon.
constexpr int kNewsPerAge = 4;
// Time for which a box that did not answer is left out of searches.
constexpr milliseconds kSilence{2000};
// A box that hears neither the store nor any box for this long is cut off.
constexpr milliseconds kCutOffSilence{1000};

// Time for which a relay is used without an attempt to do without it.
constexpr milliseconds kMinRelayTime{1500};
constexpr milliseconds kMaxRelayTime{3000};

// Whether another source may do better.
bool IsForAnother(std::error_code error) {
  return error && error != Result::kExpired;
}

bool IsSilence(std::error_code error) {
  return error == Result::kUnreachable || error == Result::kNoConnection;
}

nanoseconds YoungAgeOf(const LogQuery& query) {
  return FromSeconds(ToSeconds(query.max_age) * kYoungShare);
}

milliseconds WholeMilliseconds(nanoseconds span) {
  return std::chrono::duration_cast<milliseconds>(span);
}

}  // namespace

const char* NameOf(ReadRoute route) {
  switch (route) {
    case ReadRoute::kStore:
      return "store";
    case ReadRoute::kReader:
      return "reader";
    case ReadRoute::kRelay:
      return "relay";
    case ReadRoute::kSearch:
      return "search";
  }
  return "unknown";
}

struct LogReader::Call {
  LogQuery query;
  bool snapshot = false;
  int asks = 0;
  // A source has failed within this call: what is known grows old meanwhile.
  bool source_failed = false;
  std::error_code error = Result::kUnreachable;  // if no step succeeds
  CallCallback callback;
};

struct LogReader::SearchCall {
  CallPointer call;
  int rounds_left = 1;
  size_t probes = 1;  // a round
  int outstanding = 0;
  bool asked_store = false;
  bool is_over = false;
};

LogReader::LogReader(KeyedLog* store, LogTransport* transport, LogBox self,
                     int max_readers)
    : store_(store),
      transport_(transport),
      self_(std::move(self)),
      max_readers_(max_readers) {}

void LogReader::SetBoxes(const std::vector<LogBox>& boxes) {
  boxes_.clear();
  for (const LogBox& box : boxes) {
    if (box.name != self_.name) boxes_.push_back(box);
  }
  std::sort(boxes_.begin(), boxes_.end(), RanksBefore);
  for (auto& [name, topic] : topics_) topic.sources.SetBoxes(boxes_);
  TimePoint now = transport_->Now();
  for (auto it = silent_until_.begin(); it != silent_until_.end();) {
    it = it->second <= now ? silent_until_.erase(it) : std::next(it);
  }
}

void LogReader::SetFirstBoxes(const std::vector<LogBox>& first_boxes) {
  first_boxes_ = first_boxes;
  for (auto& [name, topic] : topics_) {
    topic.fleet_sources.SetBoxes(first_boxes_);
  }
}

std::vector<std::string> LogReader::LostFor(nanoseconds span,
                                            TimePoint now) const {
  std::vector<std::string> lost;
  for (const auto& [topic_name, topic] : topics_) {
    for (std::string& name : topic.sources.BoxesUnreachableFor(span, now)) {
      lost.push_back(std::move(name));
    }
  }
  return lost;
}

bool LogReader::ReadsStore(const std::string& topic) {
  return !ChooseSource(topic) && LeadsTopic(TopicOf(topic));
}

std::map<std::string, nanoseconds> LogReader::Ages() const {
  std::map<std::string, nanoseconds> ages;
  for (const auto& [name, topic] : topics_) {
    if (topic.as_of) ages[name] = AgeOf(topic);
  }
  return ages;
}

LogReader::Topic* LogReader::TopicOf(const std::string& name) {
  auto it = topics_.find(name);
  if (it == topics_.end()) {
    it = topics_.emplace(name, Topic(self_, max_readers_)).first;
    it->second.sources.SetBoxes(boxes_);
    it->second.fleet_sources.SetBoxes(first_boxes_);
  }
  return &it->second;
}

std::optional<LogReader::Source> LogReader::ChooseSource(
    const std::string& topic_name) {
  Topic* topic = TopicOf(topic_name);
  TimePoint now = transport_->Now();
  if (auto box = topic->sources.ChooseSource(now)) return Source{*box, false};
  if (fleet_topics_.count(topic_name) == 0) return std::nullopt;
  auto box = topic->fleet_sources.ChooseSource(now);
  if (!box) return std::nullopt;
  return Source{*box, true};
}

bool LogReader::LeadsTopic(Topic* topic) {
  return topic->sources.LeadsAt(transport_->Now());
}

void LogReader::Read(const LogQuery& query, KeyedLog::ReadCallback callback) {
  auto call = std::make_shared<Call>();
  call->query = query;
  call->callback = [callback = std::move(callback)](std::error_code error,
                                                    LogPage page, bool) {
    callback(error, std::move(page));
  };
  Start(call);
}

void LogReader::ReadNewest(const LogQuery& query, const std::string& after_key,
                           KeyedLog::NewestCallback callback) {
  bool is_shared = query.max_age.count() > 0 && after_key.empty();
  if (!is_shared) {
    return store_->ReadNewest(query, after_key, std::move(callback));
  }
  auto call = std::make_shared<Call>();
  call->query = query;
  call->snapshot = true;
  call->callback = [callback = std::move(callback)](
                       std::error_code error, LogPage page, bool has_more) {
    callback(error, {std::move(page.records), has_more, page.end, page.as_of});
  };
  Start(call);
}

void LogReader::Relay(const LogQuery& query, KeyedLog::ReadCallback callback) {
  if (!attempts_.MayRelayAt(transport_->Now())) {
    return callback(Result::kUnreachable, {});
  }
  store_->Read(query, [this, alive = std::weak_ptr<int>(alive_),
                       callback = std::move(callback)](std::error_code error,
                                                       LogPage page) {
    if (alive.expired()) return;
    if (IsForAnother(error)) RecordStoreFailure(error);
    callback(error, std::move(page));
  });
}

void LogReader::Start(const CallPointer& call) {
  bool is_young = IsYoung(*TopicOf(call->query.topic), call->query);
  int most_asks = is_young ? kMostAsksWhileYoung : kMostAsks;
  std::optional<Source> source;
  if (call->asks < most_asks) source = ChooseSource(call->query.topic);
  if (source) return AskSource(call, *source);
  ReadWithoutSource(call);
}

void LogReader::AskSource(const CallPointer& call, const Source& source) {
  ++call->asks;
  Topic* topic = TopicOf(call->query.topic);
  PeerRead read = PeerReadOf(*call);
  if (source.is_remote) {
    read.query.max_age = std::chrono::duration_cast<milliseconds>(
        read.query.max_age * kRemoteAgeShare);
  }
  bool is_suspect =
      call->source_failed || topic->sources.HasFailed(source.box.name);
  if (call->snapshot) {
    read.hold = SnapshotTime();
    read.limit = read.hold + kAnswerTime + SnapshotTime() - kSnapshotTime;
  } else {
    read.hold = HoldOf(read.query, *topic);
    if (is_suspect && !call->query.no_long_poll) read.hold = kTakeOverTime;
    read.limit = read.hold + kAnswerTime;
  }
  transport_->ReadPeer(
      source.box, read,
      [this, call, box = source.box](std::error_code error, LogPage page) {
        Judge(call->query.topic, box, error);
        if (IsForAnother(error)) {
          call->source_failed = true;
          return Start(call);
        }
        if (error) return Fail(call, error);
        Succeed(call, ReadRoute::kReader, box.name, std::move(page));
      });
}

void LogReader::ReadWithoutSource(const CallPointer& call) {
  if (LeadsTopic(TopicOf(call->query.topic))) return ReadAsReader(call);
  StartSearch(call);
}

void LogReader::ReadAsReader(const CallPointer& call) {
  Topic* topic = TopicOf(call->query.topic);
  bool is_relayed = topic->relay && transport_->Now() < topic->direct_from;
  if (is_relayed) return ReadRelayed(call, kMostRelays);
  ReadStore(
      *call, !call->source_failed,
      [this, call, topic](std::error_code error, LogPage page, bool has_more) {
        if (!IsForAnother(error)) {
          return Finish(call, error, std::move(page), has_more);
        }
        call->error = error;
        topic->direct_from =
            transport_->Now() + DrawBetween(kMinRelayTime, kMaxRelayTime);
        ReadRelayed(call, kMostRelays);
      });
}

void LogReader::ReadRelayed(const CallPointer& call, int attempts) {
  Topic* topic = TopicOf(call->query.topic);
  bool is_known = topic->relay.has_value();
  std::vector<LogBox> drawn;
  if (is_known) {
    drawn.push_back(*topic->relay);
  } else if (attempts > 0) {
    drawn = DrawBoxes(1, attempts > 1 ? kLargestBoxes : boxes_.size());
  }
  if (call->snapshot || drawn.empty()) return StartSearch(call);
  LogBox box = drawn.front();
  PeerRead read = PeerReadOf(*call);
  read.relayed = true;
  bool hold = is_known && !call->source_failed && !call->query.no_long_poll;
  if (hold) read.hold = call->query.max_wait;
  read.limit = read.hold + kRelayTime;
  auto answered = [this, call, topic, box, attempts](std::error_code error,
                                                     LogPage page) {
    if (IsSilence(error)) {
      silent_until_[box.name] = transport_->Now() + kSilence;
    }
    if (IsForAnother(error)) {
      topic->relay.reset();
      call->source_failed = true;
      return ReadRelayed(call, attempts - 1);
    }
    topic->relay = box;
    if (error) return Fail(call, error);
    page.is_long_polled = false;
    Succeed(call, ReadRoute::kRelay, box.name, std::move(page));
  };
  transport_->ReadPeer(box, read, answered);
}

void LogReader::StartSearch(const CallPointer& call) {
  if (boxes_.empty()) return Fail(call, call->error);
  Topic* topic = TopicOf(call->query.topic);
  if (!LeadsTopic(topic) && IsYoung(*topic, call->query)) {
    return RetrySources(call, YoungAgeOf(call->query) - AgeOf(*topic));
  }
  Search& search = topic->search;
  TimePoint now = transport_->Now();
  if (!search.is_active) {
    nanoseconds step =
        call->snapshot ? SnapshotTime() : kRoundTime * kRoundsPerStep;
    auto delay = StoreAttempts::DelayInSearch(boxes_.size() + 1,
                                              transport_->Draw(), step);
    search = {true, now + delay, 0};
    auto store_at = std::max(search.store_at, attempts_.next_at());
    transport_->RecordSearch(
        {call->query.topic, AgeOf(*topic), store_at - now});
  }
  bool is_first = search.reads++ == 0;
  auto search_call = std::make_shared<SearchCall>();
  search_call->call = call;
  // A box that others read from tries the store again soon.
  if (!call->snapshot && is_first && !LeadsTopic(topic)) {
    search_call->rounds_left = RoundsOfSearch();
  }
  // A whole topic is long: one box at a time is asked for it.
  search_call->probes = call->snapshot ? 1 : kProbes;
  RunRound(search_call);
}

void LogReader::RetrySources(const CallPointer& call, nanoseconds until_old) {
  transport_->RunAfter(std::min<nanoseconds>(until_old, kSourcePause),
                       [this, call] {
                         call->asks = 0;
                         Start(call);
                       });
}

int LogReader::RoundsOfSearch() const {
  int steps = StoreAttempts::StepsInSearch(boxes_.size() + 1);
  return steps * kRoundsPerStep + kSpreadRounds;
}

void LogReader::RunRound(const std::shared_ptr<SearchCall>& search) {
  if (search->is_over) return;
  if (search->rounds_left > 0) {
    --search->rounds_left;
    SearchStore(search);
    for (const LogBox& box : DrawBoxes(search->probes, boxes_.size())) {
      Probe(search, box);
    }
  } else if (search->outstanding == 0) {
    return EndSearch(search);
  }
  transport_->RunAfter(kRoundTime, [this, search] { RunRound(search); });
}

void LogReader::SearchStore(const std::shared_ptr<SearchCall>& search) {
  const CallPointer& call = search->call;
  Topic* topic = TopicOf(call->query.topic);
  auto store_at = std::max(topic->search.store_at, attempts_.next_at());
  if (search->asked_store || transport_->Now() < store_at) return;
  search->asked_store = true;
  ++search->outstanding;
  ReadStore(*call, false,
            [this, search](std::error_code error, LogPage page, bool has_more) {
              --search->outstanding;
              if (search->is_over) return;
              search->call->error = error;
              if (IsForAnother(error)) return;
              search->is_over = true;
              Finish(search->call, error, std::move(page), has_more);
            });
}

void LogReader::Probe(const std::shared_ptr<SearchCall>& search,
                      const LogBox& box) {
  ++search->outstanding;
  PeerRead read = PeerReadOf(*search->call);
  read.is_probe = true;
  read.limit = kAnswerTime;
  if (read.snapshot) read.limit += SnapshotTime() - kSnapshotTime;
  transport_->ReadPeer(
      box, read, [this, search, box](std::error_code error, LogPage page) {
        --search->outstanding;
        if (IsSilence(error)) {
          silent_until_[box.name] = transport_->Now() + kSilence;
        } else {
          RecordReply();
        }
        if (search->is_over) return;
        const LogQuery& query = search->call->query;
        // The box knows more, but not all that has changed.
        if (error == Result::kExpired) search->call->error = error;
        if (error || !IsNews(*TopicOf(query.topic), query, page)) return;
        search->is_over = true;
        Succeed(search->call, ReadRoute::kSearch, box.name, std::move(page));
      });
}

void LogReader::EndSearch(const std::shared_ptr<SearchCall>& search) {
  search->is_over = true;
  Topic* topic = TopicOf(search->call->query.topic);
  topic->sources.ClearStale();
  topic->fleet_sources.ClearStale();
  Fail(search->call, search->call->error);
}

void LogReader::ReadStore(const Call& call, bool hold, CallCallback callback) {
  auto answered = [this, alive = std::weak_ptr<int>(alive_),
                   topic = TopicOf(call.query.topic),
                   callback = std::move(callback)](
                      std::error_code error, LogPage page, bool has_more) {
    if (alive.expired()) return;
    if (IsForAnother(error)) {
      RecordStoreFailure(error);
    } else {
      attempts_.RecordSuccess();
      topic->relay.reset();
    }
    callback(error, std::move(page), has_more);
  };
  if (call.snapshot) {
    return store_->ReadNewest(
        call.query, "", [answered](std::error_code error, NewestPage newest) {
          LogPage page;
          page.records = std::move(newest.records);
          page.next = page.end = newest.end;
          page.as_of = newest.as_of;
          answered(error, std::move(page), newest.has_more);
        });
  }
  LogQuery query = call.query;
  if (!hold) query.max_wait = milliseconds(0);
  store_->Read(query, [answered](std::error_code error, LogPage page) {
    answered(error, std::move(page), false);
  });
}

void LogReader::RecordStoreFailure(std::error_code error) {
  TimePoint now = transport_->Now();
  // The attempts of a box that is cut off are no calls of the store's, and the
  // end of the cut is to be noticed at once.
  if (error == Result::kNoConnection) {
    is_cut_off_ = is_cut_off_ || now - heard_at_ > kCutOffSilence;
    return;
  }
  attempts_.RecordFailure(boxes_.size() + 1, transport_->Draw(), now);
}

void LogReader::RecordReply() {
  heard_at_ = transport_->Now();
  if (!is_cut_off_) return;
  // The others were silent because of this box's own cut.
  is_cut_off_ = false;
  silent_until_.clear();
  for (auto& [name, topic] : topics_) {
    topic.sources.ClearFailures();
    topic.fleet_sources.ClearFailures();
  }
}

void LogReader::Judge(const std::string& topic_name, const LogBox& box,
                      std::error_code error) {
  Topic* topic = TopicOf(topic_name);
  if (IsSilence(error)) {
    TimePoint now = transport_->Now();
    topic->sources.RecordUnreachable(box.name, now);
    topic->fleet_sources.RecordUnreachable(box.name, now);
    silent_until_[box.name] = now + kSilence;
    return;
  }
  RecordReply();
  if (IsForAnother(error)) {
    topic->sources.RecordStale(box.name, transport_->Now());
    topic->fleet_sources.RecordStale(box.name, transport_->Now());
    return;
  }
  topic->sources.RecordReply(box.name);
  topic->fleet_sources.RecordReply(box.name);
}

void LogReader::Finish(const CallPointer& call, std::error_code error,
                       LogPage page, bool has_more) {
  if (error) return Fail(call, error);
  Succeed(call, ReadRoute::kStore, "", std::move(page), has_more);
}

void LogReader::Succeed(const CallPointer& call, ReadRoute route,
                        const std::string& source, LogPage page,
                        bool has_more) {
  RecordReply();
  Topic* topic = TopicOf(call->query.topic);
  topic->search.is_active = false;
  bool is_first = !topic->as_of;
  page.is_long_polled =
      page.is_long_polled && (is_first || page.as_of > *topic->as_of);
  bool is_new_source = is_first || topic->source != source;
  topic->source = source;
  topic->as_of = is_first ? page.as_of : std::max(*topic->as_of, page.as_of);
  transport_->RecordOutcome({call->query.topic, route, source,
                             transport_->Now() - page.as_of, is_new_source});
  call->callback({}, std::move(page), has_more);
}

void LogReader::Fail(const CallPointer& call, std::error_code error) {
  if (error == Result::kExpired) {
    TopicOf(call->query.topic)->search.is_active = false;
  }
  call->callback(error, {}, false);
}

PeerRead LogReader::PeerReadOf(const Call& call) const {
  PeerRead read;
  read.query = call.query;
  read.snapshot = call.snapshot;
  return read;
}

milliseconds LogReader::SnapshotTime() const {
  auto count = static_cast<int64_t>(boxes_.size() + 1);
  return std::min(kSnapshotTime + kSnapshotTimePerBox * count,
                  kLongestSnapshotTime);
}

milliseconds LogReader::HoldOf(const LogQuery& query,
                               const Topic& topic) const {
  if (query.no_long_poll || !topic.as_of) return milliseconds(0);
  auto until_old = *topic.as_of + query.max_age - transport_->Now();
  return std::max(milliseconds(0), WholeMilliseconds(until_old));
}

nanoseconds LogReader::AgeOf(const Topic& topic) const {
  return topic.as_of ? transport_->Now() - *topic.as_of : nanoseconds(0);
}

bool LogReader::IsYoung(const Topic& topic, const LogQuery& query) const {
  return topic.as_of && AgeOf(topic) < YoungAgeOf(query);
}

bool LogReader::IsNews(const Topic& topic, const LogQuery& query,
                       const LogPage& page) const {
  if (!topic.as_of || page.end > query.from) return true;
  return page.as_of - *topic.as_of >= query.max_age / kNewsPerAge;
}

std::vector<LogBox> LogReader::DrawBoxes(size_t count, size_t among) {
  std::vector<LogBox> drawn;
  size_t size = std::min(among, boxes_.size());
  TimePoint now = transport_->Now();
  // A bound on the draws that meet a silent box, or one that is drawn already.
  constexpr size_t kDrawsEach = 4;
  for (size_t i = 0; i < kDrawsEach * count && drawn.size() < count; ++i) {
    auto at =
        static_cast<size_t>(transport_->Draw() * static_cast<double>(size));
    if (at >= size) continue;
    const LogBox& box = boxes_[at];
    auto silent = silent_until_.find(box.name);
    if (silent != silent_until_.end() && now < silent->second) continue;
    bool is_drawn = std::any_of(
        drawn.begin(), drawn.end(),
        [&](const LogBox& other) { return other.name == box.name; });
    if (!is_drawn) drawn.push_back(box);
  }
  return drawn;
}

nanoseconds LogReader::DrawBetween(milliseconds least, milliseconds most) {
  return least + FromSeconds(ToSeconds(most - least) * transport_->Draw());
}

}  // namespace leverwick
