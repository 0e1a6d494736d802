// The list is read before anything else, so that a box which starts among
// others reads all the rest from one of them. What is done when follows from
// FleetStart.

#include "daemon/log_boxes.h"

#include "leverwick/digest.h"
#include "net/json.h"
#include "net/log.h"
#include "schema/peer.pb.h"

namespace leverwick {
namespace {

const Log kLog("boxes");

// A new box is asked by others this late; until then it reads for itself.
constexpr milliseconds kInterval = FleetStart::kInterval;
// The list may be old: who is not there any more is passed over.
constexpr milliseconds kMostAge{30000};
// Within which all boxes have read an entry: the oldest list that is taken from
// another box, and the time until the next read.
constexpr milliseconds kListsAgree = kMostAge + kInterval + kInterval / 2;
// Longer than a restart or a cut lasts. Each box adds up to half of it, so that
// one of them writes and the others find it done.
constexpr nanoseconds kDropAfter = std::chrono::seconds(60);

KeyedRecord EntryOf(const LogBox& box, const std::string& data_centre) {
  LogBoxEntry entry;
  entry.set_data_centre(data_centre);
  entry.set_address(box.address);
  entry.set_capacity(box.capacity);
  return {box.name, MessageToJson(entry)};
}

}  // namespace

LogBoxes::LogBoxes(boost::asio::io_context* loop, SharedLog* log,
                   const LogBox& self, std::string data_centre,
                   std::string topic)
    : log_(log),
      self_(self),
      data_centre_(std::move(data_centre)),
      topic_(std::move(topic)),
      own_entry_(EntryOf(self_, data_centre_)),
      follower_(loop, log, {topic_, milliseconds(0), kInterval, kMostAge},
                this),
      fleet_start_(false, Clock::now(), 0),
      random_(std::random_device{}()) {}

void LogBoxes::Start(bool first_start, std::function<void()> ready) {
  ready_ = std::move(ready);
  TimePoint now = Clock::now();
  double draw = std::uniform_real_distribution<>(0, 1)(random_);
  fleet_start_ = FleetStart(first_start, now, draw);
  StartReading();
}

void LogBoxes::StartReading() {
  if (fleet_start_.MayReadList()) follower_.Start();
}

void LogBoxes::CheckSettled(TimePoint now) {
  if (!ready_ || !fleet_start_.IsSettled(now)) return;
  auto ready = std::move(ready_);
  ready_ = nullptr;
  kLog.Info("The list of boxes is complete.",
            {{"boxes", std::to_string(fleet_.size() + 1)},
             {"listed", entered_ ? "yes" : "no"}});
  ready();
}

std::optional<milliseconds> LogBoxes::PauseAfterFailure() {
  double draw = std::uniform_real_distribution<>(0, 1)(random_);
  return std::chrono::duration_cast<milliseconds>(
      fleet_start_.PauseAfterFailedRead(draw));
}

void LogBoxes::Tick(TimePoint now) {
  EnterSelf(now);
  CheckSettled(now);
  if (dropping_) return;
  auto patience = kDropAfter + std::chrono::duration_cast<nanoseconds>(
                                   kDropAfter / 2 * UnitHash(self_.name));
  for (const std::string& name : log_->LostFor(patience, now)) {
    if (boxes_.count(name) > 0) return Drop(name);
  }
}

void LogBoxes::OnSnapshot(const std::vector<KeyedRecord>& records) {
  boxes_.clear();
  fleet_.clear();
  entered_ = false;
  for (const KeyedRecord& record : records) Learn(record);
}

void LogBoxes::OnRecord(const KeyedRecord& record) { Learn(record); }

void LogBoxes::OnRead(TimePoint) {
  // Also for a box that others have dropped and that enters itself again.
  if (!entered_) {
    known_since_ = Clock::now() + kListsAgree;
  } else if (known_since_ == TimePoint::max()) {
    known_since_ = Clock::now();
  }
  std::vector<LogBox> boxes;
  for (const auto& box : boxes_) boxes.push_back(box.second);
  log_->SetBoxes(boxes);
  log_->SetFirstBoxes(FirstBoxes(), fleet_.size() + 1);
  TellFleet();
  TimePoint now = Clock::now();
  fleet_start_.RecordList(fleet_.size() + 1, entered_, now);
  EnterSelf(now);
  CheckSettled(now);
  follower_.SetInterval(
      std::chrono::duration_cast<milliseconds>(fleet_start_.ReadInterval(now)));
}

std::vector<LogBox> LogBoxes::FirstBoxes() const {
  std::map<std::string, LogBox> first = {{data_centre_, self_}};
  for (const auto& [name, box] : fleet_) {
    LogBox candidate{name, box.address, box.capacity};
    auto [known, is_new] = first.emplace(box.data_centre, candidate);
    if (!is_new && RanksBefore(candidate, known->second)) {
      known->second = candidate;
    }
  }
  std::vector<LogBox> boxes;
  for (const auto& [data_centre, box] : first) boxes.push_back(box);
  return boxes;
}

void LogBoxes::TellFleet() {
  if (!on_fleet_) return;
  std::vector<FleetBox> fleet;
  for (const auto& box : fleet_) fleet.push_back(box.second);
  on_fleet_(fleet);
}

void LogBoxes::Learn(const KeyedRecord& record) {
  if (record.key == self_.name) entered_ = record.value == own_entry_.value;
  boxes_.erase(record.key);
  fleet_.erase(record.key);
  if (!record.value) return;
  LogBoxEntry entry;
  if (!MessageFromJson(*record.value, &entry)) {
    kLog.Error("A box's entry can't be read.", {{"box", record.key}});
    return;
  }
  if (record.key != self_.name) {
    fleet_[record.key] = {record.key, entry.data_centre(), entry.address(),
                          entry.capacity()};
  }
  if (entry.data_centre() != data_centre_) return;
  boxes_[record.key] = {record.key, entry.address(), entry.capacity()};
}

void LogBoxes::EnterSelf(TimePoint now) {
  if (!fleet_start_.TakeAppend(now)) return;
  log_->Append(topic_, own_entry_, std::nullopt, [this](std::error_code error) {
    double draw = std::uniform_real_distribution<>(0, 1)(random_);
    fleet_start_.RecordAppend(!error, draw, Clock::now());
    StartReading();
    if (!error) return;
    kLog.Warning("This box's entry was not written.",
                 {{"why", error.message()}});
  });
}

void LogBoxes::Drop(const std::string& name) {
  kLog.Warning("A box has not answered for long; its entry is dropped.",
               {{"box", name}});
  boxes_.erase(name);
  dropping_ = true;
  log_->Append(topic_, {name, std::nullopt}, std::nullopt,
               [this, name](std::error_code error) {
                 dropping_ = false;
                 if (!error) return;
                 kLog.Warning("An entry was not dropped.",
                              {{"box", name}, {"why", error.message()}});
               });
}

}  // namespace leverwick
