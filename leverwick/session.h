// Session ids that carry the session's pin.
//
// A session keeps the version it started on, and boxes keep no state for it.
// The id itself contains the organisation, model and version, with a MAC; any
// box that has the table can verify it, also a new one in another data centre.
//
//   std::string id = MakeSessionId(key, {"acme", "swift", "3"}, nonce);
//   SessionPin pin;
//   if (!ParseSessionId(keys, id, &pin)) ...  // forged, or an unknown key

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

// Returns false if the id was not made with a key of `keys`.
bool ParseSessionId(const std::vector<const SigningKey*>& keys,
                    const std::string& id, SessionPin* pin);

}  // namespace leverwick

#endif  // LEVERWICK_SESSION_H_
