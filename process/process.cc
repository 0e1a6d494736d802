// fork and exec. The child ends with its parent.

#include "process/process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "process/stop_signal.h"

namespace leverwick {
namespace {

int CodeOf(int status) {
  constexpr int kSignalled = 128;
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalled + WTERMSIG(status);
}

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::string& log,
                 const std::vector<std::string>& environment) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  // A signal that is sent before the program is loaded waits for it.
  sigset_t signals = DaemonSignals();
  sigset_t before;
  pthread_sigmask(SIG_BLOCK, &signals, &before);
  pid_ = fork();
  if (pid_ != 0) {
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  // A socket that the child inherited would stay open when the parent closes
  // it: peers would neither see the close nor be refused.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  for (const std::string& entry : environment) {
    putenv(const_cast<char*>(entry.c_str()));
  }
  execv(arguments[0], arguments.data());
  _exit(127);
}

Process::~Process() {
  if (!ended_) Kill();
}

void Process::Signal(int signal) {
  if (!ended_) kill(pid_, signal);
}

void Process::Kill() {
  Signal(SIGKILL);
  Wait();
}

int Process::Wait() {
  if (ended_) return code_;
  int status = 0;
  waitpid(pid_, &status, 0);
  ended_ = true;
  code_ = CodeOf(status);
  return code_;
}

bool Process::running() {
  if (ended_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  ended_ = true;
  code_ = CodeOf(status);
  return false;
}

}  // namespace leverwick
