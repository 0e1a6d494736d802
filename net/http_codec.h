// HTTP/1.1 messages as values, and a reader that is fed bytes as they come.
//
// Framing is Boost.Beast's. The reader refuses what could be read in two ways
// by two programs: two lengths, a length beside an encoding, an encoding that
// is not exactly "chunked", two hosts. It also refuses what RFC 9110 does not
// allow: statuses outside 100 to 599, field names that are no tokens, and
// fields of a response that go on in a second line. Interim responses are read
// and dropped, but for 101, since nobody asks for another protocol. Interim
// responses, chunk headers and trailers of one message are bounded in sum: a
// server that writes them without end is given up.
//
//   HttpReader reader(HttpReader::kResponses, limits, &observer);
//   size_t used;
//   if (!reader.Feed(bytes, &used)) ...   // reader.error() says why
//   reader.Closed();                      // the connection ended

#ifndef NET_HTTP_CODEC_H_
#define NET_HTTP_CODEC_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace leverwick {

// The start line and the fields of a message.
struct HttpHead {
  std::string method;  // requests
  std::string target;  // requests
  int status = 0;      // responses
  int minor_version = 1;
  std::vector<std::pair<std::string, std::string>> fields;
  // Decided by the framing:
  bool keep_alive = true;
  bool has_length = false;  // false with a body: ends with the connection
  bool chunked = false;

  // The first value of a field, whatever its case; "" when there is none.
  const std::string& Field(std::string_view name) const;
  bool Has(std::string_view name) const;
  size_t Count(std::string_view name) const;
  void Remove(std::string_view name);
  void Set(std::string_view name, std::string value);
  // What the head takes of the process's memory, about.
  size_t memory_bytes() const;
};

bool SameName(std::string_view left, std::string_view right);

// Whether a response may have this status: 200 to 599.
bool IsFinalStatus(int status);
// Whether a field may have this name: a token (RFC 9110, 5.1).
bool IsFieldName(std::string_view name);

// Drops the fields that concern one connection only, and the framing.
void RemoveHopFields(HttpHead* head);

// The head as bytes, with the blank line; fields only as they stand.
std::string RequestText(const HttpHead& head);
std::string ResponseText(const HttpHead& head);

// One chunk of a chunked body; the last chunk is kLastChunk.
std::string ChunkText(std::string_view bytes);
constexpr char kLastChunk[] = "0\r\n\r\n";

class HttpReader {
 public:
  enum Kind { kRequests, kResponses };
  enum Error { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge, kCutShort };

  struct Limits {
    size_t head_bytes = 64UL * 1024;
    uint64_t body_bytes = 64u << 20;
  };

  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnHead(HttpHead head) = 0;
    virtual void OnBody(std::string_view bytes) = 0;
    virtual void OnEnd() = 0;
  };

  HttpReader(Kind kind, const Limits& limits, Observer* observer);
  ~HttpReader();

  // Reads one message and stops behind its end: `used` bytes were taken.
  // False when the message is malformed.
  bool Feed(std::string_view bytes, size_t* used);

  // The connection ended cleanly. False when that cuts a message short.
  bool Closed();

  // Ready for the next message on the connection.
  void Reset();
  // Limits of messages that begin after the next Reset.
  void SetLimits(const Limits& limits) { limits_ = limits; }

  // Memory of bytes that can't be read before more have come.
  size_t held_bytes() const { return held_.capacity(); }

  bool any_read() const;  // a byte of the message was seen
  bool done() const;
  Error error() const { return error_; }

 private:
  template <bool kIsRequest>
  class Parser;
  class Base;

  void ResetParser();
  // Counts bytes that the parser took; they are framing but for the body.
  void CountFraming(size_t taken, bool had_head, uint64_t body_before);
  // Passes bytes to the parser, up to the end of a message at the most. The end
  // of a head that is not whole yet is looked for behind `from`.
  bool Parse(std::string_view bytes, size_t from, size_t* taken);

  const Kind kind_;
  Limits limits_;
  Observer* const observer_;
  std::unique_ptr<Base> parser_;
  std::string held_;  // bytes of a head that is not whole yet
  // Of the message, but for its head and body.
  uint64_t framing_bytes_ = 0;
  Error error_ = kNone;
};

}  // namespace leverwick

#endif  // NET_HTTP_CODEC_H_
