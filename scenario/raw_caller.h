// A caller that sends bytes as they are, for requests no client would write.

#ifndef SCENARIO_RAW_CALLER_H_
#define SCENARIO_RAW_CALLER_H_

#include <string>

#include "leverwick/time.h"

namespace leverwick {

// Sends `bytes` to "ip:port", says that no more follow, and returns all that
// comes until the other side closes; what came so far after `patience`.
std::string SendRaw(const std::string& address, const std::string& bytes,
                    milliseconds patience);

// The status of an answer's first line; 0 when there is none.
int StatusOfRaw(const std::string& answer);

}  // namespace leverwick

#endif  // SCENARIO_RAW_CALLER_H_
