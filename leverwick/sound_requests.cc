// Keys are hashes of 64 bits: two requests that share one would excuse each
// other, which is as unlikely as it is harmless.

#include "leverwick/sound_requests.h"

#include <utility>

#include "leverwick/digest.h"

namespace leverwick {

uint64_t SoundRequests::KeyOf(const RequestDigest& request,
                              const std::string& version) {
  return StableHash(version, StableHash(request.bytes()));
}

void SoundRequests::Proved(const RequestDigest& request,
                           const std::string& version, TimePoint now) {
  if (newer_.size() >= kMostEach || now - newer_from_ >= kSpan) {
    older_ = std::exchange(newer_, {});
    newer_from_ = now;
  }
  newer_[KeyOf(request, version)] = 0;
}

bool SoundRequests::Knows(const RequestDigest& request,
                          const std::string& version) const {
  uint64_t key = KeyOf(request, version);
  return newer_.count(key) > 0 || older_.count(key) > 0;
}

bool SoundRequests::Excuses(const RequestDigest& request,
                            const std::string& version) {
  uint64_t key = KeyOf(request, version);
  auto in_newer = newer_.find(key);
  auto in_older = older_.find(key);
  bool known = in_newer != newer_.end() || in_older != older_.end();
  if (!known) return false;
  int& ends = in_newer != newer_.end() ? in_newer->second : in_older->second;
  if (++ends > kExcused) {
    newer_.erase(key);
    older_.erase(key);
    return false;
  }
  return true;
}

}  // namespace leverwick
