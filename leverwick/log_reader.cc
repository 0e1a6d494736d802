// A call runs through the same steps for a read and for all newest records: the
// sources of ReadSources, the store if others read from this box, a relayed
// read of the store, a search. Each step that fails starts the next one within
// the same call, so that the time until an answer is bounded by the sum of
// their limits, whatever the pauses of the caller are.
//
// The search is in log_reader_search.cc.

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
// it; more while what is known is still fresh.
constexpr int kMaxAsks = 2;
constexpr int kMaxAsksWhileFresh = 16;
// Boxes detect the failure of their reader within less than this of each other.
constexpr milliseconds kFailoverHold{100};
// Boxes that are asked to relay within one call, and the first ones of the
// order that are asked before any other: the largest.
constexpr int kMaxRelays = 3;
constexpr size_t kPreferredRelays = 8;

// Of the oldest age that an answer may have: up to here the usual sources have
// time, then a search begins.
constexpr double kFreshShare = 0.8;
// A box that hears neither the store nor any box for this long is cut off.
constexpr milliseconds kCutOffSilence{1000};

// Time for which a relay is used without an attempt to do without it.
constexpr milliseconds kMinRelayTime{1500};
constexpr milliseconds kMaxRelayTime{3000};
// Of a pause, to either side: boxes that fail together do not go on together.
constexpr int kJitterShare = 4;

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

bool LogReader::IsRetryable(std::error_code error) {
  return error && error != Result::kExpired;
}

bool LogReader::IsSilence(std::error_code error) {
  return error == Result::kUnreachable || error == Result::kNoConnection;
}

nanoseconds LogReader::FreshAgeOf(const LogQuery& query) {
  return FromSeconds(ToSeconds(query.max_age) * kFreshShare);
}

LogReader::LogReader(KeyedLog* store, LogTransport* transport, LogBox self,
                     int max_readers)
    : store_(store),
      transport_(transport),
      self_(std::move(self)),
      max_readers_(max_readers) {}

void LogReader::SetBoxes(const std::vector<LogBox>& boxes) {
  std::vector<LogBox> others;
  for (const LogBox& box : boxes) {
    if (box.name != self_.name) others.push_back(box);
  }
  std::sort(others.begin(), others.end(), RanksBefore);
  for (auto& [name, topic] : topics_) topic.sources.SetBoxes(others);
  peers_.SetPeers(std::move(others), transport_->Now());
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
  return !ChooseSource(topic) && IsReaderOf(TopicOf(topic));
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
    it->second.sources.SetBoxes(peers_.peers());
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

bool LogReader::IsReaderOf(Topic* topic) {
  return topic->sources.IsReaderAt(transport_->Now());
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
    callback(error, {std::move(page.records), has_more, page.end, page.as_of,
                     page.era});
  };
  Start(call);
}

void LogReader::Relay(const LogQuery& query, KeyedLog::ReadCallback callback) {
  if (!attempts_.MayRelayAt(transport_->Now())) {
    return callback(Result::kUnreachable, {});
  }
  store_->Read(query, [this, alive = std::weak_ptr<int>(alive_),
                       topic = query.topic, callback = std::move(callback)](
                          std::error_code error, LogPage page) {
    if (alive.expired()) return;
    if (IsRetryable(error)) RecordStoreFailure(topic, error);
    callback(error, std::move(page));
  });
}

void LogReader::Start(const CallPointer& call) {
  bool is_fresh = IsFresh(*TopicOf(call->query.topic), call->query);
  int max_asks = is_fresh ? kMaxAsksWhileFresh : kMaxAsks;
  std::optional<Source> source;
  if (call->asks < max_asks) source = ChooseSource(call->query.topic);
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
  } else {
    read.hold = HoldOf(read.query, *topic);
    if (is_suspect && !call->query.no_long_poll) read.hold = kFailoverHold;
  }
  read.limit = read.hold + AnswerTimeOf(read);
  transport_->ReadPeer(
      source.box, read,
      [this, call, box = source.box](std::error_code error, LogPage page) {
        RecordResult(call->query.topic, box, error);
        if (IsRetryable(error)) {
          call->source_failed = true;
          return Start(call);
        }
        if (error) return Fail(call, error);
        Succeed(call, ReadRoute::kReader, box.name, std::move(page));
      });
}

void LogReader::ReadWithoutSource(const CallPointer& call) {
  if (IsReaderOf(TopicOf(call->query.topic))) return ReadAsReader(call);
  StartSearch(call);
}

void LogReader::ReadAsReader(const CallPointer& call) {
  Topic* topic = TopicOf(call->query.topic);
  bool is_relayed = topic->relay && transport_->Now() < topic->direct_from;
  if (is_relayed) return ReadRelayed(call, kMaxRelays);
  ReadStore(
      *call, !call->source_failed,
      [this, call, topic](std::error_code error, LogPage page, bool has_more) {
        if (!IsRetryable(error)) {
          return Finish(call, error, std::move(page), has_more);
        }
        call->error = error;
        topic->direct_from =
            transport_->Now() + DrawBetween(kMinRelayTime, kMaxRelayTime);
        ReadRelayed(call, kMaxRelays);
      });
}

void LogReader::ReadRelayed(const CallPointer& call, int attempts) {
  Topic* topic = TopicOf(call->query.topic);
  bool is_known = topic->relay.has_value();
  std::vector<LogBox> drawn;
  if (is_known) {
    drawn.push_back(*topic->relay);
  } else if (attempts > 0) {
    drawn = SampleBoxes(1, attempts > 1 ? kPreferredRelays : peers_.size());
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
      peers_.RecordUnresponsive(box.name, transport_->Now());
    }
    if (IsRetryable(error)) {
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

void LogReader::ReadStore(const Call& call, bool hold, CallCallback callback) {
  auto answered = [this, alive = std::weak_ptr<int>(alive_),
                   topic = call.query.topic, callback = std::move(callback)](
                      std::error_code error, LogPage page, bool has_more) {
    if (alive.expired()) return;
    if (IsRetryable(error)) {
      RecordStoreFailure(topic, error);
    } else {
      attempts_.RecordSuccess();
      TopicOf(topic)->relay.reset();
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
          page.era = newest.era;
          answered(error, std::move(page), newest.has_more);
        });
  }
  LogQuery query = call.query;
  if (!hold) query.max_wait = milliseconds(0);
  store_->Read(query, [answered](std::error_code error, LogPage page) {
    answered(error, std::move(page), false);
  });
}

void LogReader::RecordStoreFailure(const std::string& topic,
                                   std::error_code error) {
  TimePoint now = transport_->Now();
  // The attempts of a box that is cut off are no calls of the store's, and the
  // end of the cut is to be noticed at once.
  if (error == Result::kNoConnection) {
    is_cut_off_ = is_cut_off_ || now - last_reply_at_ > kCutOffSilence;
    return;
  }
  attempts_.RecordFailure(peers_.size() + 1, transport_->Draw(), now);
  transport_->RecordStoreFailure({topic, error, attempts_.next_at() - now});
}

void LogReader::RecordReply() {
  last_reply_at_ = transport_->Now();
  if (!is_cut_off_) return;
  // The others were silent because of this box's own cut.
  is_cut_off_ = false;
  peers_.ClearUnresponsive();
  for (auto& [name, topic] : topics_) {
    topic.sources.ClearFailures();
    topic.fleet_sources.ClearFailures();
  }
}

void LogReader::RecordResult(const std::string& topic_name, const LogBox& box,
                             std::error_code error) {
  Topic* topic = TopicOf(topic_name);
  if (IsSilence(error)) {
    TimePoint now = transport_->Now();
    topic->sources.RecordUnreachable(box.name, now);
    topic->fleet_sources.RecordUnreachable(box.name, now);
    peers_.RecordUnresponsive(box.name, now);
    return;
  }
  RecordReply();
  if (IsRetryable(error)) {
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

milliseconds LogReader::AnswerTimeOf(const PeerRead& read) const {
  // A snapshot is longer on its way than other answers.
  if (read.snapshot) return kAnswerTime + SnapshotTime() - kSnapshotTime;
  return kAnswerTime;
}

milliseconds LogReader::SnapshotTime() const {
  auto count = static_cast<int64_t>(peers_.size() + 1);
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

bool LogReader::IsFresh(const Topic& topic, const LogQuery& query) const {
  return topic.as_of && AgeOf(topic) < FreshAgeOf(query);
}

std::vector<LogBox> LogReader::SampleBoxes(size_t count, size_t among) const {
  return peers_.Sample(count, among, transport_->Now(),
                       [this] { return transport_->Draw(); });
}

nanoseconds LogReader::Jittered(milliseconds span) const {
  return DrawBetween(span - span / kJitterShare, span + span / kJitterShare);
}

nanoseconds LogReader::DrawBetween(milliseconds least,
                                   milliseconds most) const {
  return least + FromSeconds(ToSeconds(most - least) * transport_->Draw());
}

}  // namespace leverwick
