// JSON text to and from jsoncpp values and protobuf messages.

#ifndef NET_JSON_H_
#define NET_JSON_H_

#include <json/forwards.h>

#include <string>

#include "google/protobuf/message.h"

namespace leverwick {

// One line without spaces.
std::string WriteJson(const Json::Value& value);

// False when the text is not one JSON value; refuses duplicate keys.
bool ReadJson(const std::string& text, Json::Value* value);

// The same for a list that others write entries of: an entry that is nested too
// deep, has a number out of range or a key twice costs no other. Such a value
// reads as null, such a number as text, such a key as its last value.
bool ReadListJson(const std::string& text, Json::Value* value);

std::string MessageToJson(const google::protobuf::Message& message);

// False when the text doesn't fit the message; unknown fields are ignored, so
// that older boxes read newer records.
bool MessageFromJson(const std::string& text,
                     google::protobuf::Message* message);

}  // namespace leverwick

#endif  // NET_JSON_H_
