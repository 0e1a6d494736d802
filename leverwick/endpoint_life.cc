// The start stands behind the id in milliseconds since 1970, in a form that no
// id of the platform ends with.

#include "leverwick/endpoint_life.h"

namespace leverwick {
namespace {

constexpr char kBorn[] = "@born=";

}  // namespace

std::string LifeName(const std::string& id, std::optional<WallTime> born) {
  if (!born) return id;
  return id + kBorn + std::to_string(SinceEpoch(*born).count());
}

std::string IdOfLife(const std::string& life) {
  size_t at = life.rfind(kBorn);
  return at == std::string::npos ? life : life.substr(0, at);
}

}  // namespace leverwick
