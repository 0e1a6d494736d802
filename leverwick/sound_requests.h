// Which requests have been answered well lately, by version of the service.
//
// A popular request is under way wherever an endpoint ends, whoever ended it.
// That it was answered by endpoints which lived on tells it from one that ends
// each endpoint, also when no endpoint is left to prove it sound again. Such a
// request is excused from a few ends in a row, not from all: it may have come
// to do harm only now.
//
//   SoundRequests sound;
//   sound.Proved(request, version, now);
//   if (sound.Excuses(request, version)) ...   // an end that does not count

#ifndef LEVERWICK_SOUND_REQUESTS_H_
#define LEVERWICK_SOUND_REQUESTS_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "leverwick/request_digest.h"
#include "leverwick/time.h"

namespace leverwick {

// Not thread-safe.
class SoundRequests {
 public:
  // Ends in a row that a request is excused from: as many as hold one that was
  // never answered well.
  static constexpr int kExcused = 3;
  // A request is remembered for one to two of these spans, or until so many
  // others have come: some 50 bytes each.
  static constexpr std::chrono::minutes kSpan{5};
  static constexpr size_t kMostEach = 4096;

  void Proved(const RequestDigest& request, const std::string& version,
              TimePoint now);
  bool Knows(const RequestDigest& request, const std::string& version) const;
  // An endpoint ended under the request: whether that does not count against
  // it. After the last end that is excused the request is forgotten.
  bool Excuses(const RequestDigest& request, const std::string& version);

  size_t size() const { return newer_.size() + older_.size(); }

 private:
  using Excused = std::unordered_map<uint64_t, int>;  // ends, by request

  static uint64_t KeyOf(const RequestDigest& request,
                        const std::string& version);

  // Two generations: when the newer one is full or old, the older one goes.
  Excused newer_;
  Excused older_;
  TimePoint newer_from_{};
};

}  // namespace leverwick

#endif  // LEVERWICK_SOUND_REQUESTS_H_
