// Keeps the limits that endpoints name, over all boxes together.
//
// An endpoint's limit is dealt out by two boxes, its granters: each has half of
// it, so that the sum holds whoever is alive and whoever reaches whom. They are
// found by rendezvous hash, boxes of the endpoint's own data centre first,
// since who reaches the endpoint most likely reaches these. A box sends to a
// limited endpoint only with a permit of one of its granters, for one request
// and a short time. Traffic need not be even: permits go to whoever asks.
//
// A box asks when a request would best go to the endpoint. Where others take
// the request, it goes there at once and the permit serves the next one; where
// none does, the request waits for the answer, which is a permit or the time
// until there is room.
//
//   SendPermits permits("box-1", &limits);
//   permits.SetCourier(&courier);
//   permits.SetBoxes(others);
//   if (permits.MaySend(endpoint, now)) permits.Sent(endpoint, now);
//   else if (permits.MayAsk(endpoint, now)) permits.Ask(endpoint, its, now);
//   at the granter: PermitAnswer answer = permits.Grant(ask, now);
//   back at the box: permits.Answered(answer, now);

#ifndef LEVERWICK_SEND_PERMITS_H_
#define LEVERWICK_SEND_PERMITS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "leverwick/endpoint_limits.h"
#include "leverwick/grant_pacer.h"
#include "leverwick/time.h"

namespace leverwick {

struct PermitAsk {
  uint64_t number = 0;  // of the asking box, for the answer
  std::string endpoint;
  std::string data_centre;  // of the endpoint
  NamedLimit limit;         // as the asking box knows it
};

struct PermitAnswer {
  uint64_t number = 0;
  bool granted = false;
  nanoseconds room_in{0};  // where nothing was granted
};

// A box of the fleet, as far as the choice of granters goes.
struct GranterBox {
  std::string name;
  std::string data_centre;
  bool operator==(const GranterBox& other) const {
    return name == other.name && data_centre == other.data_centre;
  }
};

// Not thread-safe.
class SendPermits {
 public:
  // Brings asks to other boxes.
  class Courier {
   public:
    virtual ~Courier() = default;
    virtual void Bring(const PermitAsk& ask, const std::string& box) = 0;
  };

  // An ask without an answer for so long is lost.
  static constexpr milliseconds kAnswerTime{250};

  // `limits` must outlive the permits. Asks are numbered behind `first_number`;
  // with one drawn anew in each life of the box, an answer to an earlier life's
  // ask is none to this one's.
  SendPermits(GranterBox self, EndpointLimits* limits,
              uint64_t first_number = 0)
      : self_(std::move(self)), limits_(limits), last_number_(first_number) {}

  // Null: there are no other boxes to ask.
  void SetCourier(Courier* courier) { courier_ = courier; }
  // All boxes but this one. Before this nothing is granted or asked.
  void SetBoxes(std::vector<GranterBox> others);
  // This box grants nothing before: boxes that do not know it yet still ask
  // another one in its place.
  void GrantFrom(TimePoint from) { grants_from_ = from; }

  // Whether the endpoint names no limit or a permit for it is held.
  bool MaySend(const std::string& endpoint, TimePoint now) const;
  // Whether an answer is under way, or a granter may have room.
  bool MayAsk(const std::string& endpoint, TimePoint now) const;
  bool IsAsking(const std::string& endpoint) const;
  // Asks a granter that may have room, unless an answer is under way. If this
  // box is the granter, the answer is there at once. `data_centre`: of the
  // endpoint.
  void Ask(const std::string& endpoint, const std::string& data_centre,
           TimePoint now);
  // Until MayAsk, at the latest; zero if MaySend.
  nanoseconds RoomIn(const std::string& endpoint, TimePoint now) const;
  // A request goes there: the oldest permit is used up.
  void Sent(const std::string& endpoint, TimePoint now);
  // Requests of this box to a limited endpoint in the last seconds.
  size_t SentLately(const std::string& endpoint, TimePoint now) const;

  // This box's answer to another one's ask.
  PermitAnswer Grant(const PermitAsk& ask, TimePoint now);
  void Answered(const PermitAnswer& answer, TimePoint now);

  // Whether this box deals out the endpoint's limit.
  bool IsGranter(const std::string& endpoint,
                 const std::string& data_centre) const;

  // Gives up asks that were lost and drops what is over; true if an ask was
  // given up.
  bool Expire(TimePoint now);
  bool AnyOpen() const;

 private:
  // What is known of one of an endpoint's granters.
  struct Granter {
    std::string box;
    TimePoint room_at{};  // has no room before this
  };
  struct OpenAsk {
    uint64_t number = 0;
    size_t granter = 0;
    TimePoint asked_at{};
  };
  struct Limited {
    std::vector<Granter> granters;
    std::optional<OpenAsk> open;
    std::deque<TimePoint> permits;  // when each is over
    std::deque<TimePoint> sent;     // the last ones
  };

  // The boxes that deal out the endpoint's limit, best first.
  std::vector<std::string> GrantersOf(const std::string& endpoint,
                                      const std::string& data_centre) const;
  // Requests a second that are dealt out.
  static double RateOf(const NamedLimit& limit);
  // How long a permit lives.
  static nanoseconds LifeOf(const NamedLimit& limit);
  static bool HasPermit(const Limited& limited, TimePoint now);
  const Limited* Find(const std::string& endpoint) const;
  // The granter that may have room the longest; its index.
  static size_t FirstGranter(const Limited& limited);
  Limited& At(const std::string& endpoint, const std::string& data_centre);

  const GranterBox self_;
  EndpointLimits* const limits_;
  Courier* courier_ = nullptr;
  std::optional<std::vector<GranterBox>> others_;
  std::unordered_map<std::string, Limited> limited_;  // by endpoint
  RateGrants grants_;
  TimePoint grants_from_ = TimePoint::max();
  uint64_t last_number_;
};

}  // namespace leverwick

#endif  // LEVERWICK_SEND_PERMITS_H_
