// ReadSources selects where a box reads a topic: from the store, or from
// another box of its data centre that has read it.
//
// The boxes of a data centre are ordered by capacity and then by name. The
// first few reachable boxes read the store, and each other box reads from one
// of them. No box is elected: a box that finds too few reachable boxes before
// it in the order reads the store itself. Boxes may disagree for a short time.
// This costs additional calls but no correctness, since every reply states its
// age.
//
//   ReadSources sources(self, max_readers);
//   sources.SetBoxes(boxes);
//   auto box = sources.ChooseSource(now);       // nullopt: the store
//   sources.RecordUnreachable(box->name, now);  // or RecordStale, RecordReply

#ifndef LEVERWICK_READ_SOURCES_H_
#define LEVERWICK_READ_SOURCES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// A box from which other boxes can read logs.
struct LogBox {
  std::string name;
  std::string address;  // ip:port of the server for log reads
  double capacity = 1;
};

// The order in which boxes are preferred as readers.
bool RanksBefore(const LogBox& a, const LogBox& b);

class ReadSources {
 public:
  // `max_readers` is the number of boxes of the data centre that read the
  // store.
  ReadSources(LogBox self, int max_readers)
      : self_(std::move(self)), max_readers_(max_readers) {}

  // Sets the boxes of this data centre, in any order, with or without this one.
  void SetBoxes(std::vector<LogBox> boxes);

  // Returns the box to read from, or nullopt for the store.
  std::optional<LogBox> ChooseSource(TimePoint now) const;

  // Returns whether this box is among the readers as far as it can reach the
  // boxes that precede it. Boxes that reply, but with what is too old, precede
  // it still.
  bool IsReaderAt(TimePoint now) const;
  // Returns whether the box's last reply was not usable, or missing.
  bool HasFailed(const std::string& name) const {
    return failures_.count(name) > 0;
  }

  // Records a usable reply from the box.
  void RecordReply(const std::string& name) { failures_.erase(name); }
  // Records that the box did not reply.
  void RecordUnreachable(const std::string& name, TimePoint now);
  // Records a reply that was too old or lacked the requested records.
  void RecordStale(const std::string& name, TimePoint now);

  // Ends the back-off of boxes with stale replies. Called when a read of the
  // store has shown that it has nothing newer.
  void ClearStale();

  // Ends all back-offs. Called when the failures were this box's own.
  void ClearFailures() { failures_.clear(); }

  // Returns the boxes that have not replied for at least `span`.
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
  std::vector<LogBox> preferred_boxes_;  // that precede this box, in order
  std::map<std::string, Failure> failures_;
};

}  // namespace leverwick

#endif  // LEVERWICK_READ_SOURCES_H_
