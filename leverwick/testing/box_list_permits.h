// A policy for LimitSimulation in which boxes use SendPermits while their lists
// of the fleet differ.
//
// Each box reads the list periodically. The version that it reads may be
// outdated, as if another box had forwarded it. A new box sends probes to the
// others (leverwick/fleet_agreement.h). Boxes are killed and replaced by boxes
// with new names. The list may lose its entries or be rolled back to an earlier
// version; each box that is missing from the list then adds itself again.
//
//   LimitSimulation simulation(limit_scenario, seed);
//   BoxListPermitPolicy policy(&simulation, box_list_scenario);
//   LimitSimulationResult result = simulation.Run(&policy);

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

struct BoxListScenario {
  enum class Fault { kNone, kLost, kRolledBack };

  Seconds max_list_age{10};
  bool all_new = false;  // all boxes start with an empty list
  // Number of boxes that are killed and replaced, one every `replace_interval`.
  size_t replaced_boxes = 0;
  Seconds replace_interval{5};
  // At the midpoint of the simulation the list loses all entries, or is rolled
  // back to its version at a quarter of the simulation.
  Fault fault = Fault::kNone;
};

class BoxListPermitPolicy : public LimitPolicy {
 public:
  BoxListPermitPolicy(LimitSimulation* simulation,
                      const BoxListScenario& scenario)
      : simulation_(simulation), scenario_(scenario) {
    size_t count = simulation->scenario().boxes;
    boxes_.resize(count);
    list_versions_.push_back({TimePoint::min(), {}});
    for (size_t index = 0; index < count; ++index) {
      if (!scenario.all_new) list_versions_.back().second.insert({index, 0});
    }
    for (size_t index = 0; index < count; ++index) StartBox(index);
    ScheduleReplacements();
    ScheduleFault();
  }

  bool MaySend(size_t box, const ListedEndpoint& to, TimePoint now) override {
    return boxes_[box]->permits.MaySend(to.address, now);
  }
  void RecordSend(size_t box, const ListedEndpoint& to,
                  TimePoint now) override {
    boxes_[box]->permits.RecordSend(to.address, now);
  }
  bool CanRequestPermit(size_t box, const ListedEndpoint& to,
                        TimePoint now) override {
    return boxes_[box]->permits.CanRequestPermit(to.address, now);
  }
  bool IsRequestPending(size_t box, const ListedEndpoint& to) override {
    return boxes_[box]->permits.IsRequestPending(to.address);
  }
  void RequestPermit(size_t box, const ListedEndpoint& to,
                     TimePoint now) override {
    boxes_[box]->permits.RequestPermit(to.address, to.data_centre, now);
    ScheduleFor(box, SendPermits::kReplyTimeout + milliseconds(1), [this, box] {
      if (boxes_[box]->permits.Expire(simulation_->now()))
        simulation_->ResumeWaiting(box);
    });
  }

 private:
  // The index of a box, and how often the box with this index was replaced.
  using Incarnation = std::pair<size_t, size_t>;
  // As in daemon/log_boxes.
  static constexpr Seconds kReadInterval{10};
  static constexpr Seconds kListPropagationTime{45};
  static constexpr Seconds kFirstReadDelay{0.7};
  static constexpr Seconds kListRemovalDelay{75};
  static constexpr Seconds kProbeInterval{0.4};

  struct Box : public SendPermits::Transport {
    Box(BoxListPermitPolicy* policy, Incarnation incarnation,
        uint64_t first_number)
        : policy(policy),
          incarnation(incarnation),
          agreement(ToLocation(incarnation)),
          permits(ToLocation(incarnation),
                  policy->simulation_->limits(incarnation.first),
                  first_number) {
      permits.SetTransport(this);
    }
    void SendPermitRequest(const PermitRequest& permit_request,
                           const std::string& box) override {
      policy->CarryRequest(incarnation, ParseIncarnation(box), permit_request);
    }
    BoxListPermitPolicy* const policy;
    const Incarnation incarnation;
    FleetAgreement agreement;
    SendPermits permits;
    TimePoint known_to_all_since = TimePoint::max();
    bool is_probing = false;
  };

  // A probe or a reply, as in daemon/permit_exchange.
  struct Note {
    Incarnation from;
    uint64_t digest = 0;
    bool wants_reply = false;
    std::vector<BoxLocation> new_boxes;
  };

  static BoxLocation ToLocation(const Incarnation& incarnation) {
    return {"box-" + std::to_string(incarnation.first) + "-" +
                std::to_string(incarnation.second),
            LimitSimulation::DataCentreOf(incarnation.first)};
  }
  static Incarnation ParseIncarnation(const std::string& name) {
    size_t at = name.rfind('-');
    return {std::stoul(name.substr(4, at - 4)),
            std::stoul(name.substr(at + 1))};
  }
  bool IsRunning(const Incarnation& incarnation) const {
    return boxes_[incarnation.first]->incarnation == incarnation;
  }

  // Runs `action` after `delay`, unless the box is replaced before.
  void ScheduleFor(size_t index, Seconds delay, std::function<void()> action) {
    Incarnation incarnation = boxes_[index]->incarnation;
    simulation_->Schedule(delay, [this, incarnation, action] {
      if (IsRunning(incarnation) && !simulation_->IsFinished()) action();
    });
  }

  void StartBox(size_t index) {
    size_t number =
        boxes_[index] == nullptr ? 0 : boxes_[index]->incarnation.second + 1;
    if (number > 0) simulation_->RestartBox(index);
    boxes_[index] = std::make_unique<Box>(this, Incarnation{index, number},
                                          uint64_t{number} << 32U);
    bool joins_list_first = scenario_.all_new && number == 0;
    if (joins_list_first) AddToList(boxes_[index]->incarnation);
    Seconds first_read_delay = joins_list_first ? kFirstReadDelay : Seconds(0);
    // Boxes that are already running read the list at times of their own.
    if (!scenario_.all_new && number == 0) {
      boxes_[index]->known_to_all_since = TimePoint();
      ReadList(index, true);
      first_read_delay = kReadInterval * simulation_->DrawUniform();
    }
    ScheduleFor(index, first_read_delay,
                [this, index] { ReadList(index, false); });
  }

  void ScheduleReplacements() {
    for (size_t i = 0; i < scenario_.replaced_boxes; ++i) {
      size_t index = i % boxes_.size();
      simulation_->Schedule(
          scenario_.replace_interval * static_cast<double>(i + 1),
          [this, index] {
            Incarnation killed = boxes_[index]->incarnation;
            StartBox(index);
            simulation_->Schedule(kListRemovalDelay, [this, killed] {
              UpdateList(killed, false);
            });
          });
    }
  }

  void ScheduleFault() {
    if (scenario_.fault == BoxListScenario::Fault::kNone) return;
    simulation_->Schedule(simulation_->scenario().duration / 2, [this] {
      std::set<Incarnation> list;
      if (scenario_.fault == BoxListScenario::Fault::kRolledBack) {
        list =
            ListAt(simulation_->now() -
                   FromSeconds(simulation_->scenario().duration.count() / 4));
      }
      list_versions_.push_back({simulation_->now(), list});
    });
  }

  const std::set<Incarnation>& ListAt(TimePoint time) const {
    auto version = list_versions_.rbegin();
    while (version->first > time) ++version;
    return version->second;
  }
  void UpdateList(const Incarnation& incarnation, bool is_added) {
    std::set<Incarnation> list = list_versions_.back().second;
    if (is_added) list.insert(incarnation);
    if (!is_added) list.erase(incarnation);
    list_versions_.push_back({simulation_->now(), list});
  }
  void AddToList(const Incarnation& incarnation) {
    UpdateList(incarnation, true);
  }

  void ReadList(size_t index, bool reads_newest) {
    Box& box = *boxes_[index];
    Seconds list_age =
        reads_newest ? Seconds(0)
                     : scenario_.max_list_age * simulation_->DrawUniform();
    const std::set<Incarnation> list =
        ListAt(simulation_->now() - FromSeconds(list_age.count()));
    bool is_listed = list.count(box.incarnation) > 0;
    if (!is_listed) {
      box.known_to_all_since =
          simulation_->now() + FromSeconds(kListPropagationTime.count());
    } else if (box.known_to_all_since == TimePoint::max()) {
      box.known_to_all_since = simulation_->now();
    }
    std::vector<BoxLocation> others;
    for (const Incarnation& incarnation : list) {
      if (incarnation != box.incarnation)
        others.push_back(ToLocation(incarnation));
    }
    std::vector<BoxLocation> previous = box.agreement.others();
    box.agreement.SetListedBoxes(others);
    box.agreement.SetKnownToAllSince(box.known_to_all_since);
    ApplyAgreement(&box);
    if (!reads_newest) SendLimitsToNewBoxes(box, previous);
    if (!is_listed) AddToList(box.incarnation);
    StartProbing(index);
    if (!reads_newest)
      ScheduleFor(index, kReadInterval,
                  [this, index] { ReadList(index, false); });
  }

  void SendLimitsToNewBoxes(const Box& box,
                            const std::vector<BoxLocation>& previous) {
    for (const BoxLocation& other : box.agreement.others()) {
      bool is_new =
          std::find(previous.begin(), previous.end(), other) == previous.end();
      if (is_new && IsRunning(ParseIncarnation(other.name))) {
        simulation_->SendKnownLimits(box.incarnation.first,
                                     ParseIncarnation(other.name).first);
      }
    }
  }

  static void ApplyAgreement(Box* box) {
    box->permits.SetOtherBoxes(box->agreement.others());
    box->permits.AllowGrantsFrom(box->agreement.active_from());
  }

  void StartProbing(size_t index) {
    Box& box = *boxes_[index];
    if (box.is_probing) return;
    ProbeBoxes(index);
  }
  void ProbeBoxes(size_t index) {
    Box& box = *boxes_[index];
    box.is_probing = box.agreement.NeedsProbes(simulation_->now());
    if (!box.is_probing) return;
    for (const std::string& name : box.agreement.BoxesToProbe()) {
      SendProbe(box.incarnation, ParseIncarnation(name), true);
      box.agreement.RecordProbe(name);
    }
    ApplyAgreement(&box);
    ScheduleFor(index, kProbeInterval, [this, index] { ProbeBoxes(index); });
  }

  void SendProbe(const Incarnation& from, const Incarnation& to,
                 bool wants_reply) {
    Note note{from, boxes_[from.first]->agreement.digest(), wants_reply, {}};
    SendNote(note, to);
  }
  void SendReply(const Incarnation& from, const Incarnation& to,
                 uint64_t digest) {
    const FleetAgreement& agreement = boxes_[from.first]->agreement;
    Note note{from, agreement.digest(), false, {}};
    if (!agreement.MatchesDigest(digest))
      note.new_boxes = agreement.new_boxes();
    SendNote(note, to);
  }
  void SendNote(const Note& note, const Incarnation& to) {
    simulation_->Deliver(note.from.first, to.first, [this, note, to] {
      if (IsRunning(to)) ReceiveNote(note, boxes_[to.first].get());
    });
  }
  void ReceiveNote(const Note& note, Box* box) {
    bool is_new =
        box->agreement.RecordPeerDigest(ToLocation(note.from), note.digest);
    for (const BoxLocation& new_box : note.new_boxes) {
      box->agreement.AddReportedBox(new_box);
    }
    ApplyAgreement(box);
    if (note.wants_reply) SendReply(box->incarnation, note.from, note.digest);
    if (is_new && IsRunning(note.from)) {
      simulation_->SendKnownLimits(box->incarnation.first, note.from.first);
    }
  }

  void CarryRequest(const Incarnation& from, const Incarnation& to,
                    const PermitRequest& permit_request) {
    simulation_->Deliver(
        from.first, to.first, [this, from, to, permit_request] {
          if (!IsRunning(to)) return;
          PermitReply reply = boxes_[to.first]->permits.GrantPermit(
              permit_request, simulation_->now());
          simulation_->Deliver(to.first, from.first, [this, from, reply] {
            if (!IsRunning(from)) return;
            boxes_[from.first]->permits.RecordReply(reply, simulation_->now());
            simulation_->ResumeWaiting(from.first);
          });
        });
  }

  LimitSimulation* const simulation_;
  const BoxListScenario scenario_;
  std::vector<std::unique_ptr<Box>> boxes_;  // by index
  // The versions of the list, with the time from which on each is current.
  std::vector<std::pair<TimePoint, std::set<Incarnation>>> list_versions_;
};

}  // namespace leverwick

#endif  // LEVERWICK_TESTING_BOX_LIST_PERMITS_H_
