// Sums are kept by endpoint, since a choice asks for each endpoint's. An
// endpoint without prompts is dropped with its sum, so that rounding does not
// add up.

#include "leverwick/peer_prompts.h"

namespace leverwick {
namespace {

// A prompt whose end was not told is taken to be read after this, longer than
// the slowest model reads the longest.
constexpr std::chrono::seconds kLongestReading{6};

}  // namespace

void PeerPrompts::Sent(const SentPrompt& prompt, TimePoint now) {
  auto added = prompts_.emplace(Key(prompt.life, prompt.ticket),
                                Prompt{prompt.endpoint, prompt.reading, now});
  if (!added.second) return;  // a datagram that came twice
  Endpoint& endpoint = endpoints_[prompt.endpoint];
  endpoint.reading += prompt.reading;
  ++endpoint.prompts;
}

void PeerPrompts::Read(uint32_t life, uint64_t ticket) {
  auto found = prompts_.find(Key(life, ticket));
  if (found != prompts_.end()) Erase(found);
}

PeerPrompts::Prompts::iterator PeerPrompts::Erase(Prompts::iterator prompt) {
  auto endpoint = endpoints_.find(prompt->second.endpoint);
  endpoint->second.reading -= prompt->second.reading;
  if (--endpoint->second.prompts == 0) endpoints_.erase(endpoint);
  return prompts_.erase(prompt);
}

Seconds PeerPrompts::ReadingAt(const std::string& endpoint) const {
  auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? Seconds(0) : found->second.reading;
}

void PeerPrompts::Expire(TimePoint now) {
  for (auto prompt = prompts_.begin(); prompt != prompts_.end();) {
    bool lost = now - prompt->second.sent > kLongestReading;
    prompt = lost ? Erase(prompt) : std::next(prompt);
  }
}

}  // namespace leverwick
