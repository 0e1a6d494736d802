#include "daemon/forward_message.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "schema/peer.pb.h"

namespace leverwick {
namespace {

using Side = ServiceRollouts::Side;

constexpr char kResultField[] = "Box-Result";
constexpr char kRetryAfterField[] = "Box-Retry-After-Ms";

constexpr std::pair<Side, ForwardedRequest::Side> kSides[] = {
    {Side::kAny, ForwardedRequest::ANY},
    {Side::kBaseline, ForwardedRequest::BASELINE},
    {Side::kTarget, ForwardedRequest::TARGET}};

// The encoding of Protocol Buffers, for a field behind the other ones.
constexpr uint64_t kLengthDelimited = 2;

void AppendVarint(uint64_t number, std::string* text) {
  constexpr uint64_t kMore = 0x80;
  for (; number >= kMore; number >>= 7) {
    text->push_back(static_cast<char>(number | kMore));
  }
  text->push_back(static_cast<char>(number));
}

ForwardedRequest::Side EncodeSide(Side side) {
  auto found = std::find_if(std::begin(kSides), std::end(kSides),
                            [side](auto entry) { return entry.first == side; });
  return found->second;
}

Side DecodeSide(ForwardedRequest::Side side) {
  auto found =
      std::find_if(std::begin(kSides), std::end(kSides),
                   [side](auto entry) { return entry.second == side; });
  return found == std::end(kSides) ? Side::kAny : found->first;
}

}  // namespace

std::string EncodeForward(const HttpHead& head, const std::string& body,
                          const ForwardOrigin& origin) {
  return EncodeForwardStart(head, body.size(), origin) + body;
}

std::string EncodeForwardStart(const HttpHead& head, size_t body_bytes,
                               const ForwardOrigin& origin) {
  ForwardedRequest message;
  message.set_box(origin.box);
  message.set_method(head.method);
  message.set_target(head.target);
  for (const auto& [name, value] : head.fields) {
    ForwardedRequest::Field* field = message.add_fields();
    field->set_name(name);
    field->set_value(value);
  }
  message.set_has_length(head.has_length);
  message.set_time_left_ms(
      static_cast<uint32_t>(std::max<int64_t>(0, origin.time_left.count())));
  message.set_config_version(origin.config_version);
  message.set_max_attempts(static_cast<uint32_t>(origin.max_attempts));
  message.set_side(EncodeSide(origin.side));
  message.set_last_event_id(origin.last_event_id);
  std::string text = message.SerializeAsString();
  AppendVarint(ForwardedRequest::kBodyFieldNumber << 3 | kLengthDelimited,
               &text);
  AppendVarint(body_bytes, &text);
  return text;
}

std::optional<ForwardOrigin> DecodeForward(const std::string& message,
                                           HttpHead* head, std::string* body) {
  ForwardedRequest request;
  if (!request.ParseFromString(message)) return std::nullopt;
  head->method = request.method();
  head->target = request.target();
  for (const ForwardedRequest::Field& field : request.fields()) {
    head->fields.emplace_back(field.name(), field.value());
  }
  head->has_length = request.has_length();
  *body = std::move(*request.mutable_body());
  ForwardOrigin origin;
  origin.box = request.box();
  origin.time_left = milliseconds(request.time_left_ms());
  origin.config_version = request.config_version();
  origin.max_attempts = static_cast<int>(request.max_attempts());
  origin.side = DecodeSide(request.side());
  origin.last_event_id = request.last_event_id();
  return origin;
}

void SetForwardResult(const ForwardResult& result, HttpHead* head) {
  head->Set(kResultField, std::to_string(static_cast<int>(result.result)));
  if (!result.retry_after) return;
  head->Set(kRetryAfterField, std::to_string(result.retry_after->count()));
}

void RemoveForwardResult(HttpHead* head) {
  head->Remove(kResultField);
  head->Remove(kRetryAfterField);
}

std::optional<ForwardResult> ReadForwardResult(const HttpHead& head) {
  if (!head.Has(kResultField)) return std::nullopt;
  ForwardResult result;
  result.result =
      static_cast<Result>(std::atoi(head.Field(kResultField).c_str()));
  if (head.Has(kRetryAfterField)) {
    result.retry_after =
        milliseconds(std::atol(head.Field(kRetryAfterField).c_str()));
  }
  return result;
}

bool IsDeclined(Result result) {
  static constexpr Result kDeclined[] = {
      Result::kNoEndpoint, Result::kStopping,   Result::kNotReady,
      Result::kStaleTable, Result::kOverloaded, Result::kBadRequest};
  return std::find(std::begin(kDeclined), std::end(kDeclined), result) !=
         std::end(kDeclined);
}

}  // namespace leverwick
