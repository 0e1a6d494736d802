// An id is base64url(mac | text), where text holds the pin's fields and a
// nonce, each terminated by a zero byte, and mac is HMAC-SHA-256 truncated to
// 16 bytes. Names can't contain a zero byte: the id would then parse into other
// fields. MakeSessionId doesn't check this; ParseSessionId requires exactly
// four fields.

#include "leverwick/session.h"

#include "leverwick/digest.h"

namespace leverwick {
namespace {

constexpr size_t kMacBytes = 16;
constexpr size_t kFieldCount = 4;

std::vector<std::string> SplitFields(const std::string& text) {
  std::vector<std::string> fields;
  size_t begin = 0;
  while (begin < text.size()) {
    size_t end = text.find('\0', begin);
    if (end == std::string::npos) return {};
    fields.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return fields;
}

bool IsSignedByAny(const std::vector<const SigningKey*>& keys,
                   const std::string& mac, const std::string& text) {
  for (const SigningKey* key : keys) {
    if (EqualInConstantTime(ShortMac(key->secret(), text), mac)) return true;
  }
  return false;
}

}  // namespace

std::string MakeSessionId(const SigningKey& key, const SessionPin& pin,
                          const std::string& nonce) {
  std::string text;
  for (const std::string* field :
       {&pin.organisation, &pin.model, &pin.version, &nonce}) {
    text += *field;
    text += '\0';
  }
  return Base64UrlEncode(ShortMac(key.secret(), text) + text);
}

bool ParseSessionId(const std::vector<const SigningKey*>& keys,
                    const std::string& id, SessionPin* pin) {
  std::string bytes;
  if (!Base64UrlDecode(id, &bytes) || bytes.size() <= kMacBytes) return false;
  std::string text = bytes.substr(kMacBytes);
  if (!IsSignedByAny(keys, bytes.substr(0, kMacBytes), text)) return false;
  std::vector<std::string> fields = SplitFields(text);
  if (fields.size() != kFieldCount) return false;
  *pin = SessionPin{fields[0], fields[1], fields[2]};
  return true;
}

}  // namespace leverwick
