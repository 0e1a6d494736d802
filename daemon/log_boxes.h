// The boxes of the fleet, by a topic in which each enters itself; those of this
// data centre may be read from.
//
// A box enters itself when it starts and again when its entry is missing or
// wrong. Whoever has asked a box in vain for a long time drops its entry; a box
// that comes back from a freeze or a cut finds that and enters itself anew.
//
//   LogBoxes boxes(&loop, &log, self, data_centre, topic);
//   boxes.Start(first_start, [] { other topics may be read now });

#ifndef DAEMON_LOG_BOXES_H_
#define DAEMON_LOG_BOXES_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <vector>

#include "daemon/shared_log.h"
#include "daemon/topic_follower.h"
#include "leverwick/fleet_start.h"
#include "leverwick/read_sources.h"

namespace leverwick {

struct FleetBox {
  std::string name;
  std::string data_centre;
  std::string address;  // ip:port at which other boxes reach it
  double capacity = 1;
};

class LogBoxes : private TopicFollower::Listener {
 public:
  LogBoxes(boost::asio::io_context* loop, SharedLog* log, const LogBox& self,
           std::string data_centre, std::string topic);

  // `ready` is called once, when the list is complete as far as can be told
  // (leverwick/fleet_start.h). `first_start`: all boxes start now for the first
  // time.
  void Start(bool first_start, std::function<void()> ready);
  // Drops entries of boxes that are gone; called a few times a second.
  void Tick(TimePoint now);

  // Called with all boxes but this one when the list has been read.
  void OnFleet(std::function<void(const std::vector<FleetBox>&)> callback) {
    on_fleet_ = std::move(callback);
  }

  // When all boxes in touch know this one: at once if the list held it when it
  // was first read.
  TimePoint known_since() const { return known_since_; }

  LogCache* cache() { return follower_.cache(); }
  size_t size() const { return boxes_.size(); }

 private:
  // TopicFollower::Listener.
  void OnSnapshot(const std::vector<KeyedRecord>& records) override;
  void OnRecord(const KeyedRecord& record) override;
  void OnRead(TimePoint as_of) override;
  // The last list stays.
  void OnReadFailed(std::error_code) override {}
  std::optional<milliseconds> PauseAfterFailure() override;

  void Learn(const KeyedRecord& record);
  void TellFleet();
  // The box of each data centre that the others of it read from.
  std::vector<LogBox> FirstBoxes() const;
  // Tells that the list is complete, once it is.
  void CheckSettled(TimePoint now);
  // Begins to read the list once that is due.
  void StartReading();
  // Writes the own entry if that is due.
  void EnterSelf(TimePoint now);
  void Drop(const std::string& name);

  SharedLog* const log_;
  const LogBox self_;
  const std::string data_centre_;
  const std::string topic_;
  const KeyedRecord own_entry_;
  TopicFollower follower_;
  std::function<void()> ready_;
  std::map<std::string, LogBox> boxes_;    // of this data centre, by name
  std::map<std::string, FleetBox> fleet_;  // all but this one, by name
  std::function<void(const std::vector<FleetBox>&)> on_fleet_;
  FleetStart fleet_start_;
  bool entered_ = false;  // the topic holds the own entry
  TimePoint known_since_ = TimePoint::max();
  bool dropping_ = false;
  std::mt19937 random_;
};

}  // namespace leverwick

#endif  // DAEMON_LOG_BOXES_H_
