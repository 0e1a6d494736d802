// PeerPrompts tracks prompts that other boxes have sent to endpoints and whose
// prefill has not completed.
//
// Boxes report to each other each prompt that they send and the completion of
// its prefill. Reports may be lost, so a prompt without a completion report
// expires.
//
//   PeerPrompts prompts;
//   prompts.RecordSend(prompt, now);
//   Seconds prefill = prompts.PendingPrefillAt(endpoint);
//   prompts.RecordPrefillDone(incarnation, ticket);
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

// A request that a box has sent to an endpoint.
struct SentRequest {
  uint32_t incarnation = 0;  // of the box, drawn at its start
  uint64_t ticket = 0;       // unique within the incarnation
  std::string endpoint;
  Seconds prefill_time{0};          // expected
  std::vector<uint64_t> part_keys;  // of the shared parts of its prompt
  // The request ends within this time; 0: the box does not report its end.
  milliseconds time_left{0};

  bool has_prompt() const {
    return prefill_time.count() > 0 || !part_keys.empty();
  }
};

// Not thread-safe.
class PeerPrompts {
 public:
  // Records a prompt that another box has sent. Duplicate reports are ignored.
  void RecordSend(const SentRequest& prompt, TimePoint now);
  // Records that the prefill of a prompt has completed.
  void RecordPrefillDone(uint32_t incarnation, uint64_t ticket);

  // Returns the sum of the expected prefill times of the prompts that are
  // pending at the endpoint.
  Seconds PendingPrefillAt(const std::string& endpoint) const;

  // Drops prompts whose completion was not reported in time.
  void Expire(TimePoint now);

  size_t size() const { return prompts_.size(); }

 private:
  using Key = std::pair<uint32_t, uint64_t>;  // incarnation and ticket
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
