// Permits of boxes whose lists of each other differ, for LimitPlay.
//
// Each box reads the list now and then, as old as it may be when another box
// passes it on; a new one introduces itself (leverwick/fleet_agreement.h).
// Boxes are killed and others start in their places, under other names; the
// list may lose its entries or go back to an older state, whereupon each box
// that does not find itself enters itself again.
//
//   LimitPlay play(fleet, seed);
//   ListedPermits permits(&play, lists);
//   PlayedLimit result = play.Run(&permits);

#ifndef LEVERWICK_TESTING_BOX_LIST_PERMITS_H_
#define LEVERWICK_TESTING_BOX_LIST_PERMITS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "leverwick/fleet_agreement.h"
#include "leverwick/testing/limit_simulation.h"

namespace leverwick {

struct FleetLists {
  enum class Fault { kNone, kEmpty, kOlder };

  Seconds age{10};  // the oldest list that is read
  bool all_new = false;
  // So many boxes are killed and replaced, one each `replace_each`.
  size_t replaced = 0;
  Seconds replace_each{5};
  // At the middle of the play the list is lost, or goes back to how it was
  // half of that time before.
  Fault fault = Fault::kNone;
};

class ListedPermits : public LimitWay {
 public:
  ListedPermits(LimitPlay* play, const FleetLists& lists)
      : play_(play), lists_(lists) {
    size_t count = play->fleet().boxes;
    boxes_.resize(count);
    entries_.push_back({TimePoint::min(), {}});
    for (size_t slot = 0; slot < count; ++slot) {
      if (!lists.all_new) entries_.back().second.insert({slot, 0});
    }
    for (size_t slot = 0; slot < count; ++slot) StartBox(slot);
    PlanReplacements();
    PlanFault();
  }

  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return boxes_[box]->permits.MaySend(to.address, now);
  }
  void Sent(size_t box, const ListedEndpoint& to, TimePoint now) override {
    boxes_[box]->permits.Sent(to.address, now);
  }
  bool MayAsk(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return boxes_[box]->permits.MayAsk(to.address, now);
  }
  bool IsAsking(size_t box, const ListedEndpoint& to) override {
    return boxes_[box]->permits.IsAsking(to.address);
  }
  void Ask(size_t box, const ListedEndpoint& to, TimePoint now) override {
    boxes_[box]->permits.Ask(to.address, to.data_centre, now);
    At(box, SendPermits::kAnswerTime + milliseconds(1), [this, box] {
      if (boxes_[box]->permits.Expire(play_->now())) play_->News(box);
    });
  }

 private:
  using Life =
      std::pair<size_t, size_t>;  // the place and the box's number in it
  // As daemon/log_boxes has it.
  static constexpr Seconds kReadEach{10};
  static constexpr Seconds kListsAgree{45};
  static constexpr Seconds kFirstRead{0.7};
  static constexpr Seconds kDropped{75};
  static constexpr Seconds kIntroduceAgain{0.4};

  struct Box : public SendPermits::Courier {
    Box(ListedPermits* fleet, Life life, uint64_t first_number)
        : fleet(fleet),
          life(life),
          agreement(BoxOf(life)),
          permits(BoxOf(life), fleet->play_->limits(life.first), first_number) {
      permits.SetCourier(this);
    }
    void Bring(const PermitAsk& ask, const std::string& box) override {
      fleet->Carry(life, LifeOf(box), ask);
    }
    ListedPermits* const fleet;
    const Life life;
    FleetAgreement agreement;
    SendPermits permits;
    TimePoint known_since = TimePoint::max();
    bool introduces = false;
  };

  // As daemon/permit_exchange sends it.
  struct Note {
    Life from;
    uint64_t digest = 0;
    bool asks = false;
    std::vector<GranterBox> newcomers;
  };

  static GranterBox BoxOf(const Life& life) {
    return {
        "box-" + std::to_string(life.first) + "-" + std::to_string(life.second),
        LimitPlay::DataCentreOf(life.first)};
  }
  static Life LifeOf(const std::string& name) {
    size_t at = name.rfind('-');
    return {std::stoul(name.substr(4, at - 4)),
            std::stoul(name.substr(at + 1))};
  }
  bool Lives(const Life& life) const {
    return boxes_[life.first]->life == life;
  }

  // Runs for the box that is in this place now, unless it is replaced before.
  void At(size_t slot, Seconds delay, std::function<void()> act) {
    Life life = boxes_[slot]->life;
    play_->After(delay, [this, life, act] {
      if (Lives(life) && !play_->IsOver()) act();
    });
  }

  void StartBox(size_t slot) {
    size_t number = boxes_[slot] == nullptr ? 0 : boxes_[slot]->life.second + 1;
    if (number > 0) play_->Replace(slot);
    boxes_[slot] = std::make_unique<Box>(this, Life{slot, number},
                                         uint64_t{number} << 32U);
    bool enters_first = lists_.all_new && number == 0;
    if (enters_first) Enter(boxes_[slot]->life);
    Seconds first = enters_first ? kFirstRead : Seconds(0);
    // Boxes that run already read whenever they do.
    if (!lists_.all_new && number == 0) {
      boxes_[slot]->known_since = TimePoint();
      Read(slot, true);
      first = kReadEach * play_->Draw();
    }
    At(slot, first, [this, slot] { Read(slot, false); });
  }

  void PlanReplacements() {
    for (size_t i = 0; i < lists_.replaced; ++i) {
      size_t slot = i % boxes_.size();
      play_->After(
          lists_.replace_each * static_cast<double>(i + 1), [this, slot] {
            Life killed = boxes_[slot]->life;
            StartBox(slot);
            play_->After(kDropped, [this, killed] { Change(killed, false); });
          });
    }
  }

  void PlanFault() {
    if (lists_.fault == FleetLists::Fault::kNone) return;
    play_->After(play_->fleet().lasts / 2, [this] {
      std::set<Life> names;
      if (lists_.fault == FleetLists::Fault::kOlder) {
        names = ListAt(play_->now() -
                       FromSeconds(play_->fleet().lasts.count() / 4));
      }
      entries_.push_back({play_->now(), names});
    });
  }

  const std::set<Life>& ListAt(TimePoint time) const {
    auto newest = entries_.rbegin();
    while (newest->first > time) ++newest;
    return newest->second;
  }
  void Change(const Life& life, bool is_there) {
    std::set<Life> names = entries_.back().second;
    if (is_there) names.insert(life);
    if (!is_there) names.erase(life);
    entries_.push_back({play_->now(), names});
  }
  void Enter(const Life& life) { Change(life, true); }

  void Read(size_t slot, bool is_newest) {
    Box& box = *boxes_[slot];
    Seconds age = is_newest ? Seconds(0) : lists_.age * play_->Draw();
    const std::set<Life> names =
        ListAt(play_->now() - FromSeconds(age.count()));
    bool is_entered = names.count(box.life) > 0;
    if (!is_entered) {
      box.known_since = play_->now() + FromSeconds(kListsAgree.count());
    } else if (box.known_since == TimePoint::max()) {
      box.known_since = play_->now();
    }
    std::vector<GranterBox> others;
    for (const Life& life : names) {
      if (life != box.life) others.push_back(BoxOf(life));
    }
    std::vector<GranterBox> before = box.agreement.others();
    box.agreement.SetBoxes(others);
    box.agreement.SetKnownSince(box.known_since);
    Use(&box);
    if (!is_newest) GreetNew(box, before);
    if (!is_entered) Enter(box.life);
    Introduce(slot);
    if (!is_newest) At(slot, kReadEach, [this, slot] { Read(slot, false); });
  }

  void GreetNew(const Box& box, const std::vector<GranterBox>& before) {
    for (const GranterBox& other : box.agreement.others()) {
      bool is_new =
          std::find(before.begin(), before.end(), other) == before.end();
      if (is_new && Lives(LifeOf(other.name))) {
        play_->Greet(box.life.first, LifeOf(other.name).first);
      }
    }
  }

  static void Use(Box* box) {
    box->permits.SetBoxes(box->agreement.others());
    box->permits.GrantFrom(box->agreement.acts_from());
  }

  void Introduce(size_t slot) {
    Box& box = *boxes_[slot];
    if (box.introduces) return;
    Tell(slot);
  }
  void Tell(size_t slot) {
    Box& box = *boxes_[slot];
    box.introduces = box.agreement.IsUseful(play_->now());
    if (!box.introduces) return;
    for (const std::string& name : box.agreement.Unsettled()) {
      TellSelf(box.life, LifeOf(name), true);
      box.agreement.Asked(name);
    }
    Use(&box);
    At(slot, kIntroduceAgain, [this, slot] { Tell(slot); });
  }

  void TellSelf(const Life& from, const Life& to, bool asks) {
    Note note{from, boxes_[from.first]->agreement.digest(), asks, {}};
    Bring(note, to);
  }
  void Reply(const Life& from, const Life& to, uint64_t digest) {
    const FleetAgreement& agreement = boxes_[from.first]->agreement;
    Note note{from, agreement.digest(), false, {}};
    if (!agreement.IsSame(digest)) note.newcomers = agreement.newcomers();
    Bring(note, to);
  }
  void Bring(const Note& note, const Life& to) {
    play_->Deliver(note.from.first, to.first, [this, note, to] {
      if (Lives(to)) Hear(note, boxes_[to.first].get());
    });
  }
  void Hear(const Note& note, Box* box) {
    bool is_new = box->agreement.Heard(BoxOf(note.from), note.digest);
    for (const GranterBox& newcomer : note.newcomers) {
      box->agreement.HeardOf(newcomer);
    }
    Use(box);
    if (note.asks) Reply(box->life, note.from, note.digest);
    if (is_new && Lives(note.from)) {
      play_->Greet(box->life.first, note.from.first);
    }
  }

  void Carry(const Life& from, const Life& to, const PermitAsk& ask) {
    play_->Deliver(from.first, to.first, [this, from, to, ask] {
      if (!Lives(to)) return;
      PermitAnswer answer = boxes_[to.first]->permits.Grant(ask, play_->now());
      play_->Deliver(to.first, from.first, [this, from, answer] {
        if (!Lives(from)) return;
        boxes_[from.first]->permits.Answered(answer, play_->now());
        play_->News(from.first);
      });
    });
  }

  LimitPlay* const play_;
  const FleetLists lists_;
  std::vector<std::unique_ptr<Box>> boxes_;  // by place
  // The list from each of these moments on.
  std::vector<std::pair<TimePoint, std::set<Life>>> entries_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_BOX_LIST_PERMITS_H_
