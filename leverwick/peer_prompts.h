// Prompts that other boxes have sent to endpoints and that are not read yet.
//
// Boxes tell each other of each prompt that they send and when it has been
// read. A note that gets lost does no harm for long: a prompt that nobody says
// was read is forgotten.
//
//   PeerPrompts prompts;
//   prompts.Sent(prompt, now);
//   Seconds reading = prompts.ReadingAt(endpoint);
//   prompts.Read(life, ticket);
//   prompts.Expire(now);

#ifndef LEVERWICK_PEER_PROMPTS_H_
#define LEVERWICK_PEER_PROMPTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// A prompt that a box has sent to an endpoint.
struct SentPrompt {
  uint32_t incarnation = 0;  // of the box, drawn at its start
  uint64_t ticket = 0;       // unique in that life
  std::string endpoint;
  Seconds prefill_time{0};          // expected time of reading it
  std::vector<uint64_t> part_keys;  // keys of its shared parts
};

// Not thread-safe.
class PeerPrompts {
 public:
  void RecordSend(const SentPrompt& prompt, TimePoint now);
  void RecordPrefillDone(uint32_t incarnation, uint64_t ticket);

  // The sum of what the endpoint still has to read of them.
  Seconds PendingPrefillAt(const std::string& endpoint) const;

  // Forgets prompts whose end was not told.
  void Expire(TimePoint now);

  size_t size() const { return prompts_.size(); }

 private:
  using Key = std::pair<uint32_t, uint64_t>;  // life and ticket
  struct PendingPrompt {
    std::string endpoint;
    Seconds prefill_time{0};
    TimePoint sent_at{};
  };
  struct EndpointTotal {
    Seconds prefill_time{0};
    size_t prompts = 0;
  };
  using PendingPrompts = std::map<Key, PendingPrompt>;

  PendingPrompts::iterator Erase(PendingPrompts::iterator prompt);

  PendingPrompts prompts_;
  std::unordered_map<std::string, EndpointTotal> endpoints_;
};

}  // namespace leverwick

#endif  // LEVERWICK_PEER_PROMPTS_H_
