// Reads and checks the body of a chat completion request.

#ifndef DAEMON_CHAT_REQUEST_H_
#define DAEMON_CHAT_REQUEST_H_

#include <json/value.h>

#include <string>

namespace leverwick {

struct ChatRequest {
  Json::Value body;  // as the caller sent it
  std::string model;
  bool streamed = false;
  int64_t max_tokens = 0;     // 0: not given
  int64_t prompt_tokens = 0;  // estimated from the length
  std::string prefix;         // first part of the prompt, for affinity
};

// False with one sentence in `why` when the body is not acceptable.
bool ReadChatRequest(const std::string& text, ChatRequest* request,
                     std::string* why);

// Tokens of a text, roughly: engines tell the exact number afterwards.
int64_t EstimateTokens(size_t characters);

}  // namespace leverwick

#endif  // DAEMON_CHAT_REQUEST_H_
