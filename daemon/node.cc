// The reader of a data centre is the member that rendezvous hashing ranks
// first, so all boxes with the same roster agree on it.

#include "daemon/node.h"

#include <openssl/rand.h>

#include <vector>

#include "leverwick/slots.h"

namespace leverwick {
namespace {

// A slot number no claim uses.
constexpr uint32_t kReaderSlot = 0xffffffff;

MembershipOptions MembershipOptionsOf(const DaemonSettings& settings,
                                      const Member& self) {
  MembershipOptions options;
  options.self = self;
  options.data_centre = settings.box().data_centre();
  options.failure_timeout = FromProto(settings.peers().dead_after());
  options.fanout = static_cast<size_t>(settings.peers().fanout());
  return options;
}

Member MakeMember(const std::string& life, const std::string& address) {
  Member member;
  member.set_life(life);
  member.set_address(address);
  return member;
}

}  // namespace

Node::Node(const DaemonSettings& settings_in, const std::string& life_in)
    : settings(settings_in),
      life(life_in),
      freshness({FromProto(settings.table().freshness()),
                 FromProto(settings.table().cut_off_after())}),
      membership(MembershipOptionsOf(settings, self())),
      estimates(life),
      guard(life),
      planner(&estimates),
      retries(settings.requests().retry_share()),
      bills(static_cast<size_t>(settings.bills().max_queued())),
      platform(settings.platform().address(),
               ToMilliseconds(settings.platform().timeout())),
      peers(ToMilliseconds(settings.peers().timeout())) {}

Member Node::self() const {
  const ListenSettings& listen = settings.listen();
  bool advertised = !listen.advertised_control().empty();
  return MakeMember(
      life, advertised ? listen.advertised_control() : listen.control());
}

Roster Node::CurrentRoster() const {
  std::shared_ptr<const Table> table = tables.table();
  const std::vector<Roster>& rosters =
      table->RostersFor(settings.box().data_centre());
  return rosters.empty() ? Roster() : rosters.back();
}

bool Node::Reader(Member* reader) const {
  Roster roster = CurrentRoster();
  std::vector<Member> ranked = RankMembers(roster, kReaderSlot);
  bool is_member = false;
  for (const Member& member : ranked) {
    is_member = is_member || member.life() == life;
  }
  if (!is_member || ranked.front().life() == life) return false;
  *reader = ranked.front();
  return true;
}

bool Node::IsReader() const {
  std::vector<Member> ranked = RankMembers(CurrentRoster(), kReaderSlot);
  return !ranked.empty() && ranked.front().life() == life;
}

std::unique_ptr<Node> NodeBuilder::Build() const {
  constexpr size_t kLifeBytes = 4;
  std::string life = life_;
  if (life.empty()) life = settings_.box().name() + "-" + RandomHex(kLifeBytes);
  return std::make_unique<Node>(settings_, life);
}

std::string RandomHex(size_t bytes) {
  static const char kDigits[] = "0123456789abcdef";
  std::vector<unsigned char> random(bytes);
  RAND_bytes(random.data(), static_cast<int>(bytes));
  std::string hex;
  for (unsigned char byte : random) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

}  // namespace leverwick
