// Short answers of the stand-ins.

#ifndef STANDIN_REPLY_H_
#define STANDIN_REPLY_H_

#include <json/value.h>

#include "net/http_server.h"
#include "net/json.h"

namespace leverwick {

inline void SendJson(HttpResponder* responder, int status,
                     const Json::Value& value) {
  responder->Send(status, {{"Content-Type", "application/json"}},
                  WriteJson(value));
}

}  // namespace leverwick

#endif  // STANDIN_REPLY_H_
