// An event ends with an empty line. Lines end with LF or CRLF; the search for
// the end goes on where the last one stopped, so that a long event that comes
// in many parts is looked at once.

#include "leverwick/event_stream.h"

#include <algorithm>

namespace leverwick {
namespace {

// The position behind the first empty line at or after `from`, or npos.
size_t EventEnd(std::string_view text, size_t from) {
  for (size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  // An empty line may straddle the parts: its first line end is among the
  // last three bytes held.
  size_t from = half_.size() < 3 ? 0 : half_.size() - 3;
  half_.append(bytes);
  std::string_view rest = half_;
  size_t begin = 0;
  for (;;) {
    size_t end = EventEnd(rest, std::max(begin, from));
    if (end == std::string_view::npos) break;
    NoteEvent(rest.substr(begin, end - begin));
    begin = end;
  }
  std::string whole = half_.substr(0, begin);
  half_.erase(0, begin);
  return whole;
}

void EventSplitter::NoteEvent(std::string_view event) {
  ++events_;
  size_t at = 0;
  while (at < event.size()) {
    size_t end = std::min(event.find('\n', at), event.size());
    std::string_view line = event.substr(at, end - at);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.substr(0, 3) == "id:") {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      last_id_ = std::string(line);
    }
    at = end + 1;
  }
}

}  // namespace leverwick
