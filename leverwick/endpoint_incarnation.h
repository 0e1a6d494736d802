// The name of one life of an endpoint: its id, and when it started if it says
// so. An endpoint that starts again under its id is another one to whoever
// remembers what the earlier one did, and all boxes give both the same names.
//
//   std::string incarnation = LifeName("i-1", started_at);
//   IdOfLife(life) == "i-1"

#ifndef LEVERWICK_ENDPOINT_INCARNATION_H_
#define LEVERWICK_ENDPOINT_INCARNATION_H_

#include <optional>
#include <string>

#include "leverwick/time.h"

namespace leverwick {

// Without a start the name is the id.
std::string IncarnationName(const std::string& id,
                            std::optional<WallTime> started_at);

std::string EndpointIdFromIncarnation(const std::string& incarnation);

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_INCARNATION_H_
