// How the programs that run until they are told to stop wait for it.

#ifndef PROCESS_STOP_SIGNAL_H_
#define PROCESS_STOP_SIGNAL_H_

#include <pthread.h>
#include <signal.h>

#include <initializer_list>

namespace leverwick {

inline sigset_t SignalSet(std::initializer_list<int> numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (int number : numbers) sigaddset(&signals, number);
  return signals;
}

// Must be called before any thread starts: threads inherit what is blocked.
inline sigset_t BlockStopSignals() {
  sigset_t signals = SignalSet({SIGTERM, SIGINT});
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// The signals that tell a daemon what to do. One that arrives before there is a
// handler would end the process, so they stay blocked until there is one.
inline sigset_t DaemonSignals() { return SignalSet({SIGTERM, SIGINT, SIGHUP}); }

inline void WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace leverwick

#endif  // PROCESS_STOP_SIGNAL_H_
