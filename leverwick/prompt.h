// A prompt as its shared parts, which endpoints keep and need not read again.

#ifndef LEVERWICK_PROMPT_H_
#define LEVERWICK_PROMPT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace leverwick {

// A part of a prompt, in order; equal ids hold equal text.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
};

// The last part is the request's own.
using Prompt = std::vector<PromptPart>;

}  // namespace leverwick

#endif  // LEVERWICK_PROMPT_H_
