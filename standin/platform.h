// A stand-in for the platform's service: log, box list, weight store, ratings.
//
// It speaks the protocol of docs/PLATFORM.md from memory, on loopback, for
// tests and trials only. POST /admin changes how it fails.

#ifndef STANDIN_PLATFORM_H_
#define STANDIN_PLATFORM_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "leverwick/time.h"
#include "net/http_server.h"

namespace Json {
class Value;
}

namespace leverwick {

struct PlatformStandInOptions {
  double appends_per_second = 100;
  size_t retained_records = 1000000;  // per stream
  nanoseconds list_lag{milliseconds(500)};
  nanoseconds list_expiry{milliseconds(2000)};  // without an announcement
  nanoseconds rating_delay{milliseconds(300)};
  double rated_share = 1;
  double store_puts_per_second = 5;
};

class PlatformStandIn {
 public:
  explicit PlatformStandIn(PlatformStandInOptions options)
      : options_(options) {}

  void Handle(const HttpRequest& request, HttpResponder* responder);

 private:
  struct Record {
    WallTime time;
    std::string data;
  };
  struct Stream {
    uint64_t first = 0;
    std::deque<Record> records;
  };
  struct Listed {
    std::string text;    // the JSON object as announced
    std::string before;  // what the list still shows during the lag
    TimePoint changed{};
    TimePoint announced{};
  };
  struct Faults {
    bool down = false;
    int lose_appends = 0;  // answers lost after the append took effect
    int fail_appends = 0;  // refused, with no effect
    milliseconds slow{0};
    bool ratings_out = false;
    bool list_frozen = false;
  };
  struct Rating {
    std::string request_id;
    double rating;
    TimePoint ready;
  };
  struct Route {
    const char* method;
    const char* prefix;
    void (PlatformStandIn::*handler)(const HttpRequest&, HttpResponder*);
  };

  void Append(const HttpRequest& request, HttpResponder* responder);
  void ReadLog(const HttpRequest& request, HttpResponder* responder);
  void Announce(const HttpRequest& request, HttpResponder* responder);
  void ReadList(const HttpRequest& request, HttpResponder* responder);
  void Put(const HttpRequest& request, HttpResponder* responder);
  void Get(const HttpRequest& request, HttpResponder* responder);
  void Rate(const HttpRequest& request, HttpResponder* responder);
  void ReadRatings(const HttpRequest& request, HttpResponder* responder);
  void Admin(const HttpRequest& request, HttpResponder* responder);
  bool TakeAppend(TimePoint now);
  void AddList(const std::map<std::string, Listed>& entries, const char* name,
               const std::string& data_centre, Json::Value* list);

  const PlatformStandInOptions options_;
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, Stream> streams_;
  std::map<std::string, Listed> boxes_;
  std::map<std::string, Listed> endpoints_;
  std::map<std::string, std::string> store_;
  std::map<std::string, std::vector<Rating>> ratings_;  // by life
  Faults faults_;
  std::map<std::string, std::string> frozen_lists_;  // by data centre
  double append_tokens_ = 100;
  double store_tokens_ = 5;
  TimePoint tokens_filled_ = Clock::now();
  uint64_t appends_ = 0;
  uint64_t refused_appends_ = 0;
};

}  // namespace leverwick

#endif  // STANDIN_PLATFORM_H_
