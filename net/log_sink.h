// Writes log lines to a descriptor without ever waiting for its reader.
//
// What the reader does not take is held, up to a bound; beyond it lines are
// dropped and counted, and a line says so as soon as there is room again.
//
//   LogSink sink(STDOUT_FILENO, 256 * 1024);
//   sink.Write("a line\n");
//   sink.Flush();   // now and then, for what was held

#ifndef NET_LOG_SINK_H_
#define NET_LOG_SINK_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace leverwick {

// Thread-safe.
class LogSink {
 public:
  LogSink(int descriptor, size_t most_held)
      : descriptor_(descriptor), most_held_(most_held) {}

  void Write(const std::string& line);
  void Flush();

  // Lines dropped since the start.
  uint64_t dropped() const;

 private:
  void FlushHeld();
  bool WriteSome();

  const int descriptor_;
  const size_t most_held_;
  mutable std::mutex mutex_;
  std::string held_;
  uint64_t dropped_ = 0;
  uint64_t told_ = 0;  // of the dropped ones
};

}  // namespace leverwick

#endif  // NET_LOG_SINK_H_
