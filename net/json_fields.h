// Reads the fields of a JSON object by name and type.
//
// The first problem is kept and everything after it reads as left out, so a
// decoder reads all its fields and asks once at the end.
//
//   std::string problem;
//   JsonFields fields(object, &problem);
//   std::string name = fields.Text("name", true);
//   if (!fields.ok()) ...   // `problem` says why

#ifndef NET_JSON_FIELDS_H_
#define NET_JSON_FIELDS_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "leverwick/time.h"

namespace leverwick {

// The object and `problem` must outlive it.
class JsonFields {
 public:
  JsonFields(const Json::Value& object, std::string* problem);

  bool ok() const { return problem_->empty(); }

  // Empty when the field is left out.
  std::string Text(const char* name, bool required = false);
  // A finite number from 0 on.
  double Number(const char* name, double fallback);
  // A whole number from 0 on; 0 when the field is left out.
  uint64_t Whole(const char* name);
  // A number of milliseconds.
  milliseconds Time(const char* name, milliseconds fallback);
  bool Flag(const char* name, bool fallback);
  // An empty list when the field is left out.
  const Json::Value& List(const char* name);
  std::vector<std::string> Texts(const char* name);
  // An empty object when the field is left out.
  const Json::Value& Object(const char* name);

  // Notes a problem unless there is one already.
  void Fail(const std::string& problem);

 private:
  const Json::Value* Find(const char* name, bool required);

  const Json::Value& object_;
  std::string* const problem_;
};

}  // namespace leverwick

#endif  // NET_JSON_FIELDS_H_
