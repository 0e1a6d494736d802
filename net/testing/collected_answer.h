// Collects what a ClientCall tells, for tests.

#ifndef NET_TESTING_COLLECTED_ANSWER_H_
#define NET_TESTING_COLLECTED_ANSWER_H_

#include <string>

#include "net/async_http_client.h"

namespace leverwick {

class CollectedAnswer : public ClientCall::Observer {
 public:
  bool OnAnswerHead(const HttpHead& head_in) override {
    ++heads;
    if (!expected_id.empty() && head_in.Field("x-id") != expected_id) {
      return false;
    }
    head = head_in;
    return true;
  }
  void OnAnswerBody(std::string_view bytes) override { body.append(bytes); }
  void OnAnswerEnd() override { whole = true; }
  void OnCallFailed(const ClientCall::Failure& failure_in) override {
    failed = true;
    failure = failure_in;
  }
  bool ended() const { return whole || failed; }

  std::string expected_id;  // answers without it in "x-id" are dropped
  int heads = 0;
  HttpHead head;
  std::string body;
  bool whole = false;
  bool failed = false;
  ClientCall::Failure failure;
};

}  // namespace leverwick

#endif  // NET_TESTING_COLLECTED_ANSWER_H_
