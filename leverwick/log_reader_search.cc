// In a search the boxes that attempt to read the store double every two rounds
// (StoreAttempts). An answer multiplies the boxes that know it by up to
// 1 + kProbes each round, so that few of the others need the store once the
// first ones have been served.

#include <algorithm>

#include "leverwick/log_reader.h"
#include "leverwick/result.h"

namespace leverwick {
namespace {

constexpr milliseconds kRoundTime{60};
// Rounds of a search after the last box's attempt at the store, within which
// an answer spreads.
constexpr int kSpreadRounds = 8;
constexpr size_t kProbes = 3;
// Rounds between the steps in which more boxes attempt to read the store.
constexpr int kRoundsPerStep = 2;
// While what is known is fresh, the usual sources are tried again after this.
constexpr milliseconds kSourcePause{500};
// An answer that is hardly newer than what is known would begin another search
// soon.
constexpr int kNewsPerAge = 4;
// A search goes on until this box's own attempt at the store if that is due
// this soon. Between two searches there are pauses, in which none is made.
constexpr milliseconds kLongestWaitForAttempt{1000};

}  // namespace

void LogReader::StartSearch(const CallPointer& call) {
  if (peers_.size() == 0) return Fail(call, call->error);
  Topic* topic = TopicOf(call->query.topic);
  if (!IsReaderOf(topic) && IsFresh(*topic, call->query)) {
    return RetrySources(call, FreshAgeOf(call->query) - AgeOf(*topic));
  }
  Search& search = topic->search;
  TimePoint now = transport_->Now();
  if (!search.is_active) {
    nanoseconds step =
        call->snapshot ? SnapshotTime() : kRoundTime * kRoundsPerStep;
    auto delay = StoreAttempts::DelayInSearch(peers_.size() + 1,
                                              transport_->Draw(), step);
    search = {true, now + delay, 0};
    auto store_attempt_at =
        std::max(search.store_attempt_at, attempts_.next_at());
    transport_->RecordSearch(
        {call->query.topic, AgeOf(*topic), store_attempt_at - now});
  }
  bool is_first = search.reads++ == 0;
  auto search_call = std::make_shared<SearchCall>();
  search_call->call = call;
  // A box that others read from tries the store again soon.
  if (!call->snapshot && is_first && !IsReaderOf(topic)) {
    search_call->rounds_left = RoundsOfSearch();
  }
  // A whole topic is long: one box at a time is asked for it.
  search_call->probes = call->snapshot ? 1 : kProbes;
  RunRound(search_call);
}

void LogReader::RetrySources(const CallPointer& call, nanoseconds until_old) {
  transport_->RunAfter(std::min(until_old, Jittered(kSourcePause)),
                       [this, call] {
                         call->asks = 0;
                         Start(call);
                       });
}

int LogReader::RoundsOfSearch() const {
  int steps = StoreAttempts::StepsInSearch(peers_.size() + 1);
  return steps * kRoundsPerStep + kSpreadRounds;
}

void LogReader::RunRound(const std::shared_ptr<SearchCall>& search) {
  if (search->is_over) return;
  if (search->rounds_left > 0) {
    --search->rounds_left;
    SearchStore(search);
    for (const LogBox& box : SampleBoxes(search->probes, peers_.size())) {
      Probe(search, box);
    }
  } else if (AwaitsOwnAttempt(*search)) {
    SearchStore(search);
  } else if (search->outstanding == 0) {
    return EndSearch(search);
  }
  transport_->RunAfter(Jittered(kRoundTime),
                       [this, search] { RunRound(search); });
}

bool LogReader::AwaitsOwnAttempt(const SearchCall& search) {
  const LogQuery& query = search.call->query;
  Topic* topic = TopicOf(query.topic);
  if (search.made_last_attempt || IsReaderOf(topic)) return false;
  auto store_attempt_at =
      std::max(topic->search.store_attempt_at, attempts_.next_at());
  return store_attempt_at - transport_->Now() <= kLongestWaitForAttempt;
}

void LogReader::SearchStore(const std::shared_ptr<SearchCall>& search) {
  const CallPointer& call = search->call;
  Topic* topic = TopicOf(call->query.topic);
  auto store_attempt_at =
      std::max(topic->search.store_attempt_at, attempts_.next_at());
  if (search->reads_store || transport_->Now() < store_attempt_at) return;
  search->reads_store = true;
  search->made_last_attempt = search->rounds_left == 0;
  ++search->outstanding;
  ReadStore(*call, false,
            [this, search](std::error_code error, LogPage page, bool has_more) {
              --search->outstanding;
              search->reads_store = false;
              if (search->is_over) return;
              search->call->error = error;
              if (IsRetryable(error)) return;
              search->is_over = true;
              Finish(search->call, error, std::move(page), has_more);
            });
}

void LogReader::Probe(const std::shared_ptr<SearchCall>& search,
                      const LogBox& box) {
  ++search->outstanding;
  PeerRead read = PeerReadOf(*search->call);
  read.is_probe = true;
  read.limit = AnswerTimeOf(read);
  transport_->ReadPeer(
      box, read, [this, search, box](std::error_code error, LogPage page) {
        --search->outstanding;
        if (IsSilence(error)) {
          peers_.RecordUnresponsive(box.name, transport_->Now());
        } else {
          RecordReply();
        }
        if (search->is_over) return;
        const LogQuery& query = search->call->query;
        // The box knows more, but not all that has changed.
        if (error == Result::kExpired) search->call->error = error;
        if (error || !IsNews(*TopicOf(query.topic), query, page)) return;
        search->is_over = true;
        Succeed(search->call, ReadRoute::kSearch, box.name, std::move(page));
      });
}

void LogReader::EndSearch(const std::shared_ptr<SearchCall>& search) {
  search->is_over = true;
  Topic* topic = TopicOf(search->call->query.topic);
  topic->sources.ClearStale();
  topic->fleet_sources.ClearStale();
  std::error_code error = search->call->error;
  // The attempts at the store are paced here; the caller need not do it.
  bool is_paced = error == Result::kRefused || error == Result::kUnreachable;
  if (is_paced && !IsReaderOf(topic)) error = Result::kStaleTable;
  Fail(search->call, error);
}

bool LogReader::IsNews(const Topic& topic, const LogQuery& query,
                       const LogPage& page) const {
  if (!topic.as_of || page.end > query.from) return true;
  return page.as_of - *topic.as_of >= query.max_age / kNewsPerAge;
}

}  // namespace leverwick
