// Bounds the memory of whole answers while they are read from endpoints. Beyond
// the bound only the oldest and small ones are read on; the others pause, and
// lose nothing.
//
//   AnswerReads reads(24UL << 20);
//   if (!reads.Record(run, bytes)) ...  // pause
//   for (uint64_t other : reads.Remove(run)) ...  // read on

#ifndef LEVERWICK_ANSWER_READS_H_
#define LEVERWICK_ANSWER_READS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace leverwick {

// Not thread-safe.
class AnswerReads {
 public:
  // Answers of which no more has been read are small.
  static constexpr size_t kSmallAnswer = 64UL * 1024;

  explicit AnswerReads(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Records that so many bytes of a run's answer are held. Returns whether it
  // may be read on. Later runs have higher numbers.
  bool Record(uint64_t run, size_t bytes);
  // Ends the reading of a run's answer. Returns the runs whose answers may be
  // read on from now on.
  std::vector<uint64_t> Remove(uint64_t run);

  size_t bytes() const { return bytes_; }

 private:
  struct Answer {
    size_t bytes = 0;
    bool is_paused = false;
  };

  const size_t max_bytes_;
  size_t bytes_ = 0;
  std::map<uint64_t, Answer> answers_;  // by run: the oldest first
};

}  // namespace leverwick

#endif  // LEVERWICK_ANSWER_READS_H_
