// Splits a server-sent event stream of chat chunks and checks each chunk.
//
// An engine's chunks differ in little but their text, so a chunk that has the
// same bytes around its text as the last one that was parsed in full is not
// parsed again. ParseChunk is the plain way, and the tests' reference.

#ifndef DAEMON_SSE_H_
#define DAEMON_SSE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
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

// Parses the data of one event in full; false when it is malformed.
bool ParseChunk(std::string_view data, ChatChunk* chunk);

class SseReader {
 public:
  // Adds bytes and returns the events that are whole now; false when an event
  // is malformed.
  bool Add(const char* data, size_t size, std::vector<ChatChunk>* chunks);

 private:
  bool Parse(std::string_view event, ChatChunk* chunk);
  bool ParseLikeLast(std::string_view data, ChatChunk* chunk) const;
  void Learn(const ChatChunk& chunk);

  std::string pending_;
  // The bytes around the text of the last plain chunk, and its id.
  std::string before_;
  std::string after_;
  std::string id_;
};

}  // namespace leverwick

#endif  // DAEMON_SSE_H_
