// The platform's service: append-only log, box list, weight store, ratings.
//
// The protocol is HTTP with JSON bodies, see docs/PLATFORM.md. An append whose
// answer is lost may have taken effect: kAppendUnknown tells it from one that
// certainly did not.

#ifndef NET_PLATFORM_CLIENT_H_
#define NET_PLATFORM_CLIENT_H_

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

#include "leverwick/endpoint_pool.h"
#include "leverwick/time.h"
#include "net/http_client.h"
#include "schema/peer.pb.h"

namespace leverwick {

// The streams of the log that the system uses.
constexpr char kConfigStream[] = "config";
constexpr char kBillStream[] = "bills";

// Where records can be read from: the platform, or a peer that passes them on.
class LogSource {
 public:
  virtual ~LogSource() = default;

  // Reads records from `from` on; waits up to `wait` for one at the end.
  // kExpired: `reply->first()` tells what is left.
  virtual std::error_code Read(const std::string& stream, uint64_t from,
                               uint32_t max_records, milliseconds wait,
                               TailReply* reply) = 0;
};

struct ListedBox {
  std::string life;
  std::string data_centre;
  std::string callers;  // ip:port
  std::string control;  // ip:port
  bool leaving = false;
};

struct BoxList {
  std::vector<ListedBox> boxes;
  std::vector<ListedEndpoint> endpoints;
};

struct RatingResult {
  std::string request_id;
  double rating = 0;
};

// Thread-safe.
class PlatformClient : public LogSource {
 public:
  PlatformClient(const std::string& address, milliseconds timeout)
      : http_(address), timeout_(timeout) {}

  std::error_code Append(const std::string& stream, const std::string& data,
                         uint64_t* offset);
  std::error_code Read(const std::string& stream, uint64_t from,
                       uint32_t max_records, milliseconds wait,
                       TailReply* reply) override;

  // Tells the platform of this box, and that it goes.
  std::error_code Announce(const ListedBox& box);
  // The boxes and endpoints of a data centre; empty: of all.
  std::error_code ReadList(const std::string& data_centre, BoxList* list);

  std::error_code StorePut(const std::string& key, const std::string& value);
  std::error_code StoreGet(const std::string& key, std::string* value);

  // Offers an answer for rating; results come later, by box life.
  std::error_code OfferForRating(const std::string& life,
                                 const std::string& request_id,
                                 const std::string& answer);
  std::error_code ReadRatings(const std::string& life, uint64_t from,
                              std::vector<RatingResult>* results,
                              uint64_t* next);

  uint64_t bytes() const { return http_.bytes(); }

 private:
  std::error_code Json(const std::string& method, const std::string& path,
                       const std::string& body, milliseconds timeout,
                       std::string* answer);

  HttpClient http_;
  const milliseconds timeout_;
};

}  // namespace leverwick

#endif  // NET_PLATFORM_CLIENT_H_
