// Names the incarnation of an endpoint: its id, and its start time if the
// endpoint reports one. State that is kept by incarnation is not carried over
// when an endpoint restarts under the same id. All boxes derive the same names.
//
//   std::string incarnation = IncarnationName("i-1", started_at);
//   EndpointIdFromIncarnation(incarnation) == "i-1"

#ifndef LEVERWICK_ENDPOINT_INCARNATION_H_
#define LEVERWICK_ENDPOINT_INCARNATION_H_

#include <optional>
#include <string>

#include "leverwick/time.h"

namespace leverwick {

// Returns `id` itself if there is no start time.
std::string IncarnationName(const std::string& id,
                            std::optional<WallTime> started_at);

std::string EndpointIdFromIncarnation(const std::string& incarnation);

}  // namespace leverwick

#endif  // LEVERWICK_ENDPOINT_INCARNATION_H_
