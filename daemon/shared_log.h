// The store's log, read from another box of the data centre where that will do.
//
// Reads go where ReadSources says. A box that does not answer, or whose answer
// is too old, is passed over at once for the next one and then for the store,
// within the same read. While the store does not answer either, a box that is
// no reader leaves most of the attempts to the readers. Appends always go to
// the store.
//
//   SharedLog log(&loop, &store, self, readers, &metrics);
//   log.SetBoxes(boxes);
//   log.Read(query, callback);

#ifndef DAEMON_SHARED_LOG_H_
#define DAEMON_SHARED_LOG_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "leverwick/keyed_log.h"
#include "leverwick/read_sources.h"
#include "net/async_http_client.h"
#include "net/metrics.h"
#include "schema/peer.pb.h"

namespace leverwick {

class SharedLog : public KeyedLog {
 public:
  // `readers`: boxes of a data centre that read the store.
  SharedLog(boost::asio::io_context* loop, KeyedLog* store, LogBox self,
            int readers, Metrics* metrics);

  // The boxes of this data centre.
  void SetBoxes(const std::vector<LogBox>& boxes);
  // Boxes that were asked and have answered nothing for `span`.
  std::vector<std::string> LostFor(nanoseconds span, TimePoint now) const;

  // The first box of each data centre, this one's among them, in a fleet of
  // `boxes`. In a large fleet they read the topics of ShareAcrossFleet from
  // each other, so that one box reads these from the store for all.
  void SetFirstBoxes(const std::vector<LogBox>& first_boxes, size_t boxes);
  void ShareAcrossFleet(const std::string& topic) {
    fleet_topics_.insert(topic);
  }

  // Updates the age of what is known of each topic.
  void SetGauges();
  // Whether this box would now read the topic from the store.
  bool ReadsStore(const std::string& topic) {
    return !ChooseSource(topic, Clock::now());
  }

  void Read(const LogQuery& query, ReadCallback callback) override;
  void ReadNewest(const LogQuery& query, const std::string& after_key,
                  NewestCallback callback) override;
  void Append(const std::string& topic, const KeyedRecord& record,
              std::optional<uint64_t> at, AppendCallback callback) override {
    store_->Append(topic, record, at, std::move(callback));
  }

 private:
  // How one topic is read: a box may know one and not another.
  struct TopicState {
    TopicState(const LogBox& self, int readers)
        : sources(self, readers), fleet_sources(self, 1) {}

    ReadSources sources;        // in this data centre
    ReadSources fleet_sources;  // the first boxes of all
    TimePoint as_of{};          // of the newest answer
    std::string source;         // of it; as in LogPage
    bool has_answer = false;
    // No call to the store before this, unless this box is a reader.
    TimePoint store_from{};
    // Boxes that read for this one did not answer; its turn at the store is
    // set.
    bool falls_back = false;
  };

  // Another box to read from.
  struct Source {
    LogBox box;
    bool is_remote = false;  // of another data centre
  };

  TopicState* StateOf(const std::string& topic);
  // The box to read a topic from; nothing: the store.
  std::optional<Source> ChooseSource(const std::string& topic, TimePoint now);
  // Asks at most so many boxes before the store.
  void ReadFrom(const LogQuery& query, int boxes, ReadCallback callback);
  void ReadNewestFrom(const LogQuery& query, const std::string& after_key,
                      int boxes, NewestCallback callback);
  void ReadStore(const LogQuery& query, ReadCallback callback);
  // Counts an answer; logs it if it came from another source than the last.
  void RecordAnswer(const std::string& topic, const std::string& source,
                    TimePoint as_of);
  // Whether this box's turn at the store has come.
  bool MayReadStore(TopicState* state);
  // How long another box may take until it has all records of a topic.
  milliseconds SnapshotTime() const;
  milliseconds AnswerTimeOf(const LogAsk& ask) const;
  void StoreFailed(TopicState* state, std::error_code error);
  // How long a box may hold its answer: until what is known here is too old.
  milliseconds HoldOf(const LogQuery& query);
  // Fills in the topic; the callback also gets answers that can't be used.
  void Ask(const LogBox& box, const LogQuery& query, LogAsk ask,
           ReadCallback callback);
  void AskAgain(const LogBox& box, const LogQuery& query, const LogAsk& ask,
                ReadCallback callback);
  // What the box answered; an error when it can't be used.
  std::error_code Decode(const LogQuery& query, TimePoint asked_at,
                         const std::string& body, LogPage* page) const;
  void Judge(const LogBox& box, const LogQuery& query, std::error_code error);

  boost::asio::io_context* const loop_;
  KeyedLog* const store_;
  const LogBox self_;
  const int readers_;
  Metrics* const metrics_;
  HttpConnections connections_;
  std::vector<LogBox> boxes_;
  std::vector<LogBox> first_boxes_;  // empty unless the fleet is large
  std::set<std::string> fleet_topics_;
  std::map<std::string, TopicState> topics_;
  const TimePoint started_;
  std::mt19937 random_;
};

}  // namespace leverwick

#endif  // DAEMON_SHARED_LOG_H_
