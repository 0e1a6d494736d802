// A digest that identifies a request by its content rather than by its id.
//
// Two requests are the same if their host, target, organisation and body are
// equal. Boxes refer to requests by digest in their reports to peers, and log
// lines contain a prefix of it, so neither reveals prompts or keys. The digest
// includes the organisation so that one organisation's request never stands for
// an equal request of another.
//
//   RequestDigest digest =
//       ComputeRequestDigest({host, target, organisation, body});

#ifndef LEVERWICK_REQUEST_DIGEST_H_
#define LEVERWICK_REQUEST_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace leverwick {

// The fields that identify a request. The views must be valid only during the
// call that takes them.
struct RequestIdentity {
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view organisation;
  std::string_view body;
};

// An empty digest identifies no request.
class RequestDigest {
 public:
  RequestDigest() = default;
  explicit RequestDigest(std::string bytes) : bytes_(std::move(bytes)) {}

  const std::string& bytes() const { return bytes_; }
  bool empty() const { return bytes_.empty(); }
  // Returns a hash of the whole digest.
  uint64_t hash() const;
  // Returns a hash of the organisation's name.
  uint32_t organisation_hash() const;
  // Returns eight hex characters that name the request in log lines.
  std::string ShortHex() const;

  bool operator==(const RequestDigest& other) const {
    return bytes_ == other.bytes_;
  }
  bool operator<(const RequestDigest& other) const {
    return bytes_ < other.bytes_;
  }

 private:
  // Four bytes of the organisation's hash, then 16 bytes of a keyed SHA-256.
  std::string bytes_;
};

// Computes the digest of a request. Takes as long as a SHA-256 of the body.
RequestDigest ComputeRequestDigest(const RequestIdentity& identity);

}  // namespace leverwick

#endif  // LEVERWICK_REQUEST_DIGEST_H_
