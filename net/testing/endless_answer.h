// Answers that a broken server writes without end, by the place in the answer.

#ifndef NET_TESTING_ENDLESS_ANSWER_H_
#define NET_TESTING_ENDLESS_ANSWER_H_

#include <string>
#include <vector>

namespace leverwick {

// `start`, and then `piece` again and again.
struct EndlessAnswer {
  std::string start;
  std::string piece;

  // As many pieces as are written at once.
  std::string Pieces() const {
    constexpr size_t kBytes = 100UL * 1000;
    std::string pieces;
    while (pieces.size() < kBytes) pieces += piece;
    return pieces;
  }
};

inline std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(1000, 'x');
  return {{ok + "X-Filler: ", filler},
          {ok, "X-Filler: x\r\n"},
          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
          {ok + "\r\n", filler},
          {ok + "Content-Length: 999999999999\r\n\r\n", filler},
          {chunked, "3e8\r\n" + filler + "\r\n"},
          {chunked + "5;a=", filler},
          {chunked, "1;a=" + filler + "\r\nx\r\n"},
          {chunked + "1\r\nx\r\n0\r\n", "X-Filler: x\r\n"}};
}

}  // namespace leverwick

#endif  // NET_TESTING_ENDLESS_ANSWER_H_
