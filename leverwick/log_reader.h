// LogReader reads the topics of a store's log through the boxes of a data
// centre, so that few of them burden the store.
//
// While all is well, one box reads a topic from the store and the others read
// it from that one (ReadSources). When these sources fail, two ways remain:
//
// - A box that all others read from, and that the store does not serve, has
//   another box read the store for it (a relayed read). The others notice
//   nothing.
// - Any other box searches: in rounds it asks a few boxes at random whether
//   they know more, and attempts to read the store at a time of its own
//   (StoreAttempts). What one box learns thus spreads to all in a number of
//   rounds that grows with the logarithm of their number.
//
//   LogReader reader(&store, &transport, self, max_readers);
//   reader.SetBoxes(boxes);
//   reader.Read(query, callback);

#ifndef LEVERWICK_LOG_READER_H_
#define LEVERWICK_LOG_READER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "leverwick/keyed_log.h"
#include "leverwick/peer_sampler.h"
#include "leverwick/read_sources.h"
#include "leverwick/result.h"
#include "leverwick/store_attempts.h"
#include "leverwick/time.h"

namespace leverwick {

// A read that another box answers.
struct PeerRead {
  LogQuery query;
  milliseconds hold{0};   // maximum time for which it may wait for news
  milliseconds limit{0};  // time after which it is given up
  bool snapshot = false;  // the newest record of each key
  bool relayed = false;   // from the store, which does not serve this box
  bool is_probe = false;  // of a search; most of these fail
};

// How an answer was found.
enum class ReadRoute { kStore, kReader, kRelay, kSearch };
const char* NameOf(ReadRoute route);

struct ReadOutcome {
  std::string topic;
  ReadRoute route = ReadRoute::kStore;
  std::string box;             // that answered; empty: the store
  nanoseconds age{0};          // of the answer
  bool is_new_source = false;  // unlike that of the answer before
};

struct SearchStart {
  std::string topic;
  nanoseconds age{0};          // of what this box knows
  nanoseconds store_after{0};  // until this box's attempt at the store
};

// A read that the store did not serve.
struct StoreFailure {
  std::string topic;
  std::error_code error;
  nanoseconds pause{0};  // until this box's next attempt in a search
};

// What LogReader needs from the process that it runs in.
class LogTransport {
 public:
  // Errors: those of KeyedLog, kNotReady (the box does not know the topic) and
  // kStaleTable (its answer is older than `max_age`).
  virtual void ReadPeer(const LogBox& box, const PeerRead& read,
                        KeyedLog::ReadCallback callback) = 0;
  virtual TimePoint Now() const = 0;
  virtual void RunAfter(nanoseconds delay, std::function<void()> action) = 0;
  // Returns a random number in [0, 1).
  virtual double Draw() = 0;

  virtual void RecordOutcome(const ReadOutcome& outcome) = 0;
  virtual void RecordSearch(const SearchStart& start) = 0;
  virtual void RecordStoreFailure(const StoreFailure& failure) = 0;

 protected:
  ~LogTransport() = default;
};

class LogReader {
 public:
  // `max_readers` is the number of boxes of the data centre that read the
  // store.
  LogReader(KeyedLog* store, LogTransport* transport, LogBox self,
            int max_readers);

  // Sets the boxes of this data centre.
  void SetBoxes(const std::vector<LogBox>& boxes);
  // Sets the first box of each data centre, this one's among them. These read
  // the topics of ShareAcrossFleet from each other. Empty: each data centre
  // reads for itself.
  void SetFirstBoxes(const std::vector<LogBox>& first_boxes);
  void ShareAcrossFleet(const std::string& topic) {
    fleet_topics_.insert(topic);
  }

  // Returns the boxes that were asked and have not replied for `span`.
  std::vector<std::string> LostFor(nanoseconds span, TimePoint now) const;
  // Returns whether this box would now read the topic from the store.
  bool ReadsStore(const std::string& topic);
  // Returns the age of what is known of each topic.
  std::map<std::string, nanoseconds> Ages() const;

  void Read(const LogQuery& query, KeyedLog::ReadCallback callback);
  void ReadNewest(const LogQuery& query, const std::string& after_key,
                  KeyedLog::NewestCallback callback);
  // Reads the store for another box.
  void Relay(const LogQuery& query, KeyedLog::ReadCallback callback);

 private:
  // A search that may go on over several reads, until one of them succeeds.
  struct Search {
    bool is_active = false;
    TimePoint store_attempt_at{};  // this box's attempt at the store
    int reads = 0;
  };

  // How one topic is read: a box may know one and not another.
  struct Topic {
    Topic(const LogBox& self, int max_readers)
        : sources(self, max_readers), fleet_sources(self, 1) {}

    ReadSources sources;             // in this data centre
    ReadSources fleet_sources;       // the first boxes of all
    std::optional<TimePoint> as_of;  // of the newest answer
    std::string source;              // of it; empty: the store
    Search search;
    // The box that relays this one's reads; none: the store serves this box.
    std::optional<LogBox> relay;
    TimePoint direct_from{};  // when to try without the relay again
  };

  // Another box to read from.
  struct Source {
    LogBox box;
    bool is_remote = false;  // of another data centre
  };

  using CallCallback =
      std::function<void(std::error_code, LogPage, bool has_more)>;
  // One read, or one read of all newest records, on its way to an answer.
  struct Call {
    LogQuery query;
    bool snapshot = false;
    int asks = 0;  // sources that were asked
    bool source_failed = false;
    std::error_code error = Result::kUnreachable;  // if no step succeeds
    CallCallback callback;
  };
  using CallPointer = std::shared_ptr<Call>;
  // The part of a call that searches.
  struct SearchCall {
    CallPointer call;
    int rounds_left = 1;
    size_t probes = 1;  // in a round
    int outstanding = 0;
    bool reads_store = false;        // an attempt is under way
    bool made_last_attempt = false;  // at the store, after the last round
    bool is_over = false;
  };

  // Returns whether another source may do better.
  static bool IsRetryable(std::error_code error);
  static bool IsSilence(std::error_code error);
  // Returns the age up to which the usual sources have time.
  static nanoseconds FreshAgeOf(const LogQuery& query);

  Topic* TopicOf(const std::string& name);
  std::optional<Source> ChooseSource(const std::string& topic);
  // Whether this box is to read the store while others may read from it.
  bool IsReaderOf(Topic* topic);

  void Start(const CallPointer& call);
  void AskSource(const CallPointer& call, const Source& source);
  void ReadWithoutSource(const CallPointer& call);
  void ReadAsReader(const CallPointer& call);
  void ReadRelayed(const CallPointer& call, int attempts);
  void StartSearch(const CallPointer& call);
  // Asks the usual sources again, when what is known is old at the latest.
  void RetrySources(const CallPointer& call, nanoseconds until_old);
  int RoundsOfSearch() const;
  void RunRound(const std::shared_ptr<SearchCall>& search);
  // Returns whether a search whose rounds are over goes on until this box's own
  // attempt at the store.
  bool AwaitsOwnAttempt(const SearchCall& search);
  void SearchStore(const std::shared_ptr<SearchCall>& search);
  void Probe(const std::shared_ptr<SearchCall>& search, const LogBox& box);
  void EndSearch(const std::shared_ptr<SearchCall>& search);

  // Sends the call to the store, where it may be held or not.
  void ReadStore(const Call& call, bool hold, CallCallback callback);
  void RecordStoreFailure(const std::string& topic, std::error_code error);
  void RecordReply();
  void RecordResult(const std::string& topic, const LogBox& box,
                    std::error_code error);
  // Ends the call with what the store replied.
  void Finish(const CallPointer& call, std::error_code error, LogPage page,
              bool has_more);
  void Succeed(const CallPointer& call, ReadRoute route,
               const std::string& source, LogPage page, bool has_more = false);
  void Fail(const CallPointer& call, std::error_code error);

  PeerRead PeerReadOf(const Call& call) const;
  // Time for an answer beyond the time for which a read is held.
  milliseconds AnswerTimeOf(const PeerRead& read) const;
  milliseconds SnapshotTime() const;
  milliseconds HoldOf(const LogQuery& query, const Topic& topic) const;
  nanoseconds AgeOf(const Topic& topic) const;
  // Returns whether there is time to wait for the usual sources.
  bool IsFresh(const Topic& topic, const LogQuery& query) const;
  // Returns whether the page improves enough on what is known.
  bool IsNews(const Topic& topic, const LogQuery& query,
              const LogPage& page) const;
  // Returns up to `count` of the first `among` other boxes.
  std::vector<LogBox> SampleBoxes(size_t count, size_t among) const;
  nanoseconds DrawBetween(milliseconds least, milliseconds most) const;
  nanoseconds Jittered(milliseconds span) const;

  KeyedLog* const store_;
  LogTransport* const transport_;
  const LogBox self_;
  const int max_readers_;
  std::vector<LogBox> first_boxes_;
  std::set<std::string> fleet_topics_;
  std::map<std::string, Topic> topics_;
  PeerSampler peers_;          // the other boxes of the data centre
  StoreAttempts attempts_;     // while this box is no reader
  TimePoint last_reply_at_{};  // when another box or the store replied last
  // Neither the store nor any box can be reached.
  bool is_cut_off_ = false;
  // Expires with this, since the store may reply later.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace leverwick

#endif  // LEVERWICK_LOG_READER_H_
