// What an operator does to the table, for leverwickctl.
//
// An edit goes to the log with the revision it was based on, and counts once
// its verdict is known from the log itself. When the answer to the append is
// lost, the log is searched for the edit, and it is appended again only if it
// isn't there; a second copy would be rejected anyway.

#ifndef NET_OPERATOR_CLIENT_H_
#define NET_OPERATOR_CLIENT_H_

#include <string>
#include <vector>

#include "leverwick/bills.h"
#include "leverwick/table.h"
#include "net/config_log.h"
#include "net/platform_client.h"

namespace leverwick {

struct EditOutcome {
  std::error_code error;  // of the append, or the verdict
  std::string detail;
  uint64_t offset = 0;
};

// A box and whether it has a change in force.
struct BoxState {
  ListedBox box;
  bool reached = false;
  bool in_force = false;
  uint64_t next_offset = 0;
};

class OperatorClient {
 public:
  OperatorClient(std::string platform, std::string author,
                 milliseconds timeout);

  // Reads the table at the log's end.
  std::error_code Read(Table* table, const RecordSeen& seen = {});

  // Reads all bills that the log still holds.
  std::error_code ReadLedger(Ledger* ledger);

  // Appends an edit and waits for its verdict.
  EditOutcome Apply(const Edit& edit);

  // Waits until every listed box that can be reached has applied `offset`, at
  // most `bound`. Boxes that are behind or can't be reached are in `states`. An
  // error: the boxes can't be listed, so that nothing is known of any.
  std::error_code WaitInForce(uint64_t offset, nanoseconds bound,
                              std::vector<BoxState>* states);

  std::error_code Boxes(BoxList* list) { return platform_.ReadList("", list); }
  PlatformClient& platform() { return platform_; }

 private:
  BoxState StateOf(const ListedBox& box, uint64_t offset);
  bool FindEdit(const std::string& edit_id, EditOutcome* outcome);

  PlatformClient platform_;
  const std::string author_;
  const milliseconds timeout_;
};

}  // namespace leverwick

#endif  // NET_OPERATOR_CLIENT_H_
