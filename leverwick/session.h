// Session ids that carry their own pin.
//
// A session keeps the version it started on, and boxes keep nothing. So the id
// itself names organisation, model and version, with a keyed hash; any box
// that has the table can check it, also a fresh one in another data centre.
//
//   std::string id = MakeSessionId(key, {"acme", "swift", "3"}, nonce);
//   SessionPin pin;
//   if (!ReadSessionId(keys, id, &pin)) ...  // forged, or an unknown key

#ifndef LEVERWICK_SESSION_H_
#define LEVERWICK_SESSION_H_

#include <string>
#include <vector>

#include "schema/table.pb.h"

namespace leverwick {

struct SessionPin {
  std::string organisation;
  std::string model;
  std::string version;
};

std::string MakeSessionId(const SigningKey& key, const SessionPin& pin,
                          const std::string& nonce);

// False when no key of `keys` made the id.
bool ReadSessionId(const std::vector<const SigningKey*>& keys,
                   const std::string& id, SessionPin* pin);

}  // namespace leverwick

#endif  // LEVERWICK_SESSION_H_
