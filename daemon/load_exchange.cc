// Notes are gathered until the first has waited for some milliseconds, or the
// datagram is full.

#include "daemon/load_exchange.h"

#include <algorithm>
#include <map>
#include <random>

#include "leverwick/gossip_fanout.h"

namespace leverwick {
namespace {

// How long a note waits for others: well below the 40 ms that the shortest
// prompts take to be read, so that the news is not older than the prompt.
constexpr milliseconds kGather{10};
// The same for the end of a request with a prompt, which runs for seconds and
// is one of many at its endpoint. Most go with a note that does not wait.
constexpr milliseconds kGatherEnds{500};
// Samples of endpoints' paces that a box tells in each interval, at most.
constexpr size_t kMaxPaces = 8;
constexpr std::chrono::seconds kPaceInterval{1};

// Whether the notes hold anything that is worth a datagram of its own.
bool HasNews(const PeerNotes& notes) {
  return !notes.sent().empty() || !notes.read().empty() ||
         !notes.ended().empty();
}

}  // namespace

LoadExchange::LoadExchange(boost::asio::io_context* loop, EngineLoads* loads,
                           PeerDatagrams* datagrams, const BoxLocation& self,
                           size_t most_far, Metrics* metrics)
    : loads_(loads),
      datagrams_(datagrams),
      box_(self.name),
      data_centre_(self.data_centre),
      most_far_(most_far),
      timer_(*loop),
      metrics_(metrics) {
  notes_.set_life(std::random_device{}());
  far_notes_.set_life(notes_.life());
}

LoadExchange::~LoadExchange() { loads_->SetObserver(nullptr); }

void LoadExchange::Start() {
  loads_->SetObserver(this);
  datagrams_->AddListener(this);
}

void LoadExchange::SetBoxes(const std::vector<PeerDatagrams::Peer>& boxes) {
  std::vector<PeerDatagrams::Address> far;
  std::map<std::string, PeerDatagrams::Address> near;
  std::vector<std::string> names;
  for (const PeerDatagrams::Peer& box : boxes) {
    if (box.data_centre != data_centre_) {
      far.push_back(box.address);
      continue;
    }
    near[box.name] = box.address;
    names.push_back(box.name);
  }
  told_.clear();
  far_told_.clear();
  for (const std::string& name : GossipRecipients(box_, std::move(names))) {
    told_.push_back(near[name]);
  }
  if (far.size() <= most_far_) far_told_ = std::move(far);
}

void LoadExchange::OnNotes(const PeerNotes& notes,
                           const PeerDatagrams::Address&) {
  TimePoint now = Clock::now();
  for (const PromptNote& note : notes.sent()) {
    SentRequest request;
    request.incarnation = notes.life();
    request.ticket = note.ticket();
    request.endpoint = note.endpoint();
    request.prefill_time = Seconds(note.reading_seconds());
    request.part_keys.assign(note.parts().begin(), note.parts().end());
    request.time_left = milliseconds(note.time_left_ms());
    loads_->RecordPeerSend(request, now);
  }
  for (uint64_t ticket : notes.read())
    loads_->RecordPeerPrefill(notes.life(), ticket);
  for (uint64_t ticket : notes.ended())
    loads_->RecordPeerEnd(notes.life(), ticket, now);
  RecordPaces(notes, now);
}

void LoadExchange::RecordPaces(const PeerNotes& notes, TimePoint now) {
  if (notes.paces().empty()) return;
  bool is_peer = notes.life() != EndpointSpeeds::kOwnIncarnation;
  if (!is_peer) return;
  for (const PaceNote& note : notes.paces()) {
    loads_->speeds()->Record(
        {notes.life(), note.endpoint(), note.percent() / 100.0}, now);
  }
  metrics_->Add("leverwick_pace_samples_total", "result=\"heard\"",
                notes.paces_size());
}

void LoadExchange::OnRequestSent(const SentRequest& request) {
  PromptNote* note = notes_.add_sent();
  note->set_ticket(request.ticket);
  note->set_endpoint(request.endpoint);
  note->set_reading_seconds(static_cast<float>(request.prefill_time.count()));
  note->mutable_parts()->Add(request.part_keys.begin(),
                             request.part_keys.end());
  note->set_time_left_ms(static_cast<uint32_t>(request.time_left.count()));
  if (request.has_prompt()) {
    PromptNote* far_note = far_notes_.add_sent();
    *far_note = *note;
    far_note->clear_time_left_ms();  // they are not told of its end
  } else if (request.time_left.count() > 0) {
    without_prompt_.insert(request.ticket);
  }
  SendWithin(kGather);
}

void LoadExchange::OnPrefillDone(uint64_t ticket) {
  notes_.add_read(ticket);
  far_notes_.add_read(ticket);
  SendWithin(kGather);
}

void LoadExchange::OnRequestEnded(uint64_t ticket) {
  notes_.add_ended(ticket);
  bool has_prompt = without_prompt_.erase(ticket) == 0;
  if (!has_prompt) told_twice_.push_back(ticket);
  SendWithin(has_prompt ? kGatherEnds : kGather);
}

void LoadExchange::OnPaceMeasured(const PaceSample& sample) {
  metrics_->Add("leverwick_pace_samples_total", "result=\"measured\"", 1);
  TimePoint now = Clock::now();
  if (now - paces_since_ >= kPaceInterval) {
    paces_since_ = now;
    paces_told_ = 0;
    paces_.clear();  // those that no datagram has taken with it are old
  }
  if (paces_told_ + paces_.size() < kMaxPaces) paces_.push_back(sample);
}

void LoadExchange::AddPaces() {
  for (const PaceSample& sample : paces_) {
    PaceNote* note = notes_.add_paces();
    note->set_endpoint(sample.endpoint);
    note->set_percent(
        static_cast<uint32_t>(std::clamp(100 * sample.ratio, 1.0, 1000.0)));
    if (HasNews(far_notes_)) *far_notes_.add_paces() = *note;
  }
  paces_told_ += paces_.size();
  if (!paces_.empty()) {
    metrics_->Add("leverwick_pace_samples_total", "result=\"told\"",
                  static_cast<double>(paces_.size()));
  }
  paces_.clear();
}

void LoadExchange::SendWithin(milliseconds delay) {
  if (notes_.ByteSizeLong() >= PeerDatagrams::kFullBytes) return Send();
  TimePoint due = Clock::now() + delay;
  if (waiting_ && due_ <= due) return;
  waiting_ = true;
  due_ = due;
  timer_.expires_at(due);
  timer_.async_wait([this](auto error) {
    if (error) return;
    waiting_ = false;
    Send();
  });
}

// The end of a request without a prompt is told in two datagrams, since a lost
// one leaves a place taken in other boxes' sight until the request's time is
// over. Without the end of one with a prompt, its endpoint counts one of many.
void LoadExchange::Send() {
  if (HasNews(notes_)) {
    AddPaces();
    notes_.mutable_ended()->Add(told_once_.begin(), told_once_.end());
    told_once_ = std::move(told_twice_);
    told_twice_.clear();
  }
  SendTo(told_, &notes_);
  SendTo(far_told_, &far_notes_);
}

void LoadExchange::SendTo(const std::vector<PeerDatagrams::Address>& boxes,
                          PeerNotes* notes) {
  if (!HasNews(*notes)) return;
  datagrams_->Send(*notes, boxes);
  notes->clear_sent();
  notes->clear_read();
  notes->clear_ended();
  notes->clear_paces();
}

}  // namespace leverwick
