// A call's method as bytes in, bytes out, made from one with typed messages.

#ifndef NET_METHOD_H_
#define NET_METHOD_H_

#include <functional>
#include <string>

namespace leverwick {

// Takes a serialised request and fills a serialised reply; false refuses.
using Method =
    std::function<bool(const std::string& request, std::string* reply)>;

template <typename Request, typename Reply>
Method MakeMethod(std::function<bool(const Request&, Reply*)> typed) {
  return [typed](const std::string& request, std::string* reply) {
    Request typed_request;
    Reply typed_reply;
    if (!typed_request.ParseFromString(request)) return false;
    if (!typed(typed_request, &typed_reply)) return false;
    return typed_reply.SerializeToString(reply);
  };
}

}  // namespace leverwick

#endif  // NET_METHOD_H_
