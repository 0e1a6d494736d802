// The store's log, read from another box of the data centre where that will do.
//
// LogReader decides where each read goes. This carries the reads to other boxes
// (LogServer answers them) and tells in logs and metrics whom a topic is read
// from, and how old the answers are. Appends always go to the store.
//
//   SharedLog log(&loop, &store, self, readers, &metrics);
//   log.SetBoxes(boxes);
//   log.Read(query, callback);

#ifndef DAEMON_SHARED_LOG_H_
#define DAEMON_SHARED_LOG_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <vector>

#include "leverwick/keyed_log.h"
#include "leverwick/log_reader.h"
#include "leverwick/read_sources.h"
#include "net/async_http_client.h"
#include "net/metrics.h"
#include "schema/peer.pb.h"

namespace leverwick {

class SharedLog : public KeyedLog, private LogTransport {
 public:
  // `readers`: boxes of a data centre that read the store.
  SharedLog(boost::asio::io_context* loop, KeyedLog* store, LogBox self,
            int readers, Metrics* metrics);

  // The boxes of this data centre.
  void SetBoxes(const std::vector<LogBox>& boxes) { reader_.SetBoxes(boxes); }
  // Boxes that were asked and have answered nothing for `span`.
  std::vector<std::string> LostFor(nanoseconds span, TimePoint now) const {
    return reader_.LostFor(span, now);
  }

  // The first box of each data centre, this one's among them, in a fleet of
  // `boxes`. In a large fleet they read the topics of ShareAcrossFleet from
  // each other, so that one box reads these from the store for all.
  void SetFirstBoxes(const std::vector<LogBox>& first_boxes, size_t boxes);
  void ShareAcrossFleet(const std::string& topic) {
    reader_.ShareAcrossFleet(topic);
  }

  // Updates the age of what is known of each topic.
  void SetGauges();
  // Whether this box would now read the topic from the store.
  bool ReadsStore(const std::string& topic) {
    return reader_.ReadsStore(topic);
  }
  // Reads the store for another box, which it does not serve.
  void Relay(const LogQuery& query, ReadCallback callback) {
    reader_.Relay(query, std::move(callback));
  }

  void Read(const LogQuery& query, ReadCallback callback) override {
    reader_.Read(query, std::move(callback));
  }
  void ReadNewest(const LogQuery& query, const std::string& after_key,
                  NewestCallback callback) override {
    reader_.ReadNewest(query, after_key, std::move(callback));
  }
  void Append(const std::string& topic, const KeyedRecord& record,
              std::optional<uint64_t> at, AppendCallback callback) override {
    store_->Append(topic, record, at, std::move(callback));
  }

 private:
  // LogTransport.
  void ReadPeer(const LogBox& box, const PeerRead& read,
                ReadCallback callback) override;
  TimePoint Now() const override { return Clock::now(); }
  void RunAfter(nanoseconds delay, std::function<void()> action) override;
  double Draw() override;
  void RecordOutcome(const ReadOutcome& outcome) override;
  void RecordSearch(const SearchStart& start) override;
  void RecordStoreFailure(const StoreFailure& failure) override;

  // Sends the read again, when the kept connection that it was sent on has
  // failed. False: its time is up.
  bool Repeat(const LogBox& box, const PeerRead& read, TimePoint asked_at,
              const ReadCallback& callback);
  // What the box answered; an error when it can't be used.
  std::error_code Decode(const LogQuery& query, TimePoint asked_at,
                         const std::string& body, LogPage* page) const;
  void RecordAnswer(const LogBox& box, const PeerRead& read,
                    std::error_code error);

  boost::asio::io_context* const loop_;
  KeyedLog* const store_;
  Metrics* const metrics_;
  HttpConnections connections_;
  const TimePoint started_;
  std::mt19937 random_;
  LogReader reader_;
  // Expires with this, so that timers do nothing afterwards.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace leverwick

#endif  // DAEMON_SHARED_LOG_H_
