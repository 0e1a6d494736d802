// One thread a peer. The lock is given up while a message is under way and
// while the state is read, and news gathers meanwhile.

#include "daemon/copy_stream.h"

#include <algorithm>

#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("copies");
// Opened requests and lines in one message, at most.
constexpr size_t kMostItems = 2000;

}  // namespace

CopyStream::CopyStream(Node* node, Member peer,
                       std::function<IntentBatch()> state)
    : node_(node),
      peer_(std::move(peer)),
      state_(std::move(state)),
      sender_(node->life) {
  thread_ = std::thread([this] { Run(); });
}

CopyStream::~CopyStream() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

uint64_t CopyStream::Add(const IntentBatch& news) {
  std::lock_guard<std::mutex> lock(mutex_);
  sender_.AddDelta(news);
  changed_.notify_all();
  if (failing_) return 0;
  awaited_ = next_number_;
  return awaited_;
}

bool CopyStream::Wait(uint64_t number) {
  if (number == 0) return false;
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [&] { return stopped_ || answered_ >= number; });
  return held_ >= number;
}

bool CopyStream::caught_up() const {
  std::lock_guard<std::mutex> lock(mutex_);
  bool under_way = answered_ + 1 < next_number_;
  return !failing_ && !under_way && sender_.has_begun() && sender_.is_idle();
}

void CopyStream::Begin(std::unique_lock<std::mutex>* lock) {
  sender_.BeginGeneration(++node_->copy_generation);
  lock->unlock();
  IntentBatch state = state_();
  lock->lock();
  sender_.AddSnapshot(state);
}

bool CopyStream::SendOne(std::unique_lock<std::mutex>* lock) {
  CopyBatch message = sender_.NextMessage(kMostItems);
  lock->unlock();
  Ack ack;
  std::error_code error =
      node_->peers.CallFrame(peer_, FRAME_COPIES, message, &ack);
  lock->lock();
  if (!error && ack.accepted()) return true;
  sender_.RecordFailure();
  return false;
}

bool CopyStream::SendGathered(std::unique_lock<std::mutex>* lock) {
  if (!sender_.has_begun()) Begin(lock);
  size_t left = sender_.queued();
  do {
    if (!SendOne(lock)) return false;
    left -= std::min(left, kMostItems);
  } while (left > 0 && !stopped_);
  return true;
}

void CopyStream::Run() {
  nanoseconds linger = FromProto(node_->settings.bills().linger());
  nanoseconds pause = FromProto(node_->settings.peers().heartbeat());
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] {
      return stopped_ || !sender_.has_begun() || !sender_.is_idle() ||
             awaited_ >= next_number_;
    });
    if (stopped_) return;
    changed_.wait_for(lock, linger, [this] { return stopped_; });
    uint64_t number = next_number_++;
    bool good = SendGathered(&lock);
    // Once more at once: those who wait should not pay for one lost message.
    if (!good && !failing_ && !stopped_) good = SendGathered(&lock);
    if (good == failing_) {
      log_.Info(good ? "A peer takes copies again." : "A peer takes no copies.",
                {{"peer", peer_.life()}});
    }
    failing_ = !good;
    answered_ = number;
    // A later message that came holds what an earlier one lost.
    if (good) held_ = number;
    changed_.notify_all();
    if (!good) changed_.wait_for(lock, pause, [this] { return stopped_; });
  }
}

}  // namespace leverwick
