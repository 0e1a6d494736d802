// Remembers how recent requests were answered, for `leverwickctl explain`.

#ifndef DAEMON_EXPLAIN_H_
#define DAEMON_EXPLAIN_H_

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace leverwick {

// Thread-safe.
class Explanations {
 public:
  // Keeps `text`, a JSON object, for the most recent requests.
  void Add(const std::string& request_id, const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (texts_.emplace(request_id, text).second) order_.push_back(request_id);
    if (order_.size() <= kMost) return;
    texts_.erase(order_.front());
    order_.pop_front();
  }

  // "" when the request is not remembered.
  std::string Find(const std::string& request_id) const {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = texts_.find(request_id);
    return found == texts_.end() ? "" : found->second;
  }

 private:
  static constexpr size_t kMost = 2048;

  mutable std::mutex mutex_;
  std::map<std::string, std::string> texts_;
  std::deque<std::string> order_;
};

}  // namespace leverwick

#endif  // DAEMON_EXPLAIN_H_
