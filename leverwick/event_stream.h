// Cuts a server-sent event stream into whole events.
//
// Only whole events may be passed on: a stream that breaks in the middle of
// one goes on elsewhere after the last whole event, so a half event must never
// have reached the caller.
//
//   EventSplitter splitter;
//   std::string whole = splitter.Add(bytes);   // zero or more whole events
//   splitter.last_id();                        // where a resumed stream begins

#ifndef LEVERWICK_EVENT_STREAM_H_
#define LEVERWICK_EVENT_STREAM_H_

#include <string>
#include <string_view>

namespace leverwick {

class EventSplitter {
 public:
  // Takes bytes as they came and returns what became whole, unchanged.
  std::string Add(std::string_view bytes);

  // Drops the half event at the end: the stream goes on from a new source.
  void DropHalf() { half_.clear(); }

  bool has_half() const { return !half_.empty(); }
  size_t half_bytes() const { return half_.size(); }
  size_t events() const { return events_; }
  // The id of the last whole event that carried one; empty when none did.
  const std::string& last_id() const { return last_id_; }

 private:
  void NoteEvent(std::string_view event);

  std::string half_;
  std::string last_id_;
  size_t events_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_EVENT_STREAM_H_
