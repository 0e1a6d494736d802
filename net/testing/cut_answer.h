// Answers that break off at each of their bytes, before the clients that read
// them.
//
//   CutAnswer answer = CutAnswers("body").front();
//   size_t wrong = CountTakenCut(answer, [](const std::string& address) {
//     return !HttpClient(address).Call(...).error;
//   });

#ifndef NET_TESTING_CUT_ANSWER_H_
#define NET_TESTING_CUT_ANSWER_H_

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "net/testing/one_answer.h"

namespace leverwick {

struct CutAnswer {
  std::string name;
  std::string interim;  // heads before the final one
  std::string head;     // the final one
  std::string body;     // with its framing

  size_t head_end() const { return interim.size() + head.size(); }
  std::string text() const { return interim + head + body; }
};

// One answer in each way that a body may be framed; `fields` belong to its
// head.
inline std::vector<CutAnswer> CutAnswers(const std::string& body,
                                         const std::string& fields = "") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string more = fields + "Content-Type: text/plain\r\n";
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  const std::string chunks = size + body + "\r\n0\r\n";
  const std::string length_last = ok + more + length + "\r\n";
  return {
      {"length first", "", ok + length + more + "\r\n", body},
      {"length last", "", length_last, body},
      {"chunks", "", ok + more + chunked + "\r\n", chunks + "\r\n"},
      {"trailer", "", ok + more + chunked + "\r\n",
       chunks + "X-Trailer: x\r\n\r\n"},
      {"until close", "", ok + more + "\r\n", body},
      {"HTTP/1.0", "", "HTTP/1.0 200 OK\r\n" + more + "\r\n", body},
      {"interim", "HTTP/1.1 103 Early Hints\r\nX-Hint: x\r\n\r\n", length_last,
       body},
      {"two interim",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
       length_last, body},
  };
}

// Whether a client that calls the address takes the answer for whole.
using TakesWhole = std::function<bool(const std::string& address)>;

// Returns how many cuts inside the head are taken for whole answers, with the
// connection closed and reset.
inline size_t CountTakenCut(const CutAnswer& answer, const TakesWhole& takes,
                            const OneAnswerOptions& options = {}) {
  const std::string text = answer.text();
  size_t taken = 0;
  for (bool resets : {false, true}) {
    OneAnswerOptions ending = options;
    ending.resets = resets;
    for (size_t cut = 0; cut < answer.head_end(); ++cut) {
      OneAnswer server(text.substr(0, cut), ending);
      if (takes(server.address())) ++taken;
    }
  }
  return taken;
}

}  // namespace leverwick

#endif  // NET_TESTING_CUT_ANSWER_H_
