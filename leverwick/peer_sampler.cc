#include "leverwick/peer_sampler.h"

#include <algorithm>

namespace leverwick {
namespace {

constexpr milliseconds kUnresponsiveTime{2000};
// Draws for each wanted box. More would not help where most of the boxes are
// unresponsive: the caller samples again.
constexpr size_t kDrawsPerBox = 4;

}  // namespace

void PeerSampler::SetPeers(std::vector<LogBox> peers, TimePoint now) {
  peers_ = std::move(peers);
  for (auto it = unresponsive_until_.begin();
       it != unresponsive_until_.end();) {
    it = it->second <= now ? unresponsive_until_.erase(it) : std::next(it);
  }
}

void PeerSampler::RecordUnresponsive(const std::string& name, TimePoint now) {
  unresponsive_until_[name] = now + kUnresponsiveTime;
}

std::vector<LogBox> PeerSampler::Sample(
    size_t count, size_t among, TimePoint now,
    const std::function<double()>& draw) const {
  std::vector<LogBox> drawn;
  auto size = static_cast<double>(std::min(among, peers_.size()));
  for (size_t i = 0; i < kDrawsPerBox * count && drawn.size() < count; ++i) {
    auto at = static_cast<size_t>(draw() * size);
    if (at >= peers_.size()) continue;
    const LogBox& box = peers_[at];
    bool is_drawn = std::any_of(
        drawn.begin(), drawn.end(),
        [&](const LogBox& other) { return other.name == box.name; });
    if (!is_drawn && IsResponsive(box.name, now)) drawn.push_back(box);
  }
  return drawn;
}

bool PeerSampler::IsResponsive(const std::string& name, TimePoint now) const {
  auto it = unresponsive_until_.find(name);
  return it == unresponsive_until_.end() || now >= it->second;
}

}  // namespace leverwick
