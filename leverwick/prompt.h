// A prompt as a sequence of shareable parts. Endpoints cache the prefix that
// they have processed and need not process it again.

#ifndef LEVERWICK_PROMPT_H_
#define LEVERWICK_PROMPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace leverwick {

// One part of a prompt. Parts with equal ids have equal text.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

// Parts in order; the last one is specific to the request.
using Prompt = std::vector<PromptPart>;

}  // namespace leverwick

#endif  // LEVERWICK_PROMPT_H_
