// How the programs that run until they are told to stop wait for it.

#ifndef APP_STOP_SIGNAL_H_
#define APP_STOP_SIGNAL_H_

#include <pthread.h>
#include <signal.h>

namespace leverwick {

// Must be called before any thread starts: threads inherit what is blocked.
inline sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

inline void WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace leverwick

#endif  // APP_STOP_SIGNAL_H_
