#include "net/http_codec.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <string>

namespace leverwick {
namespace {

struct Collected : public HttpReader::Observer {
  void OnHead(HttpHead head_in) override { head = std::move(head_in); }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnEnd() override { ended = true; }
  HttpHead head;
  std::string body;
  bool ended = false;
};

const std::string kChunked =
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\n\r\n";

TEST_CASE("a message cut anywhere reads like the whole one") {
  for (size_t cut = 0; cut <= kChunked.size(); ++cut) {
    Collected collected;
    HttpReader reader(HttpReader::kRequests, {}, &collected);
    size_t used = 0;
    CHECK(reader.Feed(kChunked.substr(0, cut), &used));
    CHECK(used == cut);
    CHECK(reader.Feed(kChunked.substr(cut), &used));
    CHECK(reader.done());
    CHECK(collected.body == "hello world");
    CHECK(collected.head.method == "POST");
  }
}

TEST_CASE("a message byte by byte reads like the whole one") {
  Collected collected;
  HttpReader reader(HttpReader::kRequests, {}, &collected);
  for (char c : kChunked) {
    size_t used = 0;
    CHECK(reader.Feed(std::string(1, c), &used));
  }
  CHECK(reader.done());
  CHECK(collected.body == "hello world");
}

TEST_CASE("what follows a message is left unread") {
  Collected collected;
  HttpReader reader(HttpReader::kRequests, {}, &collected);
  const std::string first = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
  size_t used = 0;
  CHECK(reader.Feed(first + "GET /b", &used));
  CHECK(used == first.size());
  CHECK(collected.ended);
}

TEST_CASE("a request that can be read in two ways is refused") {
  const char* const bad[] = {
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, chunked"
      "\r\n\r\n0\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
      "GET / HTTP/1.1\r\nHost : x\r\n\r\n",
      "nonsense\r\n\r\n",
  };
  for (const char* text : bad) {
    Collected collected;
    HttpReader reader(HttpReader::kRequests, {}, &collected);
    size_t used = 0;
    CHECK_FALSE(reader.Feed(text, &used));
    CHECK(reader.error() == HttpReader::kMalformed);
  }
}

TEST_CASE("heads and bodies over their limits are told apart") {
  HttpReader::Limits limits{256, 8};
  Collected collected;
  size_t used = 0;
  HttpReader heads(HttpReader::kRequests, limits, &collected);
  CHECK_FALSE(heads.Feed(
      "GET / HTTP/1.1\r\nA: " + std::string(400, 'a') + "\r\n\r\n", &used));
  CHECK(heads.error() == HttpReader::kHeadTooLarge);
  HttpReader bodies(HttpReader::kRequests, limits, &collected);
  CHECK_FALSE(bodies.Feed(
      "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789", &used));
  CHECK(bodies.error() == HttpReader::kBodyTooLarge);
}

TEST_CASE("statuses are those that HTTP has") {
  for (int status = 0; status <= 999; ++status) {
    char digits[8];
    std::snprintf(digits, sizeof(digits), "%03d", status);
    Collected collected;
    HttpReader reader(HttpReader::kResponses, {}, &collected);
    size_t used = 0;
    std::string text =
        "HTTP/1.1 " + std::string(digits) + " X\r\nContent-Length: 0\r\n\r\n";
    bool is_interim = status >= 100 && status < 200 && status != 101;
    bool is_final = status >= 200 && status <= 599;
    CAPTURE(status);
    CHECK(reader.Feed(text, &used) == (is_interim || is_final));
    CHECK(reader.done() == is_final);
    CHECK(collected.head.status == (is_final ? status : 0));
  }
}

TEST_CASE("names of fields are tokens, in requests and in answers") {
  const std::string kMarks = "!#$%&'*+-.^_`|~";
  for (int byte = 0; byte < 256; ++byte) {
    auto c = static_cast<char>(byte);
    bool is_token = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                    (c >= '0' && c <= '9') ||
                    (c != '\0' && kMarks.find(c) != std::string::npos);
    if (c == ':' || c == '\r' || c == '\n') continue;  // end the name or line
    CAPTURE(byte);
    for (const std::string& name :
         {"X" + std::string(1, c) + "Y", std::string(1, c),
          "X" + std::string(1, c), std::string(1, c) + "Y"}) {
      CHECK(IsFieldName(name) == is_token);
      for (auto kind : {HttpReader::kRequests, HttpReader::kResponses}) {
        Collected collected;
        HttpReader reader(kind, {}, &collected);
        size_t used = 0;
        // A request may go on with a field in such a line.
        bool is_folded = name[0] == ' ' || name[0] == '\t';
        if (is_folded && kind == HttpReader::kRequests) continue;
        std::string start =
            kind == HttpReader::kRequests ? "GET / HTTP/1.1" : "HTTP/1.1 204 X";
        std::string text = start + "\r\nHost: x\r\n" + name + ": v\r\n\r\n";
        CHECK((reader.Feed(text, &used) && reader.done()) == is_token);
      }
    }
  }
  CHECK_FALSE(IsFieldName(""));
}

TEST_CASE("interim answers before the answer are dropped at any cut") {
  const std::string text =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    Collected collected;
    HttpReader reader(HttpReader::kResponses, {}, &collected);
    size_t used = 0;
    CHECK(reader.Feed(text.substr(0, cut), &used));
    CHECK(used == cut);
    CHECK(reader.Feed(text.substr(cut), &used));
    CHECK(reader.done());
    CHECK(collected.head.status == 200);
    CHECK_FALSE(collected.head.Has("A"));
    CHECK(collected.body == "ok");
  }
}

TEST_CASE("an answer without a length is whole when its connection ends") {
  Collected collected;
  HttpReader reader(HttpReader::kResponses, {}, &collected);
  size_t used = 0;
  CHECK(reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc", &used));
  CHECK_FALSE(reader.done());
  CHECK_FALSE(collected.head.has_length);
  CHECK(reader.Closed());
  CHECK(collected.body == "abc");
}

TEST_CASE("an answer shorter than its length is cut short") {
  Collected collected;
  HttpReader reader(HttpReader::kResponses, {}, &collected);
  size_t used = 0;
  CHECK(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", &used));
  CHECK_FALSE(reader.Closed());
  CHECK(reader.error() == HttpReader::kCutShort);
}

TEST_CASE("fields of one connection are dropped, and those it names") {
  HttpHead head;
  head.Set("Connection", "close, X-Mine");
  head.Set("X-Mine", "1");
  head.Set("Keep-Alive", "timeout=3");
  head.Set("Transfer-Encoding", "chunked");
  head.Set("Content-Type", "text/plain");
  RemoveHopFields(&head);
  REQUIRE(head.fields.size() == 1);
  CHECK(head.Field("content-type") == "text/plain");
}

}  // namespace
}  // namespace leverwick
