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
      : self_(std::move(self)), max_readers_(readers) {}

  // The boxes of this data centre, in any order; this one need not be among
  // them.
  void SetBoxes(std::vector<LogBox> boxes);

  // None: the store.
  std::optional<LogBox> ChooseSource(TimePoint now) const;

  // Whether this box reads the store however many others answer.
  bool is_reader() const {
    return static_cast<int>(preferred_boxes_.size()) < max_readers_;
  }

  void RecordReply(const std::string& name) { failures_.erase(name); }
  // The box did not answer.
  void RecordUnreachable(const std::string& name, TimePoint now);
  // The box answered with what is too old or not known there.
  void RecordStale(const std::string& name, TimePoint now);

  // The store does no better: boxes that were stale may be asked again.
  void ClearStale();

  // Boxes that have answered nothing for `span`, however often asked.
  std::vector<std::string> BoxesUnreachableFor(nanoseconds span,
                                               TimePoint now) const;

 private:
  struct Failure {
    nanoseconds backoff{0};
    TimePoint retry_at{};
    std::optional<TimePoint> unreachable_since;
  };

  void BackOff(Failure* failure, TimePoint now);
  bool IsBackingOff(const std::string& name, TimePoint now) const;

  const LogBox self_;
  const int max_readers_;
  std::vector<LogBox> preferred_boxes_;  // in the order, before this box
  std::map<std::string, Failure> failures_;
};

}  // namespace leverwick

#endif  // LEVERWICK_READ_SOURCES_H_
