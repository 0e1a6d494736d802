// From whom a box reads what the store says: the store itself, or another box
// of its data centre that has read it.
//
// The boxes of a data centre have one order, by capacity and then name. The
// first few that answer read the store; each other box reads from one of them.
// Nobody appoints a reader: a box that finds none before it that answers is
// one. Boxes may disagree for a moment, which costs calls and nothing else,
// since every answer says how old it is.
//
//   ReadSources sources(self, readers);
//   sources.SetBoxes(boxes);
//   auto box = sources.Choose(now);        // none: the store
//   sources.Unreachable(box->name, now);   // or Stale, or Answered

#ifndef LEVERWICK_READ_SOURCES_H_
#define LEVERWICK_READ_SOURCES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

struct LogBox {
  std::string name;
  std::string address;  // ip:port at which other boxes read
  double capacity = 1;
};

class ReadSources {
 public:
  // `readers`: how many boxes of the data centre read the store.
  ReadSources(LogBox self, int readers)
      : self_(std::move(self)), readers_(readers) {}

  // The boxes of this data centre, in any order; this one need not be among
  // them.
  void SetBoxes(std::vector<LogBox> boxes);

  // None: the store.
  std::optional<LogBox> Choose(TimePoint now) const;

  // Whether this box reads the store however many others answer.
  bool is_reader() const { return static_cast<int>(before_.size()) < readers_; }

  void Answered(const std::string& name) { troubles_.erase(name); }
  // The box did not answer.
  void Unreachable(const std::string& name, TimePoint now);
  // The box answered with what is too old or not known there.
  void Stale(const std::string& name, TimePoint now);

  // The store does no better: boxes that were stale may be asked again.
  void ForgiveStale();

  // Boxes that have answered nothing for `span`, however often asked.
  std::vector<std::string> LostFor(nanoseconds span, TimePoint now) const;

 private:
  struct Trouble {
    nanoseconds pause{0};
    TimePoint avoid_until{};
    std::optional<TimePoint> lost_since;
  };

  void Avoid(Trouble* trouble, TimePoint now);
  bool IsAvoided(const std::string& name, TimePoint now) const;

  const LogBox self_;
  const int readers_;
  std::vector<LogBox> before_;  // in the order, before this box
  std::map<std::string, Trouble> troubles_;
};

}  // namespace leverwick

#endif  // LEVERWICK_READ_SOURCES_H_
