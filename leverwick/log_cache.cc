// A page of n records that ends before `next` gets the offsets from next - n
// on. In a page of a store these are the records' own; in one that another box
// passed on, where older records of a key are left out, they are the latest
// that the records can have.

#include "leverwick/log_cache.h"

#include <algorithm>

namespace leverwick {
namespace {

// Readers lag by seconds; in a fleet that replaces a thousand endpoints
// within them, the slowest read everything anew.
constexpr size_t kMostDrops = 1000;

}  // namespace

void LogCache::Replace(const std::vector<KeyedRecord>& records, uint64_t end,
                       TimePoint as_of) {
  records_.clear();
  offsets_.clear();
  drops_.clear();
  uint64_t offset = end - std::min<uint64_t>(end, records.size());
  for (const KeyedRecord& record : records) Put(offset++, record);
  whole_from_ = end;  // keys dropped before are unknown here
  end_ = end;
  as_of_ = as_of;
  has_snapshot_ = true;
  changed_();
}

void LogCache::Apply(const LogPage& page) {
  uint64_t offset = page.next - page.records.size();
  for (const KeyedRecord& record : page.records) Put(offset++, record);
  end_ = std::max(end_, page.next);
  if (page.next >= page.end) as_of_ = std::max(as_of_, page.as_of);
  ForgetOldDrops();
  changed_();
}

void LogCache::Put(uint64_t offset, const KeyedRecord& record) {
  auto known = offsets_.find(record.key);
  if (known != offsets_.end()) {
    records_.erase(known->second);
    drops_.erase(known->second);
  }
  offsets_[record.key] = offset;
  records_[offset] = record;
  if (!record.value) drops_[offset] = record.key;
}

void LogCache::ForgetOldDrops() {
  while (drops_.size() > kMostDrops) {
    auto oldest = drops_.begin();
    whole_from_ = std::max(whole_from_, oldest->first + 1);
    records_.erase(oldest->first);
    offsets_.erase(oldest->second);
    drops_.erase(oldest);
  }
}

bool LogCache::PageFrom(uint64_t from, LogPage* page) const {
  if (from != 0 && from < whole_from_) return false;
  page->records.clear();
  for (auto it = records_.lower_bound(from); it != records_.end(); ++it) {
    bool needless = from == 0 && !it->second.value;
    if (!needless) page->records.push_back(it->second);
  }
  page->next = end_;
  page->end = end_;
  page->as_of = as_of_;
  return true;
}

}  // namespace leverwick
