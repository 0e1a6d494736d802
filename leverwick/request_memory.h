// RequestMemory bounds the memory of the requests that a server holds: those
// that are being read and those that are served.
//
// A request reserves memory before it takes it. When the bound is reached,
// requests that are being read are evicted, the longest silence first. A large
// request evicts only requests that have stalled, and never uses the part that
// is kept for small ones; a small request evicts any that is not read yet. A
// request that has been read is never evicted: an endpoint may already run it.
//
//   auto memory = std::make_shared<RequestMemory>(24UL << 20);
//   RequestHold hold(memory, now);
//   std::vector<RequestMemory::Ticket> evicted;
//   if (!memory->Reserve(hold.ticket(), bytes, now, &evicted)) ...  // refuse
//   ...  // drop the holds of the evicted, then take the memory
//   memory->RecordProgress(hold.ticket(), now);
//   memory->RecordWhole(hold.ticket());

#ifndef LEVERWICK_REQUEST_MEMORY_H_
#define LEVERWICK_REQUEST_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class RequestMemory {
 public:
  using Ticket = uint64_t;

  // Requests of up to so many bytes are small.
  static constexpr size_t kSmallRequest = 64UL * 1024;
  // A request that is being read has stalled after this silence.
  static constexpr milliseconds kStallTime{500};

  explicit RequestMemory(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Holds for requests that have reserved more stay as they are.
  void SetMaxBytes(size_t max_bytes) { max_bytes_ = max_bytes; }

  Ticket Add(TimePoint now);
  void Remove(Ticket ticket);

  // Reserves `bytes` for the request in place of what it has. Returns false if
  // there is no room; nothing has changed then. Sets `evicted` to the requests
  // whose memory the caller has to free first. One large request is granted
  // whatever its size.
  bool Reserve(Ticket ticket, size_t bytes, TimePoint now,
               std::vector<Ticket>* evicted);

  // Records that bytes of the request have come.
  void RecordProgress(Ticket ticket, TimePoint now);
  // Records that the request has been read.
  void RecordWhole(Ticket ticket);

  size_t bytes() const { return bytes_; }
  size_t max_bytes() const { return max_bytes_; }

 private:
  struct Request {
    size_t bytes = 0;
    TimePoint last_byte{};
    bool is_whole = false;
    std::list<Ticket>::iterator place;  // in silent_
  };

  static bool IsLarge(size_t bytes) { return bytes > kSmallRequest; }
  // The bytes that requests may hold together once one of this size is added.
  size_t BoundFor(size_t bytes) const;
  // Finds requests that free `bytes`; empty if there are not enough.
  std::vector<Ticket> FindEvictable(Ticket ticket, size_t bytes,
                                    TimePoint silent_since) const;
  void SetBytes(Request* request, size_t bytes);

  size_t max_bytes_;
  size_t bytes_ = 0;
  size_t large_ = 0;  // requests
  Ticket next_ticket_ = 1;
  std::unordered_map<Ticket, Request> requests_;
  std::list<Ticket> silent_;  // not whole; the longest silence first
};

// Keeps a request's memory reserved for as long as this lives.
class RequestHold {
 public:
  RequestHold(std::shared_ptr<RequestMemory> memory, TimePoint now)
      : memory_(std::move(memory)), ticket_(memory_->Add(now)) {}
  ~RequestHold() { memory_->Remove(ticket_); }
  RequestHold(const RequestHold&) = delete;
  RequestHold& operator=(const RequestHold&) = delete;

  RequestMemory::Ticket ticket() const { return ticket_; }

 private:
  const std::shared_ptr<RequestMemory> memory_;
  const RequestMemory::Ticket ticket_;
};

}  // namespace leverwick

#endif  // LEVERWICK_REQUEST_MEMORY_H_
