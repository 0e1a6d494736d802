// The reader of a data centre reads the platform's list and the others ask it
// whether it changed; every box reading the whole list every second was most
// of the control traffic, by measurement.
//
// The load of each endpoint is read by one box of the data centre, chosen by
// rendezvous hash, and passed on with its heartbeats; every box reading every
// endpoint would cost more than the whole control budget at full size.

#include "daemon/platform_watcher.h"

#include <json/json.h>

#include <algorithm>

#include "leverwick/digest.h"
#include "leverwick/slots.h"
#include "net/json.h"
#include "net/json_fields.h"
#include "net/log.h"

namespace leverwick {
namespace {

const Log log_("platform");
constexpr milliseconds kLoadInterval(1000);
constexpr milliseconds kRatingInterval(2000);
constexpr milliseconds kStoreInterval(30000);
constexpr size_t kMostOffers = 1000;
constexpr size_t kMostRated = 20000;
constexpr size_t kOffersPerStep = 200;
// The whole list is only for boxes of another data centre that lost all their
// peers at once; an old one is better than none.
constexpr int kReadsPerWholeList = 20;
constexpr int kOk = 200;

void ToReply(const BoxList& list, ListReply* reply) {
  for (const ListedBox& box : list.boxes) {
    ListReply::Box* out = reply->add_boxes();
    out->set_life(box.life);
    out->set_data_centre(box.data_centre);
    out->set_callers(box.callers);
    out->set_control(box.control);
    out->set_leaving(box.leaving);
  }
  for (const ListedEndpoint& endpoint : list.endpoints) {
    ListReply::Endpoint* out = reply->add_endpoints();
    out->set_address(endpoint.address);
    out->set_target(endpoint.target);
    out->set_data_centre(endpoint.data_centre);
    out->set_places(static_cast<uint32_t>(endpoint.max_in_flight));
    out->set_leaving(endpoint.leaving);
  }
}

void FromReply(const ListReply& reply, BoxList* list) {
  for (const ListReply::Box& in : reply.boxes()) {
    ListedBox box;
    box.life = in.life();
    box.data_centre = in.data_centre();
    box.callers = in.callers();
    box.control = in.control();
    box.leaving = in.leaving();
    list->boxes.push_back(box);
  }
  for (const ListReply::Endpoint& in : reply.endpoints()) {
    ListedEndpoint endpoint;
    endpoint.address = in.address();
    endpoint.target = in.target();
    endpoint.data_centre = in.data_centre();
    endpoint.max_in_flight = in.places();
    endpoint.leaving = in.leaving();
    list->endpoints.push_back(endpoint);
  }
}

}  // namespace

void PlatformWatcher::Start() {
  list_worker_.Start(FromProto(node_->settings.platform().box_list_interval()),
                     [this] { ListStep(); });
  load_worker_.Start(kLoadInterval, [this] { LoadStep(); });
  rating_worker_.Start(kRatingInterval, [this] { RatingStep(); });
  store_worker_.Start(kStoreInterval, [this] { StoreStep(); });
}

void PlatformWatcher::Stop() {
  list_worker_.Stop();
  load_worker_.Stop();
  rating_worker_.Stop();
  store_worker_.Stop();
}

ListedBox PlatformWatcher::Self(bool leaving) const {
  ListedBox box;
  box.life = node_->life;
  box.data_centre = node_->settings.box().data_centre();
  box.callers = node_->settings.listen().callers();
  box.control = node_->settings.listen().control();
  box.leaving = leaving;
  return box;
}

void PlatformWatcher::AnnounceLeaving() {
  node_->platform.Announce(Self(true));
}

void PlatformWatcher::ListStep() {
  if (!node_->stopping) node_->platform.Announce(Self(false));
  if (ListFromReader()) return;
  BoxList list;
  if (node_->platform.ReadList(node_->settings.box().data_centre(), &list)) {
    // A fresh box without the platform learns its endpoints from a peer.
    if (!node_->list_ready) ListFromSeeds();
    return;
  }
  TakeList(list, Clock::now());
  if (--until_whole_ <= 0) ReadWholeList();
}

void PlatformWatcher::ReadWholeList() {
  BoxList list;
  if (node_->platform.ReadList("", &list)) return;
  until_whole_ = kReadsPerWholeList;
  std::lock_guard<std::mutex> lock(mutex_);
  whole_list_ = std::move(list);
}

bool PlatformWatcher::ListFromReader() {
  Member reader;
  return node_->list_ready && node_->Reader(&reader) && ListFrom(reader);
}

bool PlatformWatcher::ListFromSeeds() {
  for (const std::string& seed : node_->settings.peers().seeds()) {
    Member peer;
    peer.set_address(seed);
    if (ListFrom(peer)) return true;
  }
  return false;
}

bool PlatformWatcher::ListFrom(const Member& peer) {
  ListRequest request;
  request.set_known(list_version_);
  request.set_data_centre(node_->settings.box().data_centre());
  ListReply reply;
  if (node_->peers.Call(peer, "List", request, &reply)) return false;
  TimePoint read = Clock::now() - milliseconds(reply.age_ms());
  // A reader that can't read the list itself is no source of it.
  auto oldest = 3 * FromProto(node_->settings.platform().box_list_interval());
  if (node_->list_ready && Clock::now() - read > oldest) return false;
  BoxList list;
  if (reply.unchanged()) {
    list = list_;
  } else {
    FromReply(reply, &list);
  }
  if (list.endpoints.empty()) return false;
  TakeList(list, read);
  return true;
}

void PlatformWatcher::TakeList(const BoxList& list, TimePoint read) {
  std::vector<ListedEndpoint> here;
  for (const ListedEndpoint& endpoint : list.endpoints) {
    if (endpoint.data_centre == node_->settings.box().data_centre()) {
      here.push_back(endpoint);
    }
  }
  std::vector<std::string> lives;
  for (const ListedBox& box : list.boxes) lives.push_back(box.life);
  node_->membership.RecordListedBoxes(lives, read);
  node_->endpoints.SetListed(here, Clock::now());
  node_->list_ready = true;
  ListReply whole;
  ToReply(list, &whole);
  std::lock_guard<std::mutex> lock(mutex_);
  list_ = list;
  list_read_ = read;
  uint64_t version = StableHash(whole.SerializeAsString());
  // What changed here has likely changed elsewhere, at a start above all.
  if (version != list_version_) until_whole_ = std::min(until_whole_, 1);
  list_version_ = version;
}

bool PlatformWatcher::ServeList(const ListRequest& request, ListReply* reply) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!node_->list_ready) return false;
  if (request.data_centre() != node_->settings.box().data_centre()) {
    BoxList theirs;
    for (const ListedEndpoint& endpoint : whole_list_.endpoints) {
      if (endpoint.data_centre != request.data_centre()) continue;
      theirs.endpoints.push_back(endpoint);
    }
    ToReply(theirs, reply);
    return true;
  }
  reply->set_version(list_version_);
  auto age =
      std::chrono::duration_cast<milliseconds>(Clock::now() - list_read_);
  reply->set_age_ms(static_cast<uint32_t>(age.count()));
  if (request.known() == list_version_) {
    reply->set_unchanged(true);
  } else {
    ToReply(list_, reply);
  }
  return true;
}

void PlatformWatcher::LoadStep() {
  Roster roster = node_->CurrentRoster();
  for (const std::string& address : node_->endpoints.addresses()) {
    std::vector<Member> ranked =
        RankMembers(roster, static_cast<uint32_t>(StableHash(address)));
    if (!ranked.empty() && ranked.front().life() != node_->life) continue;
    ReadLoad(address);
  }
}

void PlatformWatcher::ReadLoad(const std::string& address) {
  EndpointCall call;
  call.method = "GET";
  call.address = address;
  call.path = "/load";
  call.connect_timeout =
      FromProto(node_->settings.requests().connect_timeout());
  call.timeout = FromProto(node_->settings.peers().timeout());
  EndpointAnswer answer = node_->endpoint_client.Call(call);
  Json::Value value;
  if (answer.kind != EndpointAnswer::kAnswered || answer.status != kOk ||
      !ReadJson(answer.body, &value)) {
    return;
  }
  std::string problem;
  JsonFields fields(value, &problem);
  LoadReport report;
  report.running = static_cast<unsigned>(fields.Number("running", 0));
  report.queued = static_cast<unsigned>(fields.Number("queued", 0));
  report.leaving = fields.Flag("leaving", false);
  if (!fields.ok()) {
    log_.Warning("An endpoint's load can't be read.",
                 {{"endpoint", address}, {"why", problem}});
    return;
  }
  node_->endpoints.RecordOwnReport(address, report, Clock::now());
}

void PlatformWatcher::Offer(const std::string& request_id,
                            const std::string& answer,
                            const RatedAnswer& about) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (offers_.size() >= kMostOffers) return;
  offers_.push_back({request_id, answer});
  rated_[request_id] = about;
  rated_order_.push_back(request_id);
  if (rated_order_.size() <= kMostRated) return;
  rated_.erase(rated_order_.front());
  rated_order_.pop_front();
}

void PlatformWatcher::SendOffers() {
  for (size_t i = 0; i < kOffersPerStep; ++i) {
    OfferedAnswer offer;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (offers_.empty()) return;
      offer = offers_.front();
      offers_.pop_front();
    }
    if (node_->platform.OfferForRating(node_->life, offer.request_id,
                                       offer.answer)) {
      return;  // a rating lost costs a little quality, nothing else
    }
  }
}

void PlatformWatcher::RatingStep() {
  SendOffers();
  std::vector<RatingResult> results;
  if (node_->platform.ReadRatings(node_->life, next_rating_, &results,
                                  &next_rating_)) {
    return;
  }
  for (const RatingResult& result : results) TakeRating(result);
}

void PlatformWatcher::TakeRating(const RatingResult& result) {
  RatedAnswer about;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = rated_.find(result.request_id);
    if (found == rated_.end()) return;
    about = found->second;
    rated_.erase(found);
  }
  node_->metrics.Add("leverwick_ratings_total", "", 1);
  node_->estimates.RecordRating(about.version_key, about.request_class,
                                about.confident, result.rating);
  if (about.expected >= 0) {
    node_->planner.RecordRating(about.organisation, about.expected,
                                result.rating);
  }
  if (about.rollout.empty()) return;
  const Rollout* rollout = nullptr;
  std::shared_ptr<const Table> table = node_->tables.table();
  rollout = table->FindRollout(about.rollout);
  if (rollout == nullptr) return;
  node_->guard.RecordRating(
      about.rollout, ToRegressionLimits(*rollout),
      node_->estimates.StatsFor(about.baseline_key, about.request_class),
      result.rating);
}

void PlatformWatcher::StoreStep() {
  LoadEstimates();
  if (!node_->IsReader()) return;
  LifeSumsList all;
  for (const LifeSums& sums : node_->estimates.all()) *all.add_lives() = sums;
  node_->platform.StorePut("estimates-" + node_->settings.box().data_centre(),
                           MessageToJson(all));
}

void PlatformWatcher::LoadEstimates() {
  if (estimates_loaded_) return;
  std::string text;
  LifeSumsList all;
  if (node_->platform.StoreGet(
          "estimates-" + node_->settings.box().data_centre(), &text) ||
      !MessageFromJson(text, &all)) {
    return;
  }
  for (const LifeSums& sums : all.lives()) node_->estimates.MergePeerSums(sums);
  estimates_loaded_ = true;
  log_.Info("Estimates read from the store.",
            {{"lives", std::to_string(all.lives_size())}});
}

}  // namespace leverwick
