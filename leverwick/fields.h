// Parses, formats and validates the fields of schema messages as text.
//
// The settings loader, the table editor, CSV and the reference page all use
// these functions, so that a field has the same textual form everywhere:
// durations as "250ms", lists joined by ';', enum values in lower case.
//
//   Organisation row;
//   SetDefaults(&row);
//   std::string error;
//   if (!SetField(&row, "weight", "2.5", &error)) ...
//   std::vector<std::string> problems = CheckRules(row);

#ifndef LEVERWICK_FIELDS_H_
#define LEVERWICK_FIELDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "google/protobuf/message.h"
#include "leverwick/time.h"
#include "schema/rules.pb.h"

namespace leverwick {

// Parses a duration such as "250ms", "2s", "1.5m" or "1h". Returns false when
// `text` is not a number followed by one of ns, us, ms, s, m and h, or when the
// duration is negative or does not fit.
bool ParseDuration(std::string_view text, nanoseconds* duration);

// Returns `duration` in the largest of the units s, ms, us and ns in which it
// is a whole number: "250ms", "2s".
std::string FormatDuration(nanoseconds duration);

// Returns the validation rule that the schema attaches to the field.
const Rule& RuleFor(const google::protobuf::FieldDescriptor& field);

// Returns whether the field is a google.protobuf.Duration.
bool IsDuration(const google::protobuf::FieldDescriptor& field);

// Sets every field whose rule has a default to that default, in nested messages
// as well. Repeated nested messages are left alone.
void SetDefaults(google::protobuf::Message* message);

// Sets one scalar, duration or list field; a list is replaced as a whole.
// On failure returns false, describes the expected value in `error` and leaves
// the message unchanged.
bool SetField(google::protobuf::Message* message, const std::string& name,
              std::string_view text, std::string* error);

// Appends one entry to a list field. Fails as SetField() does.
bool AppendToField(google::protobuf::Message* message, const std::string& name,
                   std::string_view text, std::string* error);

// Returns the field's text; "" for an empty list and for a nested message. A
// secret that is set is returned as "***" unless `reveal_secrets`.
std::string FormatField(const google::protobuf::Message& message,
                        const google::protobuf::FieldDescriptor& field,
                        bool reveal_secrets = false);

// Describes the values that the field accepts, for error messages and reference
// pages: "a number from 0 to 1", "one of info, debug".
std::string DescribeExpected(const google::protobuf::FieldDescriptor& field);

// Returns one message for each field that violates its rule: the field's name
// and the reason. Nested messages are not checked.
std::vector<std::string> CheckRules(const google::protobuf::Message& message);

}  // namespace leverwick

#endif  // LEVERWICK_FIELDS_H_
