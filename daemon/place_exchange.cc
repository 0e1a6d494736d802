// Times travel as durations, since clocks of boxes differ. A request that this
// box would grant itself takes the same way as others, without a datagram.

#include "daemon/place_exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/log.h"

namespace leverwick {
namespace {

const Log kLog("places");

// Between two looks at what runs at the endpoints while requests wait. Ends are
// mostly known earlier, as the boxes tell them.
constexpr milliseconds kLook{10};
// Log lines of decisions.
constexpr int kLinesPerSecond = 10;

uint32_t MillisecondsUntil(TimePoint time, TimePoint now) {
  auto left = std::chrono::duration_cast<milliseconds>(time - now);
  return static_cast<uint32_t>(std::max<int64_t>(0, left.count()));
}

PlaceReply::Kind KindOf(PlaceReplyNote::Kind kind) {
  switch (kind) {
    case PlaceReplyNote::GRANTED:
      return PlaceReply::Kind::kGranted;
    case PlaceReplyNote::DENIED:
      return PlaceReply::Kind::kDenied;
    default:
      return PlaceReply::Kind::kWaiting;
  }
}

PlaceAskNote NoteOf(const PlaceRequest& request, const std::string& endpoint,
                    TimePoint now) {
  PlaceAskNote note;
  note.set_number(request.key.second);
  note.set_endpoint(endpoint);
  note.set_organisation(request.organisation);
  note.set_priority(static_cast<uint32_t>(std::max(0, request.priority)));
  note.set_fingerprint(request.fingerprint);
  note.set_age_ms(MillisecondsUntil(now, request.arrived_at));
  note.set_due_in_ms(MillisecondsUntil(request.due_at, now));
  note.set_gives_up_in_ms(MillisecondsUntil(request.give_up_at, now));
  if (request.mean_time) {
    auto mean = std::chrono::ceil<milliseconds>(*request.mean_time);
    note.set_mean_ms(static_cast<uint32_t>(mean.count()));
  }
  return note;
}

PlaceRequest RequestOf(const PlaceAskNote& note, uint32_t incarnation,
                       TimePoint now) {
  PlaceRequest request;
  request.key = {incarnation, note.number()};
  request.organisation = note.organisation();
  request.priority = static_cast<int>(std::min(note.priority(), 9u));
  request.fingerprint = note.fingerprint();
  request.arrived_at = now - milliseconds(note.age_ms());
  request.due_at = now + milliseconds(note.due_in_ms());
  request.give_up_at = now + milliseconds(note.gives_up_in_ms());
  if (note.mean_ms() > 0) request.mean_time = milliseconds(note.mean_ms());
  return request;
}

const char* ResultName(PlaceClaim::State state) {
  switch (state) {
    case PlaceClaim::State::kGranted:
      return "result=\"granted\"";
    case PlaceClaim::State::kDenied:
      return "result=\"denied\"";
    default:
      return "result=\"unanswered\"";
  }
}

}  // namespace

PlaceExchange::PlaceExchange(const Dependencies& dependencies, BoxLocation self,
                             uint32_t incarnation)
    : dependencies_(dependencies),
      self_(std::move(self)),
      incarnation_(incarnation),
      timer_(*dependencies.loop),
      boxes_({self_}) {}

void PlaceExchange::Start() { dependencies_.datagrams->AddListener(this); }

void PlaceExchange::SetBoxes(const std::vector<PeerDatagrams::Peer>& boxes) {
  is_ready_ = true;
  boxes_ = {self_};
  addresses_.clear();
  for (const PeerDatagrams::Peer& box : boxes) {
    boxes_.push_back({box.name, box.data_centre});
    addresses_[box.name] = box.address;
  }
}

std::string PlaceExchange::GranterFor(const std::string& endpoint,
                                      TimePoint now) const {
  const DirectoryEntry* entry = dependencies_.directory->Find(endpoint);
  if (entry == nullptr) return "";
  std::vector<BoxLocation> boxes;
  for (const BoxLocation& box : boxes_) {
    if (!silent_.IsSilent(box.name, now)) boxes.push_back(box);
  }
  return ChooseGranter(endpoint, entry->data_centre, boxes);
}

uint64_t PlaceExchange::Ask(PlaceRequest request,
                            const std::vector<std::string>& endpoints,
                            Callback callback) {
  if (!is_ready_) return 0;
  TimePoint now = Clock::now();
  std::map<std::string, std::string> granters;
  std::vector<std::string> asked;
  for (const std::string& endpoint : endpoints) {
    std::string granter = GranterFor(endpoint, now);
    if (granter.empty()) continue;
    granters[endpoint] = granter;
    asked.push_back(endpoint);
  }
  if (asked.empty()) return 0;
  uint64_t number = ++last_number_;
  request.key = {incarnation_, number};
  OpenClaim open{
      std::move(request), PlaceClaim(asked, now), std::move(granters), now, now,
      std::move(callback)};
  SendAsks(open);
  claims_.emplace(number, std::move(open));
  Watch();
  return number;
}

void PlaceExchange::SendAsks(const OpenClaim& open) {
  TimePoint now = Clock::now();
  for (const std::string& endpoint : open.claim.open_endpoints()) {
    PeerNotes notes;
    *notes.add_place_asks() = NoteOf(open.request, endpoint, now);
    Deliver(notes, open.granters.at(endpoint));
  }
}

void PlaceExchange::Release(uint64_t number) {
  auto open = claims_.find(number);
  if (open != claims_.end()) {
    for (const std::string& endpoint : open->second.claim.open_endpoints())
      TellWithdrawn(number, endpoint, open->second.granters.at(endpoint));
    claims_.erase(open);
  }
  auto held = held_.find(number);
  if (held == held_.end()) return;
  HeldPlace place = held->second;
  held_.erase(held);
  if (place.ticket != 0) return EndUse(place);
  TellWithdrawn(number, place.endpoint, place.granter);
}

void PlaceExchange::TellWithdrawn(uint64_t number, const std::string& endpoint,
                                  const std::string& granter) {
  PeerNotes notes;
  PlaceAskNote* note = notes.add_place_asks();
  note->set_number(number);
  note->set_endpoint(endpoint);
  note->set_withdrawn(true);
  Deliver(notes, granter);
}

void PlaceExchange::RecordSend(uint64_t number, uint64_t ticket,
                               milliseconds time_left) {
  auto held = held_.find(number);
  if (held == held_.end()) return;
  held->second.ticket = ticket;
  PeerNotes notes;
  PromptNote* note = notes.add_sent();
  note->set_ticket(ticket);
  note->set_endpoint(held->second.endpoint);
  note->set_time_left_ms(
      static_cast<uint32_t>(std::max<int64_t>(0, time_left.count())));
  note->set_place(number);
  Deliver(notes, held->second.granter);
}

void PlaceExchange::EndUse(const HeldPlace& place) {
  TellEnd(place.granter, place.ticket);
  if (place.granter == self_.name) return;
  ends_to_repeat_.emplace_back(place.granter, place.ticket);
  Watch();
}

void PlaceExchange::TellEnd(const std::string& granter, uint64_t ticket) {
  PeerNotes notes;
  notes.add_ended(ticket);
  Deliver(notes, granter);
}

void PlaceExchange::Repeat(TimePoint now) {
  for (const auto& [granter, ticket] : ends_to_repeat_)
    TellEnd(granter, ticket);
  ends_to_repeat_.clear();
  std::vector<uint64_t> numbers;
  for (auto& [number, open] : claims_) {
    numbers.push_back(number);
    if (now - open.asked_at < PlaceClaim::kRepeatInterval) continue;
    open.asked_at = now;
    SendAsks(open);
  }
  for (uint64_t number : numbers) Conclude(number, now);
}

void PlaceExchange::RecordReply(const PlaceReplyNote& note,
                                const std::string& granter) {
  TimePoint now = Clock::now();
  auto open = claims_.find(note.number());
  if (open != claims_.end()) {
    nanoseconds retry_after = milliseconds(note.room_in_ms());
    open->second.claim.RecordReply(
        {note.endpoint(), KindOf(note.kind()), retry_after}, now);
    Conclude(note.number(), now);
    return;
  }
  // An old reply, or a second grant.
  bool is_unwanted =
      note.kind() == PlaceReplyNote::GRANTED && held_.count(note.number()) == 0;
  if (is_unwanted) TellWithdrawn(note.number(), note.endpoint(), granter);
}

bool PlaceExchange::Conclude(uint64_t number, TimePoint now) {
  auto found = claims_.find(number);
  if (found == claims_.end()) return true;
  PlaceClaim::State state = found->second.claim.StateAt(now);
  if (state == PlaceClaim::State::kWaiting) return false;
  OpenClaim open = std::move(found->second);
  claims_.erase(found);
  for (const std::string& endpoint : open.claim.open_endpoints())
    TellWithdrawn(number, endpoint, open.granters.at(endpoint));
  for (const std::string& endpoint : open.claim.SilentEndpoints(now)) {
    silent_.Record(open.granters.at(endpoint), now);
    dependencies_.metrics->Add("leverwick_silent_granters_total", "", 1);
  }
  PlaceOutcome outcome;
  outcome.number = number;
  outcome.state = state;
  if (state == PlaceClaim::State::kGranted) {
    outcome.endpoint = open.claim.granted_endpoint();
    held_[number] = {outcome.endpoint, open.granters.at(outcome.endpoint), 0};
  }
  if (state == PlaceClaim::State::kDenied)
    outcome.retry_after = open.claim.retry_after();
  dependencies_.metrics->Add("leverwick_place_requests_total",
                             ResultName(state), 1);
  dependencies_.metrics->Time("leverwick_place_wait_seconds", ResultName(state),
                              now - open.made_at);
  open.callback(outcome);
  return true;
}

void PlaceExchange::OnNotes(const PeerNotes& notes,
                            const PeerDatagrams::Address& from) {
  for (const PlaceAskNote& note : notes.place_asks())
    RecordAsk(note, notes.life(), from);
  for (const PromptNote& note : notes.sent()) {
    if (note.place() > 0)
      RecordUse(note.endpoint(), {notes.life(), note.place()});
  }
  if (!notes.place_replies().empty()) {
    auto is_sender = [&](const auto& box) { return box.second == from; };
    auto sender = std::find_if(addresses_.begin(), addresses_.end(), is_sender);
    std::string granter = sender == addresses_.end() ? "" : sender->first;
    for (const PlaceReplyNote& note : notes.place_replies())
      RecordReply(note, granter);
  }
  if (!notes.ended().empty()) DecideAll(Clock::now());
}

void PlaceExchange::RecordAsk(const PlaceAskNote& note, uint32_t incarnation,
                              const Address& from) {
  TimePoint now = Clock::now();
  PlaceRequest::Key key{incarnation, note.number()};
  auto found = granters_.find(note.endpoint());
  if (note.withdrawn()) {
    if (found == granters_.end()) return;
    found->second.queue.Withdraw(key);
    found->second.askers.erase(key);
    return Decide(note.endpoint(), &found->second, now);
  }
  const DirectoryEntry* entry = dependencies_.directory->Find(note.endpoint());
  if (entry == nullptr || !entry->lists_places) return;
  if (found == granters_.end()) {
    found =
        granters_
            .emplace(note.endpoint(), Granter{PlaceQueue(entry->places), {}})
            .first;
  }
  Granter& granter = found->second;
  granter.queue.SetPlaces(entry->places);
  granter.askers[key] = from;
  auto decided = granter.queue.Submit(RequestOf(note, incarnation, now), now);
  if (decided) {
    Reply(note.endpoint(), key, PlaceReplyNote::GRANTED, {}, from);
  }
  Decide(note.endpoint(), &granter, now);
  if (granter.queue.IsWaiting(key))
    Reply(note.endpoint(), key, PlaceReplyNote::WAITING, {}, from);
  Watch();
}

void PlaceExchange::RecordUse(const std::string& endpoint,
                              const PlaceRequest::Key& key) {
  auto found = granters_.find(endpoint);
  if (found == granters_.end()) return;
  found->second.queue.RecordUse(key);
  found->second.askers.erase(key);
}

void PlaceExchange::Decide(const std::string& endpoint, Granter* granter,
                           TimePoint now) {
  const DirectoryEntry* entry = dependencies_.directory->Find(endpoint);
  if (entry == nullptr) return;  // its boxes hear nothing and go on
  granter->queue.SetInFlight(dependencies_.loads->RunningAt(endpoint));
  auto mean = dependencies_.room->ConfirmedMeanTime(entry->service, now);
  for (const PlaceDecision& decision : granter->queue.Decide(mean, now)) {
    TellDecision(endpoint, *granter, decision, now);
    Reply(endpoint, decision.key,
          decision.granted ? PlaceReplyNote::GRANTED : PlaceReplyNote::DENIED,
          decision.retry_after, granter->askers[decision.key]);
    if (!decision.granted) granter->askers.erase(decision.key);
  }
}

void PlaceExchange::DecideAll(TimePoint now) {
  for (auto& [endpoint, granter] : granters_) {
    if (granter.queue.waiting() > 0) Decide(endpoint, &granter, now);
  }
}

void PlaceExchange::Reply(const std::string& endpoint,
                          const PlaceRequest::Key& key,
                          PlaceReplyNote::Kind kind, nanoseconds retry_after,
                          const Address& to) {
  PeerNotes notes;
  PlaceReplyNote* note = notes.add_place_replies();
  note->set_number(key.second);
  note->set_endpoint(endpoint);
  note->set_kind(kind);
  auto room_in = std::chrono::ceil<milliseconds>(retry_after);
  note->set_room_in_ms(static_cast<uint32_t>(room_in.count()));
  Deliver(notes, to);
}

void PlaceExchange::TellDecision(const std::string& endpoint,
                                 const Granter& granter,
                                 const PlaceDecision& decision, TimePoint now) {
  dependencies_.metrics->Add(
      "leverwick_place_decisions_total",
      decision.granted ? "result=\"granted\"" : "result=\"denied\"", 1);
  if (now - lines_since_ >= std::chrono::seconds(1)) {
    lines_since_ = now;
    lines_ = 0;
  }
  if (++lines_ > kLinesPerSecond) return;
  auto in_ms = [](Seconds time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  kLog.Info(
      decision.granted ? "A place is granted." : "A place is denied.",
      {{"endpoint", endpoint},
       {"number", std::to_string(decision.key.second)},
       {"in_flight", std::to_string(granter.queue.in_flight())},
       {"granted", std::to_string(granter.queue.granted())},
       {"waiting", std::to_string(granter.queue.waiting())},
       {"room_in_ms", in_ms(decision.retry_after)},
       {"reports_age_ms", in_ms(dependencies_.loads->PeerReportAge(now))}});
}

void PlaceExchange::Deliver(const PeerNotes& notes, const std::string& box) {
  if (box == self_.name) return Deliver(notes, Address());
  auto address = addresses_.find(box);
  if (address != addresses_.end()) Deliver(notes, Address(address->second));
}

void PlaceExchange::Deliver(const PeerNotes& notes, const Address& to) {
  PeerNotes told = notes;
  told.set_life(incarnation_);
  if (to) return dependencies_.datagrams->Send(told, *to);
  boost::asio::post(*dependencies_.loop, [this, told] {
    for (const PlaceAskNote& note : told.place_asks())
      RecordAsk(note, incarnation_, Address());
    for (const PromptNote& note : told.sent())
      RecordUse(note.endpoint(), {incarnation_, note.place()});
    for (const PlaceReplyNote& note : told.place_replies())
      RecordReply(note, self_.name);
    if (!told.ended().empty()) DecideAll(Clock::now());
  });
}

void PlaceExchange::Watch() {
  if (watching_) return;
  watching_ = true;
  timer_.expires_after(kLook);
  timer_.async_wait([this](auto error) {
    if (error) return;
    watching_ = false;
    TimePoint now = Clock::now();
    Repeat(now);
    bool any_open = !claims_.empty() || !ends_to_repeat_.empty();
    for (auto& [endpoint, granter] : granters_) {
      Decide(endpoint, &granter, now);
      for (const PlaceDecision& grant : granter.queue.UnusedGrants(now)) {
        Reply(endpoint, grant.key, PlaceReplyNote::GRANTED, {},
              granter.askers[grant.key]);
      }
      any_open = any_open || granter.queue.waiting() > 0 ||
                 granter.queue.granted() > 0;
    }
    if (any_open) Watch();
  });
}

void PlaceExchange::Expire(TimePoint now) {
  silent_.Expire(now);
  for (auto entry = granters_.begin(); entry != granters_.end();) {
    Granter& granter = entry->second;
    for (auto asker = granter.askers.begin(); asker != granter.askers.end();) {
      asker = granter.queue.Holds(asker->first) ? std::next(asker)
                                                : granter.askers.erase(asker);
    }
    entry =
        granter.queue.IsIdle(now) ? granters_.erase(entry) : std::next(entry);
  }
}

size_t PlaceExchange::waiting() const {
  size_t count = 0;
  for (const auto& entry : granters_) count += entry.second.queue.waiting();
  return count;
}

}  // namespace leverwick
