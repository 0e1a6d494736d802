// The answer says by how much the proof is younger or older than the ask's
// arrival. The asker counts from when it sent the ask, which is earlier, so
// that time on the way makes a proof look older, never younger.

#include "daemon/log_server.h"

#include <algorithm>
#include <vector>

#include "leverwick/result.h"
#include "net/deflate.h"

namespace leverwick {
namespace {

// An ask that is held beyond this is the asker's fault: it is answered as is.
constexpr milliseconds kLongestHold{30000};
// Records from which on they are deflated: some 30 KB.
constexpr size_t kLongPage = 100;
// A small box has 160 MB in all.
constexpr size_t kMaxBytesOnTheWay = 16UL << 20;
constexpr milliseconds kLookAgain{20};

int64_t MicrosecondsAfter(TimePoint start, TimePoint moment) {
  return std::chrono::floor<std::chrono::microseconds>(moment - start).count();
}

bool HasNews(const LogCache& cache, const LogAsk& ask) {
  if (!cache.has_snapshot()) return false;
  if (IsEarlierEra(cache.era(), ask.era())) return false;
  if (IsEarlierEra(ask.era(), cache.era())) return true;
  return ask.snapshot() || cache.end() > ask.from();
}

void AnswerEmpty(ServerExchange* exchange, int status) {
  HttpHead head;
  head.status = status;
  exchange->Answer(std::move(head), "");
}

void AnswerWith(ServerExchange* exchange, const LogAnswer& answer) {
  HttpHead head;
  head.status = 200;
  exchange->Answer(std::move(head), answer.SerializeAsString());
}

LogAnswer RecordsOf(LogPage page) {
  LogAnswer answer;
  for (KeyedRecord& record : page.records) {
    LogRecord* sent = answer.add_records();
    sent->set_key(std::move(record.key));
    sent->set_dropped(!record.value);
    if (record.value) sent->set_value(std::move(*record.value));
  }
  return answer;
}

void DeflateRecords(LogPage page, std::string* deflated, uint64_t* size) {
  std::string records = RecordsOf(std::move(page)).SerializeAsString();
  *deflated = Deflate(records);
  *size = records.size();
}

// A page of the store's.
LogAnswer RelayedAnswer(LogPage page, TimePoint received) {
  LogAnswer answer;
  uint64_t next = page.next;
  uint64_t end = page.end;
  TimePoint as_of = page.as_of;
  StoreEra era = page.era;
  if (page.records.size() >= kLongPage) {
    uint64_t size = 0;
    DeflateRecords(std::move(page), answer.mutable_deflated_records(), &size);
    answer.set_inflated_size(size);
  } else {
    answer = RecordsOf(std::move(page));
  }
  answer.set_kind(LogAnswer::PAGE);
  answer.set_end(next);
  answer.set_log_end(end);
  answer.set_era(era);
  answer.set_as_of_us(MicrosecondsAfter(received, as_of));
  return answer;
}

}  // namespace

LogServer::LogServer(boost::asio::io_context* loop)
    : loop_(loop),
      server_(loop, [this](const auto& exchange) { Handle(exchange); }),
      send_(*loop) {}

void LogServer::Share(const std::string& topic, LogCache* cache) {
  caches_[topic] = cache;
  cache->SetChangeCallback([this, topic] { Changed(topic); });
}

std::error_code LogServer::Listen(
    const boost::asio::ip::tcp::endpoint& address) {
  return server_.Listen(address);
}

void LogServer::Handle(const std::shared_ptr<ServerExchange>& exchange) {
  auto handler = handlers_.find(exchange->head().target);
  if (handler != handlers_.end()) return handler->second(exchange);
  auto receiver = receivers_.find(exchange->head().target);
  if (receiver != receivers_.end()) {
    bool is_readable = receiver->second(exchange->body());
    return AnswerEmpty(exchange.get(), is_readable ? 200 : 400);
  }
  LogAsk ask;
  if (!ask.ParseFromString(exchange->body())) {
    return AnswerEmpty(exchange.get(), 400);
  }
  if (ask.relayed()) return Relay(exchange, ask);
  auto cache = caches_.find(ask.topic());
  bool hold = cache != caches_.end() && ask.wait_ms() > 0 &&
              !HasNews(*cache->second, ask);
  if (hold) return Hold(exchange, ask);
  Answer(exchange, ask);
}

void LogServer::Relay(const std::shared_ptr<ServerExchange>& exchange,
                      const LogAsk& ask) {
  bool is_shared = caches_.count(ask.topic()) > 0;
  if (!relay_ || !is_shared) return AnswerWith(exchange.get(), {});
  LogQuery query;
  query.topic = ask.topic();
  query.from = ask.from();
  query.era = ask.era();
  query.max_wait = std::min(milliseconds(ask.wait_ms()), kLongestHold);
  relay_(query, [exchange](std::error_code error, LogPage page) {
    LogAnswer answer;
    if (error == Result::kExpired) answer.set_kind(LogAnswer::EXPIRED);
    if (!error) answer = RelayedAnswer(std::move(page), exchange->received());
    AnswerWith(exchange.get(), answer);
  });
}

void LogServer::Hold(const std::shared_ptr<ServerExchange>& exchange,
                     const LogAsk& ask) {
  std::shared_ptr<HeldAsk> held(new HeldAsk{exchange, ask, Timer(*loop_)});
  held_.push_back(held);
  held->timer.expires_after(
      std::min(milliseconds(ask.wait_ms()), kLongestHold));
  // Its time may have run out before news came and be told only afterwards.
  held->timer.async_wait([this, held](auto error) {
    if (error || held->answered) return;
    held_.remove(held);
    AnswerHeld(held.get());
  });
}

void LogServer::AnswerHeld(HeldAsk* held) {
  held->answered = true;
  held->timer.cancel();
  Answer(held->exchange, held->ask);
}

void LogServer::Answer(const std::shared_ptr<ServerExchange>& exchange,
                       const LogAsk& ask) {
  LogAnswer answer;
  auto cache = caches_.find(ask.topic());
  bool is_known = cache != caches_.end() && cache->second->has_snapshot();
  if (is_known && ask.from() == 0 && BytesOnTheWay() >= kMaxBytesOnTheWay) {
    waiting_.emplace_back(exchange, ask);
    if (waiting_.size() == 1) SendWaiting();
    return;
  }
  if (is_known) answer = AnswerOf(*cache->second, ask, exchange->received());
  AnswerWith(exchange.get(), answer);
  if (!answer.deflated_records().empty()) on_the_way_.push_back(exchange);
}

LogAnswer LogServer::AnswerOf(const LogCache& cache, const LogAsk& ask,
                              TimePoint received) {
  LogAnswer answer;
  LogPage page;
  // Offsets of an earlier era mean nothing here.
  bool is_other_log = ask.from() != 0 && IsEarlierEra(ask.era(), cache.era());
  if (is_other_log || !cache.ReadFrom(ask.from(), &page)) {
    answer.set_kind(LogAnswer::EXPIRED);
    return answer;
  }
  uint64_t end = page.end;
  TimePoint as_of = page.as_of;
  if (page.records.size() >= kLongPage) {
    const Deflated& deflated = DeflatedPage(cache, ask, std::move(page));
    answer.set_deflated_records(deflated.records);
    answer.set_inflated_size(deflated.inflated_size);
  } else {
    answer = RecordsOf(std::move(page));
  }
  answer.set_kind(LogAnswer::PAGE);
  answer.set_end(end);
  answer.set_era(cache.era());
  answer.set_as_of_us(MicrosecondsAfter(received, as_of));
  return answer;
}

const LogServer::Deflated& LogServer::DeflatedPage(const LogCache& cache,
                                                   const LogAsk& ask,
                                                   LogPage page) {
  DeflatedPages& pages = deflated_[ask.topic()];
  if (pages.revision != cache.revision()) {
    pages.by_offset.clear();
    pages.revision = cache.revision();
  }
  auto [known, is_new] = pages.by_offset.try_emplace(ask.from());
  if (is_new) {
    DeflateRecords(std::move(page), &known->second.records,
                   &known->second.inflated_size);
  }
  return known->second;
}

size_t LogServer::BytesOnTheWay() {
  size_t bytes = 0;
  for (auto it = on_the_way_.begin(); it != on_the_way_.end();) {
    size_t pending = (*it)->pending_bytes();
    bytes += pending;
    it = pending == 0 ? on_the_way_.erase(it) : std::next(it);
  }
  return bytes;
}

void LogServer::SendWaiting() {
  while (!waiting_.empty() && BytesOnTheWay() < kMaxBytesOnTheWay) {
    auto [exchange, ask] = std::move(waiting_.front());
    waiting_.pop_front();
    Answer(exchange, ask);
  }
  if (waiting_.empty()) return;
  send_.expires_after(kLookAgain);
  send_.async_wait([this](auto error) {
    if (!error) SendWaiting();
  });
}

void LogServer::Changed(const std::string& topic) {
  std::list<std::shared_ptr<HeldAsk>> due;
  for (auto it = held_.begin(); it != held_.end();) {
    auto next = std::next(it);
    bool is_due = (*it)->ask.topic() == topic;
    if (is_due) due.splice(due.end(), held_, it);
    it = next;
  }
  for (const auto& held : due) AnswerHeld(held.get());
}

}  // namespace leverwick
