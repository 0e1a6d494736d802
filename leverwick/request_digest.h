// Recognises the same request when it comes again under another id.
//
// A request is the same if its host, path, organisation and body are. Boxes
// tell each other of requests by their digest, and log lines hold the first
// part of it: neither can be read back into what a prompt or a key says. The
// organisation is part of it, so that nobody's body stands for another's.
//
//   RequestDigest digest = DigestOf({host, target, organisation, body});

#ifndef LEVERWICK_REQUEST_DIGEST_H_
#define LEVERWICK_REQUEST_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace leverwick {

// What makes a request the same; the views need last only for the call.
struct RequestIdentity {
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view organisation;
  std::string_view body;
};

// Empty: of no request.
class RequestDigest {
 public:
  RequestDigest() = default;
  explicit RequestDigest(std::string bytes) : bytes_(std::move(bytes)) {}

  const std::string& bytes() const { return bytes_; }
  bool empty() const { return bytes_.empty(); }
  // A hash of the organisation's name.
  uint32_t owner() const;
  // Eight hex characters, for log lines.
  std::string ShortName() const;

  bool operator==(const RequestDigest& other) const {
    return bytes_ == other.bytes_;
  }
  bool operator<(const RequestDigest& other) const {
    return bytes_ < other.bytes_;
  }

 private:
  // The owner's hash in four bytes, and the first 16 of SHA-256.
  std::string bytes_;
};

// Costs what SHA-256 of the body costs.
RequestDigest DigestOf(const RequestIdentity& identity);

}  // namespace leverwick

#endif  // LEVERWICK_REQUEST_DIGEST_H_
