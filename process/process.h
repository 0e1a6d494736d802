// Process runs a program as a child process.
//
//   Process box({"build/leverwickd", "--settings", file}, "box.log");
//   box.Signal(SIGTERM);
//   int code = box.Wait();

#ifndef PROCESS_PROCESS_H_
#define PROCESS_PROCESS_H_

#include <string>
#include <vector>

namespace leverwick {

class Process {
 public:
  // Starts the program at the path command[0]; its output is appended to the
  // file `log`. If it can't be started, Wait returns 127. `environment`:
  // NAME=value each, beside this process's own.
  Process(const std::vector<std::string>& command, const std::string& log,
          const std::vector<std::string>& environment = {});
  // Kills it if it still runs.
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal);

  // Kills it, frozen or not, and waits for its end.
  void Kill();

  // Waits for its end and returns the exit code; 128 + signal if that ended it.
  int Wait();

  bool running();
  int pid() const { return pid_; }

 private:
  int pid_ = 0;
  bool ended_ = false;
  int code_ = 0;
};

}  // namespace leverwick

#endif  // PROCESS_PROCESS_H_
