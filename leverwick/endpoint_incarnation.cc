// The start time follows the id as a suffix in milliseconds since 1970. No
// endpoint id of the platform ends in a suffix of this form.

#include "leverwick/endpoint_incarnation.h"

namespace leverwick {
namespace {

constexpr char kStartSeparator[] = "@born=";

}  // namespace

std::string IncarnationName(const std::string& id,
                            std::optional<WallTime> started_at) {
  if (!started_at) return id;
  return id + kStartSeparator + std::to_string(SinceEpoch(*started_at).count());
}

std::string EndpointIdFromIncarnation(const std::string& incarnation) {
  size_t at = incarnation.rfind(kStartSeparator);
  return at == std::string::npos ? incarnation : incarnation.substr(0, at);
}

}  // namespace leverwick
