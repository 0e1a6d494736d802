// Which versions an organisation's request may run on.
//
// The allowed set is the organisation's row, crossed with the versions in
// force, the session's pin, and what a box that is cut off may still serve.
// A candidate version gets work only through its roll-out: the share of the
// step is decided by a hash of the session or request, so that boxes agree
// without talking.

#ifndef LEVERWICK_ROUTING_H_
#define LEVERWICK_ROUTING_H_

#include <functional>
#include <string>
#include <vector>

#include "leverwick/result.h"
#include "leverwick/session.h"
#include "leverwick/table.h"

namespace leverwick {

// The word callers give as model to leave the choice to the system.
constexpr char kAnyModel[] = "auto";

// Whether the organisation's row allows the version.
bool IsAllowed(const Organisation& organisation, const Version& version);

struct RouteRequest {
  const Organisation* organisation = nullptr;
  std::string model;                // a model, model@version or kAnyModel
  const SessionPin* pin = nullptr;  // null: no session
  bool new_session = false;         // draining versions take none
};

// The versions that may take the request by the table alone; roll-outs are
// applied afterwards. An error when there is none.
std::error_code FindCandidates(const Table& table, const RouteRequest& request,
                               std::vector<const Version*>* candidates);

// The version that replaces `chosen` by a roll-out; null when none does.
// `sticky` is the session's or request's id. `tripped` tells whether the guard
// of this box stopped a roll-out.
const Version* ApplyRollouts(
    const Table& table, const Organisation& organisation, const Version& chosen,
    const std::string& sticky,
    const std::function<bool(const std::string& rollout)>& tripped,
    const Rollout** applied);

// A plain, slow form of the whole rule, which tests hold against
// FindCandidates: may this version serve this request?
bool MayServe(const Table& table, const RouteRequest& request,
              const Version& version);

}  // namespace leverwick

#endif  // LEVERWICK_ROUTING_H_
