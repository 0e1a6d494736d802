// Sums are kept by endpoint, since each choice reads the sum of every
// candidate. The entry of an endpoint without prompts is erased together with
// its sum, so that rounding errors don't accumulate.

#include "leverwick/peer_prompts.h"

namespace leverwick {
namespace {

// The prefill of a prompt is taken to be complete after this time if no report
// arrives. It is longer than the longest prefill of the slowest model.
constexpr std::chrono::seconds kMaxPrefillTime{6};

}  // namespace

void PeerPrompts::RecordSend(const SentRequest& prompt, TimePoint now) {
  auto added = prompts_.emplace(
      Key(prompt.incarnation, prompt.ticket),
      PendingPrompt{prompt.endpoint, prompt.prefill_time, now});
  if (!added.second) return;  // a duplicate datagram
  EndpointTotal& endpoint = endpoints_[prompt.endpoint];
  endpoint.prefill_time += prompt.prefill_time;
  ++endpoint.prompts;
}

void PeerPrompts::RecordPrefillDone(uint32_t incarnation, uint64_t ticket) {
  auto found = prompts_.find(Key(incarnation, ticket));
  if (found != prompts_.end()) Erase(found);
}

PeerPrompts::PendingPrompts::iterator PeerPrompts::Erase(
    PendingPrompts::iterator prompt) {
  auto endpoint = endpoints_.find(prompt->second.endpoint);
  endpoint->second.prefill_time -= prompt->second.prefill_time;
  if (--endpoint->second.prompts == 0) endpoints_.erase(endpoint);
  return prompts_.erase(prompt);
}

Seconds PeerPrompts::PendingPrefillAt(const std::string& endpoint) const {
  auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? Seconds(0) : found->second.prefill_time;
}

void PeerPrompts::Expire(TimePoint now) {
  for (auto prompt = prompts_.begin(); prompt != prompts_.end();) {
    bool is_expired = now - prompt->second.sent_at > kMaxPrefillTime;
    prompt = is_expired ? Erase(prompt) : std::next(prompt);
  }
}

}  // namespace leverwick
