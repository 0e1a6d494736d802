// Bounds the memory of answers that are held until they are complete and whose
// length is not known beforehand, over all requests of a box. An endpoint that
// writes bytes without end would otherwise fill it.
//
//   HeldAnswers answers;
//   answers.Record(run, bytes);
//   if (auto run = answers.AnswerToDrop()) ...  // breaks it off
//   answers.Remove(run);

#ifndef LEVERWICK_HELD_ANSWERS_H_
#define LEVERWICK_HELD_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace leverwick {

// Not thread-safe.
class HeldAnswers {
 public:
  // A quarter of the memory of a small box, 32 MB: a string that grows takes up
  // to twice its size.
  static constexpr size_t kMaxBytes = 8UL << 20;

  // Sets the number of bytes that are held of a run's answer.
  void Record(uint64_t run, size_t bytes);
  void Remove(uint64_t run);
  // Returns the run with the largest answer if there are more bytes than
  // kMaxBytes in all.
  std::optional<uint64_t> AnswerToDrop() const;

  size_t bytes() const { return bytes_; }

 private:
  std::unordered_map<uint64_t, size_t> bytes_by_run_;
  size_t bytes_ = 0;
};

}  // namespace leverwick

#endif  // LEVERWICK_HELD_ANSWERS_H_
