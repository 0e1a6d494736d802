// A process that the scenario runner started.

#ifndef SCENARIO_PROCESS_H_
#define SCENARIO_PROCESS_H_

#include <string>
#include <vector>

namespace leverwick {

class Process {
 public:
  // Starts a program; its output goes to `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  // Kills it if it still runs.
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal);

  // Kills it, frozen or not, and waits for its end.
  void Kill();

  // Waits for its end and returns the exit code; 128 + signal when killed.
  int Wait();

  bool running();
  int pid() const { return pid_; }

 private:
  int pid_ = 0;
  bool ended_ = false;
  int code_ = 0;
};

}  // namespace leverwick

#endif  // SCENARIO_PROCESS_H_
