// The copies go to the first members that also get this box's heartbeats, so
// those that judge a box's silence hold its open requests.
//
// Settling waits until a life is in no roster and not in the platform's list.
// Both holders may settle the same life; the ledger keeps one line an id.

#include "daemon/bill_keeper.h"

#include <json/json.h>

#include <algorithm>

#include "leverwick/bill_encoding.h"
#include "net/json.h"
#include "net/json_fields.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("bills");
constexpr size_t kLinesPerAppend = 2000;
constexpr milliseconds kSettlePause(500);
// After this long an endpoint that can't be asked is given up on.
constexpr Seconds kGiveUpAfter(30.0);
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

void BillKeeper::Start() {
  appender_.Start(FromProto(node_->settings.bills().append_interval()),
                  [this] { AppendStep(); });
  settler_.Start(kSettlePause, [this] { SettleStep(); });
}

void BillKeeper::Stop() {
  appender_.Stop();
  settler_.Stop();
  std::lock_guard<std::mutex> lock(mutex_);
  streams_.clear();
}

std::vector<std::shared_ptr<CopyStream>> BillKeeper::Streams() {
  std::vector<Member> targets = node_->membership.HeartbeatTargets();
  auto copies = static_cast<size_t>(node_->settings.bills().copies());
  if (targets.size() > copies) targets.resize(copies);
  std::vector<std::shared_ptr<CopyStream>> streams;
  std::vector<std::shared_ptr<CopyStream>> dropped;
  std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, std::shared_ptr<CopyStream>> kept;
  for (const Member& target : targets) {
    auto found = streams_.find(target.life());
    kept[target.life()] =
        found != streams_.end()
            ? found->second
            : std::make_shared<CopyStream>(node_, target,
                                           [this] { return CopyState(); });
    streams.push_back(kept[target.life()]);
  }
  streams_.swap(kept);
  for (auto& entry : kept) dropped.push_back(entry.second);
  return streams;
}

int BillKeeper::copied_to() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(std::count_if(
      streams_.begin(), streams_.end(),
      [](const auto& entry) { return entry.second->caught_up(); }));
}

IntentBatch BillKeeper::CopyState() const {
  // Open requests first: one that is billed meanwhile is then in both, never
  // in neither.
  IntentBatch state;
  for (const auto& entry : open_.RecordsFor(node_->life).open) {
    for (const Intent& intent : entry.second) *state.add_opened() = intent;
  }
  for (const BillLine& line : node_->bills.PeekOldest(node_->bills.size())) {
    *state.add_billed() = line;
  }
  return state;
}

int BillKeeper::Open(const Intent& intent) {
  IntentBatch batch;
  batch.set_life(node_->life);
  *batch.add_opened() = intent;
  open_.Apply(batch);
  std::vector<std::shared_ptr<CopyStream>> streams = Streams();
  std::vector<uint64_t> numbers;
  for (const auto& stream : streams) numbers.push_back(stream->Add(batch));
  int copies = 0;
  for (size_t i = 0; i < streams.size(); ++i) {
    copies += streams[i]->Wait(numbers[i]) ? 1 : 0;
  }
  if (copies == 0) node_->metrics.Add("leverwick_uncopied_total", "", 1);
  return copies;
}

void BillKeeper::Close(const BillLine& line) {
  node_->bills.Add(line);
  open_.RemoveSettled(node_->life, {line.sequence()});
  IntentBatch batch;
  *batch.add_billed() = line;
  for (const auto& stream : Streams()) stream->Add(batch);
}

std::error_code BillKeeper::Append(const std::string& life,
                                   const std::vector<BillLine>& lines) {
  BillRecord record;
  record.set_life(life);
  record.set_author_life(node_->life);
  for (const BillLine& line : lines) *record.add_lines() = line;
  uint64_t offset = 0;
  return node_->platform.Append(kBillStream, EncodeRecord(record), &offset);
}

void BillKeeper::AppendStep() {
  std::lock_guard<std::mutex> lock(append_mutex_);
  std::vector<BillLine> lines = node_->bills.PeekOldest(kLinesPerAppend);
  node_->metrics.Set("leverwick_bills_queued", "",
                     static_cast<double>(node_->bills.size()));
  if (lines.empty()) return;
  std::error_code error = Append(node_->life, lines);
  if (error) {
    // Also when the answer was lost: the ledger drops what comes twice.
    log_.Warning("Bills wait for the log.",
                 {{"lines", std::to_string(lines.size())},
                  {"code", std::to_string(error.value())}});
    return;
  }
  node_->bills.RemoveAppended(lines.size());
  IntentBatch batch;
  for (const BillLine& line : lines) batch.add_appended(line.sequence());
  for (const auto& stream : Streams()) stream->Add(batch);
}

bool BillKeeper::Flush() {
  AppendStep();
  if (node_->bills.size() == 0) return true;
  IntentBatch batch;
  for (const BillLine& line : node_->bills.PeekOldest(node_->bills.size())) {
    *batch.add_billed() = line;
  }
  bool held = false;
  for (const auto& stream : Streams()) {
    held = stream->Wait(stream->Add(batch)) || held;
  }
  return held;
}

bool BillKeeper::IsOver(const std::string& life) {
  TimePoint now = Clock::now();
  Roster roster = node_->CurrentRoster();
  bool member =
      std::any_of(roster.members().begin(), roster.members().end(),
                  [&life](const Member& m) { return m.life() == life; });
  if (member || !node_->membership.IsGone(life, now)) {
    over_since_.erase(life);
    return false;
  }
  TimePoint since = over_since_.emplace(life, now).first->second;
  return now - since >= FromProto(node_->settings.bills().settle_after());
}

void BillKeeper::SettleStep() {
  Streams();  // a new target hears of what is open without waiting for news
  for (const std::string& life : node_->intents.incarnations()) {
    if (!IsOver(life)) continue;
    bool give_up = Clock::now() - over_since_[life] > kGiveUpAfter;
    if (Settle(life, give_up)) over_since_.erase(life);
  }
}

bool BillKeeper::Settle(const std::string& life, bool give_up) {
  IntentStore::Records held = node_->intents.RecordsFor(life);
  std::vector<BillLine> lines = held.billed;
  bool all = true;
  for (const auto& entry : held.open) {
    std::vector<DispatchState> states;
    for (const Intent& intent : entry.second) {
      states.push_back(Ask(life, intent));
    }
    BillLine line;
    if (BuildSettlementLine(entry.first, entry.second, states, give_up,
                            &line)) {
      line.set_why("settled by " + node_->life);
      lines.push_back(line);
    } else {
      all = false;
    }
  }
  if (!lines.empty() && Append(life, lines)) return false;
  std::vector<uint64_t> sequences;
  for (const BillLine& line : lines) sequences.push_back(line.sequence());
  node_->intents.RemoveSettled(life, sequences);
  if (lines.empty()) return all;
  log_.Info("Open requests settled.",
            {{"life", life}, {"lines", std::to_string(lines.size())}});
  node_->metrics.Add("leverwick_settled_total", "",
                     static_cast<double>(lines.size()));
  return all;
}

DispatchState BillKeeper::Ask(const std::string& life, const Intent& intent) {
  EndpointCall call;
  call.method = "GET";
  call.address = intent.endpoint();
  call.path = "/v1/requests/" + RequestId(life, intent.sequence()) + "." +
              std::to_string(intent.attempt());
  call.connect_timeout =
      FromProto(node_->settings.requests().connect_timeout());
  call.timeout = FromProto(node_->settings.peers().timeout());
  EndpointAnswer answer = node_->endpoint_client.Call(call);
  DispatchState state;
  if (answer.kind != EndpointAnswer::kAnswered) return state;
  Json::Value value;
  if (answer.status == kNotFound) {
    state.state = DispatchState::kNeverSeen;
  } else if (answer.status == kOk && ReadJson(answer.body, &value)) {
    std::string problem;
    JsonFields fields(value, &problem);
    bool finished = fields.Text("state") == "finished";
    uint64_t prompt_tokens = fields.Whole("prompt_tokens");
    uint64_t completion_tokens = fields.Whole("completion_tokens");
    if (!fields.ok()) return state;
    state.state = finished ? DispatchState::kFinished : DispatchState::kRunning;
    state.prompt_tokens = static_cast<int64_t>(prompt_tokens);
    state.completion_tokens = static_cast<int64_t>(completion_tokens);
  }
  return state;
}

}  // namespace leverwick
