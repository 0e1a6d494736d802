// An event ends with an empty line. Lines end with LF or CRLF. Each search for
// the end of an event resumes where the previous one stopped, so that a long
// event that arrives in many parts is scanned only once.

#include "leverwick/event_stream.h"

#include <algorithm>

namespace leverwick {
namespace {

// Returns the position after the first empty line at or after `from`, or npos.
size_t FindEventEnd(std::string_view text, size_t from) {
  for (size_t pos = text.find('\n', from); pos != std::string_view::npos;
       pos = text.find('\n', pos + 1)) {
    size_t next = pos + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

}  // namespace

std::string EventStreamSplitter::Append(std::string_view bytes) {
  // An empty line may span two parts, so the search restarts at the last three
  // buffered bytes.
  size_t from = partial_event_.size() < 3 ? 0 : partial_event_.size() - 3;
  partial_event_.append(bytes);
  std::string_view buffer = partial_event_;
  size_t begin = 0;
  for (;;) {
    size_t end = FindEventEnd(buffer, std::max(begin, from));
    if (end == std::string_view::npos) break;
    RecordEvent(buffer.substr(begin, end - begin));
    begin = end;
  }
  std::string complete = partial_event_.substr(0, begin);
  partial_event_.erase(0, begin);
  return complete;
}

void EventStreamSplitter::RecordEvent(std::string_view event) {
  ++event_count_;
  size_t pos = 0;
  while (pos < event.size()) {
    size_t end = std::min(event.find('\n', pos), event.size());
    std::string_view line = event.substr(pos, end - pos);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      last_id_ = std::string(line);
    }
    pos = end + 1;
  }
}

}  // namespace leverwick
