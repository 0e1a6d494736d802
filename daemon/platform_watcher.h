// Follows the platform's list, the endpoints' load and the rating service.

#ifndef DAEMON_PLATFORM_WATCHER_H_
#define DAEMON_PLATFORM_WATCHER_H_

#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "daemon/node.h"
#include "daemon/worker.h"

namespace leverwick {

// What a rating that comes later is about.
struct RatedAnswer {
  std::string version_key;
  uint32_t request_class = 0;
  bool confident = true;
  std::string organisation;
  double expected = -1;      // of the plan; negative: not its final answer
  std::string rollout;       // whose guard weighs the rating; or empty
  std::string baseline_key;  // the version it is held against
};

class PlatformWatcher {
 public:
  explicit PlatformWatcher(Node* node) : node_(node) {}

  void Start();
  void Stop();

  // Offers an answer for rating, later and from another thread.
  void Offer(const std::string& request_id, const std::string& answer,
             const RatedAnswer& about);

  // Answers a peer's List call.
  bool ServeList(const ListRequest& request, ListReply* reply);

  // Tells the platform that this box goes.
  void AnnounceLeaving();

 private:
  struct OfferedAnswer {
    std::string request_id;
    std::string answer;
  };

  ListedBox Self(bool leaving) const;
  void ListStep();
  bool ListFromReader();
  bool ListFrom(const Member& peer);
  bool ListFromSeeds();
  void TakeList(const BoxList& list, TimePoint read);
  void ReadWholeList();
  void LoadStep();
  void ReadLoad(const std::string& address);
  void RatingStep();
  void SendOffers();
  void TakeRating(const RatingResult& result);
  void StoreStep();
  void LoadEstimates();

  Node* const node_;
  Worker list_worker_;
  Worker load_worker_;
  Worker rating_worker_;
  Worker store_worker_;
  std::mutex mutex_;
  BoxList list_;
  uint64_t list_version_ = 0;
  BoxList whole_list_;   // of all data centres, on readers
  int until_whole_ = 0;  // reads of the list until the whole one is due
  TimePoint list_read_{};
  std::deque<OfferedAnswer> offers_;
  std::map<std::string, RatedAnswer> rated_;  // by request id
  std::deque<std::string> rated_order_;
  uint64_t next_rating_ = 0;
  bool estimates_loaded_ = false;
};

}  // namespace leverwick

#endif  // DAEMON_PLATFORM_WATCHER_H_
