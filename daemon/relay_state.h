// Shows the state of a relay, read from its metrics, to a person.

#ifndef DAEMON_RELAY_STATE_H_
#define DAEMON_RELAY_STATE_H_

#include <ostream>
#include <string>

namespace leverwick {

// `metrics_text` is what the relay's metrics address answers.
void PrintRelayState(const std::string& metrics_text, std::ostream* out);

}  // namespace leverwick

#endif  // DAEMON_RELAY_STATE_H_
