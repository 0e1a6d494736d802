// Isolation and overload of one pool, in virtual time over the fair queue, the
// endpoint picker and the limiter.
//
// Seven boxes before 20 replicas; ten organisations, two of them large. First
// each organisation's p95 of time to first token while all behave; then one
// floods at ten times its rate. Baselines in the same run: first come first
// served in place of fair queueing, and a random endpoint in place of the
// picker. Then the pool at its capacity and at twice that: goodput is what is
// answered within the deadline, in tokens.
//
//   bench-pool [scale [trial]]   trial: on other seeds than those reported

#include <cmath>
#include <cstdlib>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "bench/spread.h"
#include "leverwick/digest.h"
#include "leverwick/endpoint_pool.h"
#include "leverwick/fair_queue.h"

namespace leverwick {
namespace {

constexpr size_t kPlaces = 8;         // of a replica
constexpr double kTokenTime = 0.02;   // seconds
constexpr double kFirstToken = 0.15;  // seconds
constexpr double kQueueTime = 2;      // longest wait for a place
constexpr double kDeadline = 30;      // of a whole request
constexpr double kReportLag = 1;
constexpr size_t kMostWaiting = 512;
// As the daemon sets them.
constexpr double kReserve = 0.1;
constexpr double kOvercommit = 0.25;
const char kTarget[] = "swift@1";

struct Options {
  int boxes = 7;
  int replicas = 20;
  double load = 0.6;  // of the pool's capacity
  int flooder = -1;   // organisation that sends ten times as much
  bool fair = true;
  bool pick = true;
  double seconds = 120;
};

struct Request {
  int organisation;
  int box;
  double arrived;
  double tokens;
  std::string endpoint;
};

struct Event {
  double at;
  int kind;  // 0 arrival, 1 end at an endpoint, 2 give up, 3 reports
  uint64_t id;
  bool operator<(const Event& other) const { return at > other.at; }
};

TimePoint At(double seconds) {
  return TimePoint() + FromSeconds(1e6 + seconds);
}

class Simulation {
 public:
  Simulation(unsigned seed, const Options& options)
      : random_(seed), options_(options) {
    std::vector<ListedEndpoint> list;
    for (int i = 0; i < options.replicas; ++i) {
      ListedEndpoint endpoint;
      endpoint.address = "10.0.0.1:" + std::to_string(1 + i);
      endpoint.target = kTarget;
      endpoint.max_in_flight = kPlaces;
      list.push_back(endpoint);
      running_[endpoint.address] = 0;
    }
    size_t places = 1 + kPlaces * static_cast<size_t>(options.replicas) /
                            static_cast<size_t>(options.boxes);
    for (int b = 0; b < options.boxes; ++b) {
      pools_.push_back(std::make_unique<EndpointPool>());
      pools_.back()->SetListed(list, At(0));
      FairQueueOptions queue;
      if (options.fair) {
        queue.reserve = kReserve;
        queue.overcommit = kOvercommit;
      }
      queues_.push_back(
          std::make_unique<FairQueue>(places, kMostWaiting, queue));
    }
    double mean_hold = kFirstToken + kTokenTime * MeanTokens();
    capacity_ = static_cast<double>(kPlaces) * options.replicas / mean_hold;
  }

  void Run() {
    for (int o = 0; o < 10; ++o) Schedule(o, 0);
    events_.push(Event{0, 3, 0});
    while (!events_.empty() && events_.top().at < options_.seconds) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
  }

  double FirstTokenP95(int organisation) const {
    auto found = first_.find(organisation);
    return found == first_.end() ? 0 : QuantileOf(found->second, 0.95);
  }
  double goodput() const { return good_ / options_.seconds; }
  double capacity() const { return capacity_; }
  double refused() const { return refused_; }
  double sent() const { return sent_; }

 private:
  static double ShareOf(int o) { return o < 2 ? 0.3 : 0.05; }

  // All have the same weight, as in a table nobody has tuned.
  static double WeightOf(int) { return 1; }

  // Organisation 0 sends long filings, the others short questions.
  static double TokensOf(int o) { return o == 0 ? 400 : 60; }

  static double MeanTokens() {
    double mean = 0;
    for (int o = 0; o < 10; ++o) mean += ShareOf(o) * TokensOf(o);
    return mean;
  }

  void Schedule(int o, double after) {
    double rate = capacity_ * options_.load * ShareOf(o);
    if (o == options_.flooder) rate *= 10;
    std::exponential_distribution<double> gap(rate);
    events_.push(Event{after + gap(random_), 0, static_cast<uint64_t>(o)});
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case 0:
        Arrive(static_cast<int>(event.id));
        break;
      case 1:
        End(event.id);
        break;
      case 2:
        GiveUp(event.id);
        break;
      default:
        Report();
    }
  }

  void Arrive(int o) {
    Schedule(o, now_);
    ++sent_;
    Request request;
    request.organisation = o;
    request.box =
        static_cast<int>(random_() % static_cast<unsigned>(options_.boxes));
    request.arrived = now_;
    std::exponential_distribution<double> tokens(1 / TokensOf(o));
    request.tokens = 1 + tokens(random_);
    auto b = static_cast<size_t>(request.box);
    std::vector<uint64_t> shed;
    std::string name =
        options_.fair ? "o" + std::to_string(o) : std::string("all");
    double cost = options_.fair ? 20 + TokensOf(o) : 1;
    FairQueue::Ticket ticket =
        queues_[b]->Submit(name, WeightOf(o), 5, cost, &shed);
    uint64_t id = Id(request.box, ticket.id);
    for (uint64_t victim : shed) Refuse(Id(request.box, victim));
    requests_[id] = request;
    if (ticket.state == FairQueue::kShed) return Refuse(id);
    if (ticket.state == FairQueue::kRunning) return Start(id);
    events_.push(Event{now_ + kQueueTime, 2, id});
  }

  static uint64_t Id(int box, uint64_t ticket) {
    return (static_cast<uint64_t>(box) << 48) | ticket;
  }

  void Refuse(uint64_t id) {
    ++refused_;
    requests_.erase(id);
  }

  void GiveUp(uint64_t id) {
    auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.endpoint.empty()) return;
    queues_[static_cast<size_t>(found->second.box)]->Cancel(id &
                                                            0xffffffffffff);
    Refuse(id);
  }

  void Start(uint64_t id) {
    Request& request = requests_[id];
    EndpointPool& pool = *pools_[static_cast<size_t>(request.box)];
    if (options_.pick) {
      // A few prefixes an organisation, as conversations share system prompts.
      uint64_t affinity = StableHash(std::to_string(
          request.organisation * 100 + static_cast<int>(random_() % 16)));
      request.endpoint = pool.Pick(kTarget, affinity, {}, At(now_)).address;
    } else {
      request.endpoint =
          "10.0.0.1:" + std::to_string(1 + random_() % static_cast<unsigned>(
                                                           options_.replicas));
    }
    pool.RecordStart(request.endpoint);
    size_t& running = running_[request.endpoint];
    ++running;
    // An engine with more requests than places serves them more slowly.
    double crowd = std::max(
        1.0, static_cast<double>(running) / static_cast<double>(kPlaces));
    first_[request.organisation].push_back(now_ - request.arrived +
                                           kFirstToken * crowd);
    double hold = crowd * (kFirstToken + kTokenTime * request.tokens);
    events_.push(Event{now_ + hold, 1, id});
  }

  void End(uint64_t id) {
    Request request = requests_[id];
    requests_.erase(id);
    --running_[request.endpoint];
    auto b = static_cast<size_t>(request.box);
    pools_[b]->RecordCompletion(request.endpoint, true, At(now_));
    if (now_ - request.arrived <= kDeadline) good_ += request.tokens;
    for (uint64_t next : queues_[b]->Finish(id & 0xffffffffffff)) {
      Start(Id(request.box, next));
    }
  }

  void Report() {
    for (auto& pool : pools_) {
      for (const auto& entry : running_) {
        LoadReport report;
        report.running = entry.second;
        pool->RecordReport(entry.first, report, At(now_));
      }
    }
    events_.push(Event{now_ + kReportLag, 3, 0});
  }

  std::mt19937 random_;
  const Options options_;
  std::vector<std::unique_ptr<EndpointPool>> pools_;
  std::vector<std::unique_ptr<FairQueue>> queues_;
  std::map<std::string, size_t> running_;
  std::priority_queue<Event> events_;
  std::map<uint64_t, Request> requests_;
  std::map<int, std::vector<double>> first_;
  double now_ = 0;
  double capacity_ = 0;
  double good_ = 0;
  double refused_ = 0;
  double sent_ = 0;
};

// The worst ratio, over organisations but the flooder, of p95 beside the flood
// to p95 alone.
double WorstRatio(unsigned seed, Options options) {
  Simulation alone(seed, options);
  alone.Run();
  options.flooder = 0;
  Simulation flooded(seed, options);
  flooded.Run();
  double worst = 0;
  for (int o = 1; o < 10; ++o) {
    worst = std::max(worst, flooded.FirstTokenP95(o) / alone.FirstTokenP95(o));
  }
  return worst;
}

double P95OfAll(unsigned seed, const Options& options) {
  Simulation simulation(seed, options);
  simulation.Run();
  double worst = 0;
  for (int o = 0; o < 10; ++o) {
    worst = std::max(worst, simulation.FirstTokenP95(o));
  }
  return worst;
}

double GoodputRatio(unsigned seed, Options options, double* refused) {
  options.load = 1;
  Simulation full(seed, options);
  full.Run();
  options.load = 2;
  Simulation twice(seed, options);
  twice.Run();
  *refused = twice.refused() / twice.sent();
  return twice.goodput() / full.goodput();
}

void Print(int scale, const std::vector<unsigned>& seeds) {
  Spread fair, first_come, picked, at_random, goodput, refused_share;
  for (unsigned seed : seeds) {
    Options options;
    options.boxes *= scale;
    options.replicas *= scale;
    options.seconds = scale > 1 ? 40 : 120;
    fair.Add(WorstRatio(seed, options));
    picked.Add(P95OfAll(seed, options));
    double refused = 0;
    goodput.Add(GoodputRatio(seed, options, &refused));
    refused_share.Add(refused);
    Options naive = options;
    naive.fair = false;
    first_come.Add(WorstRatio(seed, naive));
    naive = options;
    naive.pick = false;
    at_random.Add(P95OfAll(seed, naive));
  }
  std::printf("%d boxes, %d replicas, median (least to most) of %zu seeds\n",
              7 * scale, 20 * scale, seeds.size());
  fair.Print("worst p95 beside a flood to alone, fair queue");
  first_come.Print("the same, first come first served");
  picked.Print("worst p95 of first token at 0.6 load, picker", " s");
  at_random.Print("the same, random endpoint", " s");
  goodput.Print("goodput at twice capacity to at capacity");
  refused_share.Print("share refused at twice capacity");
}

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) {
  bool trial = argc > 2;
  leverwick::Print(argc > 1 ? std::atoi(argv[1]) : 1,
                   trial ? std::vector<unsigned>{1, 2, 3, 4, 5}
                         : leverwick::ReportedSeeds());
  return 0;
}
