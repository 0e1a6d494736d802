// Times go as ages, since clocks of boxes differ. What is told of a limit seems
// newer by the time on the way, which keeps a limit rather than ends it; an end
// is therefore told as older than it is, by more than that time.

#include "daemon/permit_exchange.h"

#include <algorithm>
#include <sstream>

namespace leverwick {
namespace {

// How often waiting requests look again while an ask is open: they wait little
// longer than they may.
constexpr milliseconds kLook{50};
// Longer than a datagram is on its way.
constexpr milliseconds kOnTheWay{200};
// Between two rounds in which a new box tells others of itself: datagrams get
// lost, and boxes that start together learn of each other meanwhile.
constexpr milliseconds kIntroduceAgain{400};

std::string TextOf(const PeerDatagrams::Address& address) {
  std::ostringstream text;
  text << address;
  return text.str();
}

milliseconds AgeOf(TimePoint at, TimePoint now) {
  auto age = std::chrono::duration_cast<milliseconds>(now - at);
  return std::max(age, milliseconds(0));
}

LimitNote NoteOf(const LimitNews& news, TimePoint now) {
  LimitNote note;
  note.set_endpoint(news.endpoint);
  note.set_per_second(news.per_second.value_or(0));
  note.set_ended(!news.per_second);
  milliseconds age = AgeOf(news.at, now);
  if (!news.per_second) age += kOnTheWay;
  note.set_age_ms(static_cast<uint32_t>(age.count()));
  return note;
}

LimitNews NewsOf(const LimitNote& note, TimePoint now) {
  LimitNews news;
  news.endpoint = note.endpoint();
  // No box tells what it could not have read in an answer.
  if (!note.ended()) news.per_second = std::max(0.0, note.per_second());
  news.at = now - milliseconds(note.age_ms());
  return news;
}

}  // namespace

PermitExchange::PermitExchange(boost::asio::io_context* loop,
                               const BoxLocation& self, LimitWatch* watch,
                               const EndpointDirectory* directory,
                               PeerDatagrams* datagrams, Metrics* metrics)
    : watch_(watch),
      directory_(directory),
      datagrams_(datagrams),
      metrics_(metrics),
      self_(self),
      agreement_(self),
      introduction_(*loop),
      timer_(*loop) {}

PermitExchange::~PermitExchange() { watch_->permits()->SetTransport(nullptr); }

void PermitExchange::Start() {
  watch_->permits()->SetTransport(this);
  watch_->OnNews([this](const LimitNews& news) {
    Tell(news);
    Introduce();
  });
  datagrams_->AddListener(this);
}

void PermitExchange::SetBoxes(const std::vector<PeerDatagrams::Peer>& boxes,
                              TimePoint known_since) {
  std::map<std::string, PeerDatagrams::Address> before;
  before.swap(boxes_);
  std::vector<BoxLocation> listed;
  for (const PeerDatagrams::Peer& box : boxes) {
    boxes_[box.name] = box.address;
    listed.push_back({box.name, box.data_centre});
  }
  agreement_.SetListedBoxes(listed);
  // Boxes that told of themselves may not be listed yet.
  for (const BoxLocation& box : agreement_.others()) {
    auto found = before.find(box.name);
    if (found != before.end()) boxes_.insert(*found);
  }
  agreement_.SetKnownToAllSince(known_since);
  UseBoxes();
  for (const auto& [name, address] : boxes_) {
    if (before.count(name) == 0) Greet(address);
  }
  Introduce();
}

void PermitExchange::UseBoxes() {
  bool is_known = used_digest_ == agreement_.digest() &&
                  used_active_from_ == agreement_.active_from();
  if (is_known) return;
  used_digest_ = agreement_.digest();
  used_active_from_ = agreement_.active_from();
  watch_->permits()->SetOtherBoxes(agreement_.others());
  watch_->permits()->AllowGrantsFrom(agreement_.active_from());
}

// A box that is new in the list would otherwise have to wait until all others
// have surely read of it, and a fleet of new boxes would use no limited
// endpoint for as long.
//
// Nothing is told while no endpoint names a limit, since each box tells each
// other one.
void PermitExchange::Introduce() {
  if (introducing_ || !watch_->limits().any()) return;
  if (!agreement_.NeedsProbes(Clock::now())) return;
  introducing_ = true;
  for (const std::string& name : agreement_.BoxesToProbe()) {
    auto found = boxes_.find(name);
    if (found == boxes_.end()) continue;
    TellSelf(true, found->second);
    agreement_.RecordProbe(name);
  }
  UseBoxes();
  introduction_.expires_after(kIntroduceAgain);
  introduction_.async_wait([this](auto error) {
    introducing_ = false;
    if (!error) Introduce();
  });
}

BoxNote PermitExchange::NoteOfSelf() const {
  BoxNote note;
  note.set_name(self_.name);
  note.set_data_centre(self_.data_centre);
  note.set_digest(agreement_.digest());
  return note;
}

void PermitExchange::TellSelf(bool asks, const PeerDatagrams::Address& box) {
  PeerNotes notes;
  *notes.mutable_box() = NoteOfSelf();
  notes.mutable_box()->set_asks(asks);
  datagrams_->Send(notes, box);
}

void PermitExchange::Reply(uint64_t digest, const PeerDatagrams::Address& box) {
  if (agreement_.MatchesDigest(digest)) return TellSelf(false, box);
  PeerNotes notes;
  *notes.mutable_box() = NoteOfSelf();
  for (const BoxLocation& newcomer : agreement_.new_boxes()) {
    auto found = boxes_.find(newcomer.name);
    if (found == boxes_.end()) continue;
    KnownBox* known = notes.mutable_box()->add_newcomers();
    known->set_name(newcomer.name);
    known->set_data_centre(newcomer.data_centre);
    known->set_address(TextOf(found->second));
  }
  datagrams_->Send(notes, box);
}

void PermitExchange::HearBox(const BoxNote& note,
                             const PeerDatagrams::Address& from) {
  bool is_new = agreement_.RecordPeerDigest({note.name(), note.data_centre()},
                                            note.digest());
  if (note.name() != self_.name) boxes_[note.name()] = from;
  HearOfNewcomers(note);
  UseBoxes();
  if (note.asks()) Reply(note.digest(), from);
  if (is_new) Greet(from);
}

void PermitExchange::HearOfNewcomers(const BoxNote& note) {
  std::vector<FleetBox> newcomers;
  for (const KnownBox& known : note.newcomers()) {
    newcomers.push_back({known.name(), known.data_centre(), known.address()});
  }
  for (const auto& box : PeerDatagrams::PeersOf(newcomers)) {
    if (!agreement_.AddReportedBox({box.name, box.data_centre})) continue;
    boxes_[box.name] = box.address;
  }
}

void PermitExchange::Greet(const PeerDatagrams::Address& box) {
  TimePoint now = Clock::now();
  PeerNotes notes;
  for (const std::string& endpoint : watch_->limits().endpoints()) {
    const DirectoryEntry* entry = directory_->Find(endpoint);
    if (entry == nullptr) continue;
    if (!watch_->permits()->IsGranterFor(endpoint, entry->data_centre))
      continue;
    const ReportedLimit* limit = watch_->limits().Find(endpoint);
    *notes.add_limits() =
        NoteOf({endpoint, limit->requests_per_second, limit->reported_at}, now);
    if (notes.ByteSizeLong() < PeerDatagrams::kFullBytes) continue;
    datagrams_->Send(notes, box);
    notes.clear_limits();
  }
  if (!notes.limits().empty()) datagrams_->Send(notes, box);
}

void PermitExchange::Tell(const LimitNews& news) {
  PeerNotes notes;
  *notes.add_limits() = NoteOf(news, Clock::now());
  for (const auto& box : boxes_) datagrams_->Send(notes, box.second);
}

void PermitExchange::SendPermitRequest(const PermitRequest& ask,
                                       const std::string& box) {
  auto found = boxes_.find(box);
  if (found == boxes_.end()) return;
  TimePoint now = Clock::now();
  PeerNotes notes;
  PermitAskNote* note = notes.add_asks();
  note->set_number(ask.sequence_number);
  note->set_data_centre(ask.data_centre);
  *note->mutable_limit() = NoteOf(
      {ask.endpoint, ask.limit.requests_per_second, ask.limit.reported_at},
      now);
  datagrams_->Send(notes, found->second);
  if (!watching_) Watch();
}

void PermitExchange::Watch() {
  watching_ = true;
  timer_.expires_after(kLook);
  timer_.async_wait([this](auto error) {
    if (error) return;
    watching_ = false;
    watch_->permits()->Expire(Clock::now());
    watch_->WakeAll();
    if (!watching_ && watch_->permits()->AnyRequestPending()) Watch();
  });
}

void PermitExchange::OnNotes(const PeerNotes& notes,
                             const PeerDatagrams::Address& from) {
  TimePoint now = Clock::now();
  if (notes.has_box()) HearBox(notes.box(), from);
  for (const LimitNote& note : notes.limits()) {
    watch_->Heard(NewsOf(note, now), now);
  }
  if (!notes.limits().empty()) Introduce();
  PeerNotes reply;
  for (const PermitAskNote& note : notes.asks()) {
    LimitNews news = NewsOf(note.limit(), now);
    watch_->Heard(news, now);
    PermitRequest ask{note.number(),
                      news.endpoint,
                      note.data_centre(),
                      {news.per_second.value_or(0), news.at}};
    PermitReply answer = watch_->permits()->GrantPermit(ask, now);
    metrics_->Add("leverwick_permits_total",
                  answer.granted ? "result=\"granted\"" : "result=\"no_room\"",
                  1);
    PermitAnswerNote* answered = reply.add_answers();
    answered->set_number(answer.sequence_number);
    answered->set_granted(answer.granted);
    auto room_in = std::chrono::ceil<milliseconds>(answer.retry_after);
    answered->set_room_in_ms(static_cast<uint32_t>(room_in.count()));
  }
  if (!reply.answers().empty()) datagrams_->Send(reply, from);
  for (const PermitAnswerNote& note : notes.answers()) {
    watch_->permits()->RecordReply(
        {note.number(), note.granted(), milliseconds(note.room_in_ms())}, now);
  }
  if (!notes.answers().empty()) watch_->WakeAll();
}

}  // namespace leverwick
