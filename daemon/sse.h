// Splits a server-sent event stream of chat chunks and checks each chunk.

#ifndef DAEMON_SSE_H_
#define DAEMON_SSE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace leverwick {

// One event of an engine's stream.
struct ChatChunk {
  bool done = false;      // the closing "[DONE]"
  bool finished = false;  // has a finish reason
  std::string id;
  std::string content;  // text of the delta
  bool has_usage = false;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  std::string data;  // the event's data as it came
};

class SseReader {
 public:
  // Adds bytes and returns the events that are whole now; false when an event
  // is malformed.
  bool Add(const char* data, size_t size, std::vector<ChatChunk>* chunks);

 private:
  static bool Parse(const std::string& event, ChatChunk* chunk);

  std::string pending_;
};

}  // namespace leverwick

#endif  // DAEMON_SSE_H_
