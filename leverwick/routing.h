// Finds the versions that an organisation's request may run on.
//
// The allowed versions are those of the organisation's row, restricted to the
// versions in force and the session's pin. A candidate version gets requests
// only through its roll-out. A hash of the session or request decides whether
// it belongs to the step's share, so that boxes agree without exchanging
// messages.

#ifndef LEVERWICK_ROUTING_H_
#define LEVERWICK_ROUTING_H_

#include <functional>
#include <string>
#include <vector>

#include "leverwick/result.h"
#include "leverwick/session.h"
#include "leverwick/table.h"

namespace leverwick {

// The model name with which callers leave the choice to the system.
constexpr char kAnyModel[] = "auto";

// Returns whether the organisation's row allows the version.
bool IsAllowed(const Organisation& organisation, const Version& version);

struct RouteRequest {
  const Organisation* organisation = nullptr;
  std::string model;                // a model, model@version or kAnyModel
  const SessionPin* pin = nullptr;  // null: no session
  bool new_session = false;         // draining versions accept none
};

// Finds the versions that may serve the request by the table alone; roll-outs
// are applied afterwards. Returns an error if there is none.
std::error_code FindCandidates(const Table& table, const RouteRequest& request,
                               std::vector<const Version*>* candidates);

// Returns the version that replaces `chosen` by a roll-out and stores that
// roll-out in `*applied`; null if none does. `sticky_key` is the session's or
// request's id. `is_tripped` returns whether this box's regression detector has
// stopped a roll-out.
const Version* ApplyRollouts(
    const Table& table, const Organisation& organisation, const Version& chosen,
    const std::string& sticky_key,
    const std::function<bool(const std::string& rollout)>& is_tripped,
    const Rollout** applied);

// Returns whether the version may serve the request. This is a plain, slow form
// of the rule, with which tests compare FindCandidates.
bool MayServe(const Table& table, const RouteRequest& request,
              const Version& version);

}  // namespace leverwick

#endif  // LEVERWICK_ROUTING_H_
