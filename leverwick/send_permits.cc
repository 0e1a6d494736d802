// What an endpoint gets in a span is at most the granters' rate over the span
// and the life of a permit, and one request for each granter: the granters'
// halves add up to the limit, and a permit is used late by its life at most.
// Boxes that know different boxes ask different granters; a box that is new in
// the fleet therefore grants only once all others have surely heard of it.

#include "leverwick/send_permits.h"

#include <algorithm>

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr size_t kGranters = 2;
// A permit lives this long and, since a box with little traffic needs time to
// use it, as long as the limit takes for one request; counted from the ask, so
// that a box that was frozen uses no old permit.
constexpr milliseconds kLeastLife{1000};
// A granter that did not answer is asked again after this.
constexpr milliseconds kSilentFor{1000};
// A box that is no granter by its own list, or not yet: lists agree soon.
constexpr milliseconds kNotMine{500};
// Only an answer can end a limit: an endpoint that takes nothing is asked this
// often all the same.
constexpr double kLeastPerSecond = 0.1;
// How far back sends are told to operators.
constexpr std::chrono::seconds kLately{4};

}  // namespace

void SendPermits::SetBoxes(std::vector<GranterBox> others) {
  if (others_ == others) return;
  others_ = std::move(others);
  for (auto& entry : limited_) {
    entry.second.granters.clear();
    entry.second.open.reset();
  }
}

std::vector<std::string> SendPermits::GrantersOf(
    const std::string& endpoint, const std::string& data_centre) const {
  if (!others_) return {};
  using Place = std::pair<std::pair<bool, uint64_t>, std::string>;
  std::vector<Place> places;
  uint64_t seed = StableHash(endpoint);
  auto add = [&](const GranterBox& box) {
    bool is_far = box.data_centre != data_centre;
    places.push_back({{is_far, StableHash(box.name, seed)}, box.name});
  };
  add(self_);
  for (const GranterBox& box : *others_) add(box);
  size_t count = std::min(kGranters, places.size());
  auto last = places.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(places.begin(), last, places.end());
  std::vector<std::string> granters;
  for (auto place = places.begin(); place != last; ++place) {
    granters.push_back(place->second);
  }
  return granters;
}

double SendPermits::RateOf(const NamedLimit& limit) {
  return std::max(limit.per_second, kLeastPerSecond);
}

nanoseconds SendPermits::LifeOf(const NamedLimit& limit) {
  return kLeastLife + FromSeconds(1 / RateOf(limit));
}

SendPermits::Limited& SendPermits::At(const std::string& endpoint,
                                      const std::string& data_centre) {
  Limited& limited = limited_[endpoint];
  if (!limited.granters.empty()) return limited;
  // The fleet has changed, or this is the first look.
  for (const std::string& box : GrantersOf(endpoint, data_centre)) {
    limited.granters.push_back({box, TimePoint{}});
  }
  return limited;
}

const SendPermits::Limited* SendPermits::Find(
    const std::string& endpoint) const {
  auto found = limited_.find(endpoint);
  return found == limited_.end() ? nullptr : &found->second;
}

bool SendPermits::HasPermit(const Limited& limited, TimePoint now) {
  return !limited.permits.empty() && now < limited.permits.back();
}

size_t SendPermits::FirstGranter(const Limited& limited) {
  auto sooner = [](const Granter& left, const Granter& right) {
    return left.room_at < right.room_at;
  };
  return static_cast<size_t>(std::min_element(limited.granters.begin(),
                                              limited.granters.end(), sooner) -
                             limited.granters.begin());
}

bool SendPermits::MaySend(const std::string& endpoint, TimePoint now) const {
  if (limits_->Find(endpoint) == nullptr) return true;
  const Limited* limited = Find(endpoint);
  return limited != nullptr && HasPermit(*limited, now);
}

bool SendPermits::IsAsking(const std::string& endpoint) const {
  const Limited* limited = Find(endpoint);
  return limited != nullptr && limited->open.has_value();
}

bool SendPermits::MayAsk(const std::string& endpoint, TimePoint now) const {
  if (!others_) return false;
  const Limited* limited = Find(endpoint);
  if (limited == nullptr || limited->granters.empty()) return true;
  if (limited->open) return true;
  return limited->granters[FirstGranter(*limited)].room_at <= now;
}

nanoseconds SendPermits::RoomIn(const std::string& endpoint,
                                TimePoint now) const {
  if (MaySend(endpoint, now)) return nanoseconds(0);
  if (!others_) return kNotMine;
  const Limited* limited = Find(endpoint);
  if (limited == nullptr || limited->granters.empty()) return nanoseconds(0);
  TimePoint room_at = limited->granters[FirstGranter(*limited)].room_at;
  return std::max<nanoseconds>(room_at - now, nanoseconds(0));
}

void SendPermits::Ask(const std::string& endpoint,
                      const std::string& data_centre, TimePoint now) {
  const NamedLimit* limit = limits_->Find(endpoint);
  if (limit == nullptr || !MayAsk(endpoint, now)) return;
  Limited& limited = At(endpoint, data_centre);
  if (limited.open || limited.granters.empty()) return;
  size_t granter = FirstGranter(limited);
  limited.open = {++last_number_, granter, now};
  PermitAsk ask{last_number_, endpoint, data_centre, *limit};
  const std::string& box = limited.granters[granter].box;
  if (box == self_.name) return Answered(Grant(ask, now), now);
  if (courier_ != nullptr) courier_->Bring(ask, box);
}

void SendPermits::Sent(const std::string& endpoint, TimePoint now) {
  auto found = limited_.find(endpoint);
  if (found == limited_.end()) return;
  Limited& limited = found->second;
  while (!limited.sent.empty() && now - limited.sent.front() >= kLately) {
    limited.sent.pop_front();
  }
  limited.sent.push_back(now);
  std::deque<TimePoint>& permits = limited.permits;
  while (!permits.empty() && permits.front() <= now) permits.pop_front();
  if (!permits.empty()) permits.pop_front();
}

size_t SendPermits::SentLately(const std::string& endpoint,
                               TimePoint now) const {
  const Limited* limited = Find(endpoint);
  if (limited == nullptr) return 0;
  auto is_late = [&](TimePoint at) { return now - at < kLately; };
  return static_cast<size_t>(
      std::count_if(limited->sent.begin(), limited->sent.end(), is_late));
}

bool SendPermits::IsGranter(const std::string& endpoint,
                            const std::string& data_centre) const {
  std::vector<std::string> granters = GrantersOf(endpoint, data_centre);
  return std::find(granters.begin(), granters.end(), self_.name) !=
         granters.end();
}

bool SendPermits::AnyOpen() const {
  auto is_open = [](const auto& entry) {
    return entry.second.open.has_value();
  };
  return std::any_of(limited_.begin(), limited_.end(), is_open);
}

PermitAnswer SendPermits::Grant(const PermitAsk& ask, TimePoint now) {
  limits_->Named(ask.endpoint, ask.limit.per_second, ask.limit.named_at);
  bool is_mine =
      now >= grants_from_ && IsGranter(ask.endpoint, ask.data_centre);
  if (!is_mine) return {ask.number, false, kNotMine};
  const NamedLimit* limit = limits_->Find(ask.endpoint);
  // This box knows that it has ended; the asking one finds out by its answer.
  if (limit == nullptr) return {ask.number, true, nanoseconds(0)};
  size_t granters = std::min(kGranters, others_->size() + 1);
  double part = RateOf(*limit) / static_cast<double>(granters);
  RateGrants::Answer answer = grants_.Ask(ask.endpoint, part, now);
  return {ask.number, answer.granted, answer.room_in};
}

void SendPermits::Answered(const PermitAnswer& answer, TimePoint now) {
  for (auto& entry : limited_) {
    Limited& limited = entry.second;
    if (!limited.open || limited.open->number != answer.number) continue;
    OpenAsk open = *limited.open;
    limited.open.reset();
    limited.granters[open.granter].room_at = now + answer.room_in;
    const NamedLimit* limit = limits_->Find(entry.first);
    if (!answer.granted || limit == nullptr) return;
    limited.permits.push_back(open.asked_at + LifeOf(*limit));
    return;
  }
}

bool SendPermits::Expire(TimePoint now) {
  bool gave_up = false;
  for (auto entry = limited_.begin(); entry != limited_.end();) {
    Limited& limited = entry->second;
    if (limited.open && now - limited.open->asked_at >= kAnswerTime) {
      limited.granters[limited.open->granter].room_at = now + kSilentFor;
      limited.open.reset();
      gave_up = true;
    }
    bool over = limits_->Find(entry->first) == nullptr && !limited.open;
    entry = over ? limited_.erase(entry) : std::next(entry);
  }
  grants_.Expire(now);
  return gave_up;
}

}  // namespace leverwick
