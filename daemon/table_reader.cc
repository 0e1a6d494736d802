// A step is one read, of the reader's tail or of the platform's log, and the
// application of what came. Reads wait at the log's end, so a change spreads
// as fast as two exchanges.
//
// A box whose next offset has expired loads a snapshot: it scans the retained
// records for one, keeps those that follow, and applies them to it.

#include "daemon/table_reader.h"

#include "leverwick/slots.h"
#include "net/config_log.h"
#include "net/json.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("table");
constexpr uint32_t kBatch = 512;
constexpr size_t kRecent = 4096;
constexpr milliseconds kRetryPause(100);

}  // namespace

void TableReader::Start() {
  worker_.Start(milliseconds(1), [this] { Step(); });
}

std::error_code TableReader::ReadPeer(const Member& member, uint64_t from,
                                      TailReply* reply) {
  milliseconds wait = ToMilliseconds(node_->settings.table().poll());
  TailRequest request;
  request.set_stream(kConfigStream);
  request.set_from(from);
  request.set_max_records(kBatch);
  request.set_wait_ms(static_cast<uint32_t>(wait.count()));
  return node_->peers.Call(member, "Tail", request, reply, wait);
}

std::error_code TableReader::ReadOnce(TailReply* reply, bool* from_peer) {
  uint64_t from = table_.next_offset();
  Member reader;
  *from_peer = node_->Reader(&reader);
  if (*from_peer) {
    if (!ReadPeer(reader, from, reply) && !reply->cut_off()) return {};
    AttemptFailed();
  }
  *from_peer = false;
  reply->Clear();
  return node_->platform.Read(kConfigStream, from, kBatch,
                              ToMilliseconds(node_->settings.table().poll()),
                              reply);
}

// Each call of a step is an attempt of its own. Together they may hang for
// longer than the time after which a box counts as paused, while the box runs
// on.
void TableReader::AttemptFailed() {
  node_->freshness.RecordRead(false, table_.next_offset(), Clock::now());
}

void TableReader::Step() {
  TailReply reply;
  bool from_peer = false;
  std::error_code error = ReadOnce(&reply, &from_peer);
  bool expired = error == make_error_code(Result::kExpired);
  if (expired) {
    if (!StartFromSnapshot()) StartFromPeers();
    return;
  }
  if (error) {
    AttemptFailed();
    // Cut off from the platform: a peer may still know more.
    bool helped = StartFromPeers();
    AttemptFailed();
    if (!helped) std::this_thread::sleep_for(kRetryPause);
    return;
  }
  TakeSnapshot(reply);
  Apply(reply);
  node_->freshness.RecordRead(true, table_.next_offset(), Clock::now());
  MaybeWriteSnapshot(from_peer ? 0 : reply.first());
}

std::vector<Member> TableReader::KnownPeers() const {
  Roster roster = node_->CurrentRoster();
  std::vector<Member> peers;
  for (const Member& member : roster.members()) {
    if (member.life() != node_->life) peers.push_back(member);
  }
  for (const std::string& seed : node_->settings.peers().seeds()) {
    if (seed == node_->settings.listen().control()) continue;
    peers.emplace_back();
    peers.back().set_address(seed);  // any life
  }
  return peers;
}

bool TableReader::StartFromPeers() {
  std::vector<Member> peers = KnownPeers();
  if (peers.empty()) return false;
  const Member& peer = peers[next_peer_++ % peers.size()];
  TailRequest request;
  request.set_stream(kConfigStream);
  request.set_from(table_.next_offset());
  request.set_max_records(kBatch);
  TailReply reply;
  if (node_->peers.Call(peer, "Tail", request, &reply)) return false;
  uint64_t before = table_.next_offset();
  TakeSnapshot(reply);
  Apply(reply);
  return table_.next_offset() > before;
}

void TableReader::TakeSnapshot(const TailReply& reply) {
  if (reply.snapshot().empty()) return;
  TableState state;
  if (!state.ParseFromString(reply.snapshot())) return;
  if (state.next_offset() <= table_.next_offset()) return;
  std::lock_guard<std::mutex> lock(mutex_);
  table_ = Table(state);
  recent_.clear();
  log_.Info("Table taken from a snapshot.",
            {{"offset", std::to_string(state.next_offset())}});
}

bool TableReader::StartFromSnapshot() {
  Table table;
  TailReply tail;
  std::error_code error = ReadTable(
      &node_->platform, &table,
      [&tail](const TailRecord& record, const ConfigRecord&,
              const Table::ApplyResult&) { *tail.add_records() = record; });
  if (error) {
    log_.Error("The log holds no usable snapshot.",
               {{"code", std::to_string(error.value())}});
    return false;
  }
  {
    std::lock_guard<std::mutex> lock(mutex_);
    table_ = std::move(table);
    recent_.assign(tail.records().begin(), tail.records().end());
  }
  Publish();
  node_->freshness.RecordRead(true, table_.next_offset(), Clock::now());
  return true;
}

void TableReader::Apply(const TailReply& reply) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const TailRecord& tail : reply.records()) {
      if (tail.offset() != table_.next_offset()) continue;
      ConfigRecord record = ParseConfigRecord(tail.data());
      Table::ApplyResult verdict = table_.Apply(tail.offset(), record);
      if (verdict.is_snapshot) {
        last_snapshot_ = record.snapshot().through_offset();
      }
      recent_.push_back(tail);
      if (recent_.size() > kRecent) recent_.pop_front();
      if (verdict.is_snapshot) continue;
      log_.Info(verdict.error ? "Change rejected." : "Change in force.",
                {{"offset", std::to_string(tail.offset())},
                 {"author", record.author()},
                 {"code", std::to_string(verdict.error.value())}});
    }
  }
  Publish();
}

void TableReader::Publish() {
  bool first = !node_->table_ready;
  if (!first && node_->tables.table()->next_offset() == table_.next_offset()) {
    return;
  }
  // An empty log is a table too: the first edit is yet to come.
  node_->tables.Replace(std::make_shared<const Table>(table_));
  node_->table_ready = true;
  node_->metrics.Set("leverwick_table_offset", "",
                     static_cast<double>(table_.next_offset()));
  changed_.notify_all();
}

bool TableReader::ServeTail(const TailRequest& request, TailReply* reply) {
  if (!node_->table_ready) return false;
  std::unique_lock<std::mutex> lock(mutex_);
  // While rosters differ, two boxes may each take the other for the reader.
  // Neither waits for the other then: only who reads the log lets others wait.
  bool reads_log = node_->IsReader();
  milliseconds wait(reads_log ? request.wait_ms() : 0);
  changed_.wait_for(lock, wait, [&] {
    return node_->stopping || table_.next_offset() > request.from();
  });
  reply->set_next(table_.next_offset());
  TableFreshness::State state = node_->freshness.StateAt(Clock::now());
  reply->set_cut_off(!reads_log || state != TableFreshness::kFresh);
  uint64_t first =
      recent_.empty() ? table_.next_offset() : recent_.front().offset();
  reply->set_first(first);
  if (request.from() < first) {
    reply->set_snapshot(table_.ToState().SerializeAsString());
    return true;
  }
  for (const TailRecord& record : recent_) {
    if (record.offset() < request.from()) continue;
    if (reply->records_size() >= static_cast<int>(request.max_records())) break;
    *reply->add_records() = record;
  }
  return true;
}

void TableReader::MaybeWriteSnapshot(uint64_t first_retained) {
  auto every = static_cast<uint64_t>(node_->settings.table().snapshot_every());
  bool many = table_.next_offset() >= last_snapshot_ + every;
  // Without a snapshot among the retained records no fresh box can start.
  bool gone = first_retained > last_snapshot_;
  if (!node_->IsReader() || !(many || gone)) return;
  ConfigRecord record;
  record.set_edit_id(node_->life + "/snapshot");
  record.set_author(node_->life);
  Snapshot* snapshot = record.mutable_snapshot();
  snapshot->set_through_offset(table_.next_offset());
  *snapshot->mutable_state() = table_.ToState();
  uint64_t offset = 0;
  std::error_code error =
      node_->platform.Append(kConfigStream, MessageToJson(record), &offset);
  log_.Info("Snapshot written.", {{"offset", std::to_string(offset)},
                                  {"code", std::to_string(error.value())}});
  if (!error) last_snapshot_ = table_.next_offset();
}

}  // namespace leverwick
