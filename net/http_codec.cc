// A parser derived from Beast's, whose virtual calls fill the head and pass
// the body on. Beast needs the whole head in one buffer, so an unfinished head
// is held back; bodies are passed on without a copy.

#include "net/http_codec.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace leverwick {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr int kSwitchingProtocols = 101;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// A chunk of one byte, whose size has leading zeros, and room to spare.
constexpr uint64_t kMaxFramingPerByte = 32;

char Lower(char c) { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; }

// Fields of one connection only (RFC 9110, 7.6.1).
constexpr std::string_view kHopFields[] = {
    "connection",        "keep-alive", "proxy-connection", "te",
    "transfer-encoding", "upgrade",    "trailer",          "content-length"};

std::vector<std::string> Tokens(const std::string& list) {
  std::vector<std::string> tokens;
  std::string token;
  for (char c : list + ",") {
    if (c == ',') {
      if (!token.empty()) tokens.push_back(token);
      token.clear();
    } else if (c != ' ' && c != '\t') {
      token += c;
    }
  }
  return tokens;
}

std::string FieldsText(const HttpHead& head) {
  std::string text;
  for (const auto& field : head.fields) {
    text += field.first;
    text += ": ";
    text += field.second;
    text += "\r\n";
  }
  return text + "\r\n";
}

// What Beast lets pass and two programs could read differently.
bool IsAmbiguous(const HttpHead& head) {
  if (head.Count("transfer-encoding") > 1) return true;
  if (head.Has("transfer-encoding") &&
      !SameName(head.Field("transfer-encoding"), "chunked")) {
    return true;
  }
  return head.Count("host") > 1;
}

// Whether the head at the begin of `bytes` is whole and goes on with a field in
// a line that begins with a blank. Its end is looked for behind `from`.
bool IsFolded(std::string_view bytes, size_t from) {
  size_t end = bytes.find(kHeadEnd, from);
  if (end == std::string_view::npos) return false;
  std::string_view head = bytes.substr(0, end);
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

HttpReader::Error ErrorOf(const beast::error_code& error) {
  if (error == http::error::header_limit) return HttpReader::kHeadTooLarge;
  if (error == http::error::body_limit) return HttpReader::kBodyTooLarge;
  return HttpReader::kMalformed;
}

}  // namespace

bool SameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

bool IsFinalStatus(int status) { return status >= 200 && status <= 599; }

bool IsFieldName(std::string_view name) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  auto is_allowed = [&](char c) {
    bool is_letter = Lower(c) >= 'a' && Lower(c) <= 'z';
    bool is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit || kMarks.find(c) != std::string_view::npos;
  };
  return !name.empty() && std::all_of(name.begin(), name.end(), is_allowed);
}

const std::string& HttpHead::Field(std::string_view name) const {
  static const std::string none;
  for (const auto& field : fields) {
    if (SameName(field.first, name)) return field.second;
  }
  return none;
}

bool HttpHead::Has(std::string_view name) const { return Count(name) > 0; }

size_t HttpHead::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      fields.begin(), fields.end(),
      [name](const auto& field) { return SameName(field.first, name); }));
}

void HttpHead::Remove(std::string_view name) {
  fields.erase(std::remove_if(fields.begin(), fields.end(),
                              [name](const auto& field) {
                                return SameName(field.first, name);
                              }),
               fields.end());
}

void HttpHead::Set(std::string_view name, std::string value) {
  Remove(name);
  fields.emplace_back(std::string(name), std::move(value));
}

size_t HttpHead::memory_bytes() const {
  // Short strings need no memory of their own.
  static const size_t kInPlace = std::string().capacity();
  auto own = [](const std::string& text) {
    return text.capacity() > kInPlace ? text.capacity() + 1 : 0;
  };
  size_t bytes = own(method) + own(target) +
                 fields.capacity() * sizeof(decltype(fields)::value_type);
  for (const auto& field : fields)
    bytes += own(field.first) + own(field.second);
  return bytes;
}

void RemoveHopFields(HttpHead* head) {
  for (const std::string& named : Tokens(head->Field("connection"))) {
    head->Remove(named);
  }
  for (std::string_view name : kHopFields) head->Remove(name);
}

std::string RequestText(const HttpHead& head) {
  return head.method + " " + head.target + " HTTP/1.1\r\n" + FieldsText(head);
}

std::string ResponseText(const HttpHead& head) {
  auto reason = http::obsolete_reason(http::int_to_status(head.status));
  return "HTTP/1.1 " + std::to_string(head.status) + " " +
         std::string(reason.data(), reason.size()) + "\r\n" + FieldsText(head);
}

std::string ChunkText(std::string_view bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  std::string text = size;
  text.append(bytes);
  text += "\r\n";
  return text;
}

class HttpReader::Base {
 public:
  virtual ~Base() = default;
  virtual size_t Put(std::string_view bytes, beast::error_code* error) = 0;
  virtual void PutEof(beast::error_code* error) = 0;
  virtual bool done() const = 0;
  virtual bool started() const = 0;
  virtual bool has_head() const = 0;
  // Whether the message is a response that another one follows.
  virtual bool is_interim() const = 0;
  uint64_t body_bytes() const { return body_bytes_; }

 protected:
  uint64_t body_bytes_ = 0;  // read so far
};

template <bool kIsRequest>
class HttpReader::Parser : public HttpReader::Base,
                           public http::basic_parser<kIsRequest> {
  using Super = http::basic_parser<kIsRequest>;
  using View = beast::string_view;

 public:
  Parser(const Limits& limits, Observer* observer) : observer_(observer) {
    Super::eager(true);
    Super::header_limit(static_cast<uint32_t>(limits.head_bytes));
    Super::body_limit(limits.body_bytes);
  }

  size_t Put(std::string_view bytes, beast::error_code* error) override {
    return Super::put(boost::asio::buffer(bytes.data(), bytes.size()), *error);
  }
  void PutEof(beast::error_code* error) override { Super::put_eof(*error); }
  bool done() const override { return Super::is_done(); }
  bool started() const override { return Super::got_some(); }
  bool has_head() const override { return Super::is_header_done(); }
  bool is_interim() const override {
    return !kIsRequest && Super::is_header_done() && is_interim_;
  }

 private:
  void on_request_impl(http::verb, View method, View target, int version,
                       beast::error_code&) override {
    head_.method = std::string(method);
    head_.target = std::string(target);
    head_.minor_version = version % 10;
  }
  void on_response_impl(int code, View, int version,
                        beast::error_code& error) override {
    is_interim_ = code >= 100 && code < 200 && code != kSwitchingProtocols;
    if (!is_interim_ && !IsFinalStatus(code)) error = http::error::bad_status;
    head_.status = code;
    head_.minor_version = version % 10;
  }
  void on_field_impl(http::field, View name, View value,
                     beast::error_code& error) override {
    bool is_name = IsFieldName({name.data(), name.size()});
    if (!is_name) error = http::error::bad_field;
    head_.fields.emplace_back(std::string(name), std::string(value));
  }
  void on_header_impl(beast::error_code& error) override {
    if (IsAmbiguous(head_)) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    head_.keep_alive = Super::keep_alive();
    head_.chunked = Super::chunked();
    head_.has_length = Super::content_length().has_value() || head_.chunked;
    if (!is_interim_) observer_->OnHead(std::move(head_));
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         beast::error_code&) override {}
  std::size_t on_body_impl(View body, beast::error_code&) override {
    body_bytes_ += body.size();
    observer_->OnBody({body.data(), body.size()});
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, beast::error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View body,
                                 beast::error_code&) override {
    body_bytes_ += body.size();
    observer_->OnBody({body.data(), body.size()});
    return body.size();
  }
  void on_finish_impl(beast::error_code&) override {
    if (!is_interim_) observer_->OnEnd();
  }

  Observer* const observer_;
  bool is_interim_ = false;
  HttpHead head_;
};

HttpReader::HttpReader(Kind kind, const Limits& limits, Observer* observer)
    : kind_(kind), limits_(limits), observer_(observer) {
  Reset();
}

HttpReader::~HttpReader() = default;

void HttpReader::Reset() {
  ResetParser();
  framing_bytes_ = 0;
}

void HttpReader::ResetParser() {
  if (kind_ == kRequests) {
    parser_ = std::make_unique<Parser<true>>(limits_, observer_);
  } else {
    parser_ = std::make_unique<Parser<false>>(limits_, observer_);
  }
  held_.clear();
  error_ = kNone;
}

bool HttpReader::any_read() const {
  return !held_.empty() || parser_->started();
}

bool HttpReader::done() const { return parser_->done(); }

bool HttpReader::Feed(std::string_view bytes, size_t* used) {
  size_t before = held_.size();
  std::string joined;
  if (before > 0) {
    joined = std::move(held_);
    joined.append(bytes);
    held_.clear();
    bytes = joined;
  }
  size_t taken = 0;
  // Bytes that were held before have no end of a head among them.
  size_t from = before < kHeadEnd.size() ? 0 : before - kHeadEnd.size();
  while (Parse(bytes, from, &taken) && parser_->done() &&
         parser_->is_interim()) {
    ResetParser();
    from = taken;
  }
  *used = taken - before;
  return error_ == kNone;
}

bool HttpReader::Parse(std::string_view bytes, size_t from, size_t* taken) {
  bool may_fold = kind_ == kResponses && !parser_->has_head();
  if (may_fold && IsFolded(bytes.substr(*taken), from - *taken)) {
    error_ = kMalformed;
    return false;
  }
  while (*taken < bytes.size() && !parser_->done()) {
    beast::error_code error;
    bool had_head = parser_->has_head();
    uint64_t body_before = parser_->body_bytes();
    size_t size = parser_->Put(bytes.substr(*taken), &error);
    *taken += size;
    CountFraming(size, had_head, body_before);
    if (error == http::error::need_more) {
      // What is left belongs to a line that is not whole yet.
      held_.assign(bytes.substr(*taken));
      *taken = bytes.size();
      if (held_.size() > limits_.head_bytes) error_ = kHeadTooLarge;
      break;
    }
    if (error) error_ = ErrorOf(error);
    if (error_ != kNone || size == 0) break;
  }
  return error_ == kNone;
}

void HttpReader::CountFraming(size_t taken, bool had_head,
                              uint64_t body_before) {
  bool is_final_head = !had_head && !parser_->is_interim();
  if (is_final_head) return;
  uint64_t body = parser_->body_bytes();
  framing_bytes_ += taken - (body - body_before);
  uint64_t most = limits_.head_bytes + kMaxFramingPerByte * body;
  if (framing_bytes_ > most) error_ = kHeadTooLarge;
}

bool HttpReader::Closed() {
  if (done() || !any_read()) return true;
  beast::error_code error;
  parser_->PutEof(&error);
  if (error || !parser_->done()) error_ = kCutShort;
  return error_ == kNone;
}

}  // namespace leverwick
