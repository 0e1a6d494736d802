#include "leverwick/request_memory.h"

namespace leverwick {
namespace {

// Of the memory, for small requests only.
constexpr size_t kSmallPart = 4;

}  // namespace

RequestMemory::Ticket RequestMemory::Add(TimePoint now) {
  Ticket ticket = next_ticket_++;
  Request request;
  request.last_byte = now;
  request.place = silent_.insert(silent_.end(), ticket);
  requests_.emplace(ticket, request);
  return ticket;
}

void RequestMemory::Remove(Ticket ticket) {
  auto found = requests_.find(ticket);
  if (found == requests_.end()) return;
  SetBytes(&found->second, 0);
  if (!found->second.is_whole) silent_.erase(found->second.place);
  requests_.erase(found);
}

size_t RequestMemory::BoundFor(size_t bytes) const {
  return IsLarge(bytes) ? max_bytes_ - max_bytes_ / kSmallPart : max_bytes_;
}

bool RequestMemory::Reserve(Ticket ticket, size_t bytes, TimePoint now,
                            std::vector<Ticket>* evicted) {
  evicted->clear();
  Request& request = requests_.at(ticket);
  size_t others = bytes_ - request.bytes;
  size_t other_large = large_ - (IsLarge(request.bytes) ? 1 : 0);
  bool is_only_large = IsLarge(bytes) && other_large == 0;
  size_t bound = BoundFor(bytes);
  bool fits = bytes <= request.bytes || others + bytes <= bound;
  if (!fits && !is_only_large) {
    TimePoint silent_since = IsLarge(bytes) ? now - kStallTime : now;
    size_t lacking = others + bytes - bound;
    *evicted = FindEvictable(ticket, lacking, silent_since);
    if (evicted->empty()) return false;
  }
  SetBytes(&request, bytes);
  return true;
}

std::vector<RequestMemory::Ticket> RequestMemory::FindEvictable(
    Ticket ticket, size_t bytes, TimePoint silent_since) const {
  std::vector<Ticket> found;
  size_t freed = 0;
  for (Ticket candidate : silent_) {
    const Request& request = requests_.at(candidate);
    if (request.last_byte > silent_since) break;
    if (candidate == ticket || request.bytes == 0) continue;
    found.push_back(candidate);
    freed += request.bytes;
    if (freed >= bytes) return found;
  }
  return {};
}

void RequestMemory::RecordProgress(Ticket ticket, TimePoint now) {
  Request& request = requests_.at(ticket);
  request.last_byte = now;
  if (request.is_whole) return;
  silent_.splice(silent_.end(), silent_, request.place);
}

void RequestMemory::RecordWhole(Ticket ticket) {
  Request& request = requests_.at(ticket);
  if (request.is_whole) return;
  request.is_whole = true;
  silent_.erase(request.place);
}

void RequestMemory::SetBytes(Request* request, size_t bytes) {
  if (IsLarge(request->bytes)) --large_;
  if (IsLarge(bytes)) ++large_;
  bytes_ = bytes_ - request->bytes + bytes;
  request->bytes = bytes;
}

}  // namespace leverwick
