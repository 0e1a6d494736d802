// Splits a server-sent event stream into complete events.
//
// Only complete events may be relayed. A stream that breaks within an event is
// resumed from another endpoint after the last complete event, so the caller
// must not have received any part of the incomplete one.
//
//   EventStreamSplitter splitter;
//   std::string complete = splitter.Append(bytes);  // zero or more events
//   splitter.last_id();  // the event after which the stream can be resumed

#ifndef LEVERWICK_EVENT_STREAM_H_
#define LEVERWICK_EVENT_STREAM_H_

#include <string>
#include <string_view>

namespace leverwick {

class EventStreamSplitter {
 public:
  // Appends received bytes. Returns the events that are now complete,
  // unchanged.
  std::string Append(std::string_view bytes);

  // Discards the partial event at the end, before the stream is resumed from
  // another source.
  void DiscardPartialEvent() { partial_event_.clear(); }

  bool has_partial_event() const { return !partial_event_.empty(); }
  size_t partial_event_bytes() const { return partial_event_.size(); }
  // Returns the number of complete events.
  size_t event_count() const { return event_count_; }
  // Returns the id of the last complete event that has one, or empty.
  const std::string& last_id() const { return last_id_; }

 private:
  void RecordEvent(std::string_view event);

  std::string partial_event_;
  std::string last_id_;
  size_t event_count_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_EVENT_STREAM_H_
