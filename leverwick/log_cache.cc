// The n records of a page that ends before `next` get the offsets from next - n
// on. In a page from the store these are the records' own offsets. In a page
// that another box passed on, older records of a key are omitted, and these are
// the latest offsets that the records can have.

#include "leverwick/log_cache.h"

#include <algorithm>

namespace leverwick {
namespace {

// Readers lag by seconds. If a fleet replaces a thousand endpoints in that
// time, the slowest readers reload the snapshot.
constexpr size_t kMaxTombstones = 1000;

}  // namespace

void LogCache::LoadSnapshot(const std::vector<KeyedRecord>& records,
                            uint64_t end, TimePoint as_of, StoreEra era) {
  records_.clear();
  offsets_.clear();
  tombstones_.clear();
  ++revision_;
  Offset offset =
      static_cast<Offset>(end) - static_cast<Offset>(records.size());
  for (const KeyedRecord& record : records) StoreRecord(offset++, record);
  complete_from_ = end;  // earlier tombstones may be missing
  end_ = end;
  as_of_ = as_of;
  era_ = era;
  has_snapshot_ = true;
  change_callback_();
}

void LogCache::ApplyPage(const LogPage& page, const RecordCallback& on_news) {
  Offset offset = static_cast<Offset>(page.next - page.records.size());
  for (const KeyedRecord& record : page.records) {
    // The record before it may be of the same page.
    if (!IsRenewal(record)) {
      StoreRecord(offset, record);
      on_news(record);
    }
    ++offset;
  }
  end_ = std::max(end_, page.next);
  if (page.next >= page.end) as_of_ = std::max(as_of_, page.as_of);
  EvictOldTombstones();
  change_callback_();
}

bool LogCache::IsRenewal(const KeyedRecord& record) const {
  auto found = offsets_.find(record.key);
  if (found == offsets_.end() || !record.value) return false;
  const KeyedRecord& before = records_.at(found->second);
  return before.value && is_renewal_(*before.value, *record.value);
}

void LogCache::StoreRecord(Offset offset, const KeyedRecord& record) {
  ++revision_;
  auto found = offsets_.find(record.key);
  if (found != offsets_.end()) {
    records_.erase(found->second);
    tombstones_.erase(found->second);
  }
  offsets_[record.key] = offset;
  records_[offset] = record;
  if (!record.value) tombstones_[offset] = record.key;
}

void LogCache::EvictOldTombstones() {
  while (tombstones_.size() > kMaxTombstones) {
    auto oldest = tombstones_.begin();
    auto after = static_cast<uint64_t>(std::max<Offset>(0, oldest->first + 1));
    complete_from_ = std::max(complete_from_, after);
    records_.erase(oldest->first);
    offsets_.erase(oldest->second);
    tombstones_.erase(oldest);
  }
}

bool LogCache::ReadFrom(uint64_t from, LogPage* page) const {
  if (from != 0 && from < complete_from_) return false;
  page->records.clear();
  auto first = from == 0 ? records_.begin()
                         : records_.lower_bound(static_cast<Offset>(from));
  for (auto it = first; it != records_.end(); ++it) {
    bool is_needless_tombstone = from == 0 && !it->second.value;
    if (!is_needless_tombstone) page->records.push_back(it->second);
  }
  page->next = end_;
  page->end = end_;
  page->as_of = as_of_;
  page->era = era_;
  return true;
}

}  // namespace leverwick
