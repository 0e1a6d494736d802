// Reads, writes and checks the fields of schema messages as text.
//
// The settings loader, the table's editor, CSV and the reference page all go
// through here, so a field has one textual form everywhere: durations as
// "250ms", lists joined by ';', enum words in lower case.
//
//   Organisation row;
//   SetDefaults(&row);
//   std::string why;
//   if (!SetField(&row, "weight", "2.5", &why)) ...
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

// Parses "250ms", "2s", "1.5m", "1h"; false when it is none of these.
bool ParseDuration(std::string_view text, nanoseconds* duration);

// The shortest exact form: "250ms", "2s".
std::string FormatDuration(nanoseconds duration);

const Rule& RuleFor(const google::protobuf::FieldDescriptor& field);

// Whether the field holds a google.protobuf.Duration.
bool IsDuration(const google::protobuf::FieldDescriptor& field);

// Sets every scalar field, nested messages too, to its rule's default.
void SetDefaults(google::protobuf::Message* message);

// Sets one scalar, duration or list field; a list is replaced as a whole.
// On failure `why` tells what was expected and the message is unchanged.
bool SetField(google::protobuf::Message* message, const std::string& name,
              std::string_view text, std::string* why);

// Adds one entry to a list field.
bool AppendToField(google::protobuf::Message* message, const std::string& name,
                   std::string_view text, std::string* why);

// The field's text; "" for an unset list. Secrets are shown as "***" unless
// `reveal`.
std::string FormatField(const google::protobuf::Message& message,
                        const google::protobuf::FieldDescriptor& field,
                        bool reveal = false);

// "number from 0 to 1", "one of info, debug": for error texts and pages.
std::string DescribeExpected(const google::protobuf::FieldDescriptor& field);

// Every broken rule of the message's own fields, each "name: reason".
std::vector<std::string> CheckRules(const google::protobuf::Message& message);

}  // namespace leverwick

#endif  // LEVERWICK_FIELDS_H_
