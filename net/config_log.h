// Reads the configuration log into a table, from its start or, when old
// records have expired, from the newest snapshot that is left.

#ifndef NET_CONFIG_LOG_H_
#define NET_CONFIG_LOG_H_

#include <functional>
#include <string>

#include "leverwick/table.h"
#include "net/platform_client.h"

namespace leverwick {

// The record in a log entry; an empty one, which every table rejects, when it
// can't be read, so that all boxes move past it alike.
ConfigRecord ParseConfigRecord(const std::string& data);

// Called for each record applied, with its verdict.
using RecordSeen = std::function<void(const TailRecord&, const ConfigRecord&,
                                      const Table::ApplyResult&)>;

// Replaces `table` by the one at the end of the log. kExpired when records are
// gone and no snapshot is left.
std::error_code ReadTable(LogSource* source, Table* table,
                          const RecordSeen& seen);

}  // namespace leverwick

#endif  // NET_CONFIG_LOG_H_
