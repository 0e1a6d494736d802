// /rpc for peers, /status and /explain for leverwickctl, /metrics for scrapers.

#include "daemon/admin.h"

#include <json/json.h>
#include <sys/resource.h>

#include <cstdio>

#include "net/json.h"

namespace leverwick {
namespace {

constexpr char kJson[] = "application/json";

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double ResidentBytes() {
  long pages = 0;
  long resident = 0;
  std::FILE* file = std::fopen("/proc/self/statm", "r");
  if (file == nullptr) return 0;
  if (std::fscanf(file, "%ld %ld", &pages, &resident) != 2) resident = 0;
  std::fclose(file);
  constexpr double kPageBytes = 4096;
  return static_cast<double>(resident) * kPageBytes;
}

}  // namespace

void Admin::Handle(const HttpRequest& request, HttpResponder* responder) {
  static const Route routes[] = {
      {kRpcPath, &Admin::Rpc},       {"/status", &Admin::Status},
      {"/explain", &Admin::Explain}, {"/metrics", &Admin::MetricsPage},
      {"/healthz", &Admin::Health},
  };
  for (const Route& route : routes) {
    if (request.path != route.path) continue;
    (this->*route.handler)(request, responder);
    return;
  }
  responder->Send(404, {{"Content-Type", "text/plain"}}, "no such path\n");
}

void Admin::Rpc(const HttpRequest& request, HttpResponder* responder) {
  responder->Send(200, {{"Content-Type", kJson}}, rpc_->Handle(request.body));
}

void Admin::Health(const HttpRequest&, HttpResponder* responder) {
  responder->Send(200, {{"Content-Type", "text/plain"}}, "ok\n");
}

void Admin::Status(const HttpRequest&, HttpResponder* responder) {
  Json::Value status;
  std::error_code ready = gateway_->Ready();
  Roster roster = node_->CurrentRoster();
  status["life"] = node_->life;
  status["box"] = node_->settings.box().name();
  status["data_centre"] = node_->settings.box().data_centre();
  status["next_offset"] = Json::UInt64(node_->tables.table()->next_offset());
  status["ready"] = !ready;
  status["reason"] = ResultInfoFor(ToResult(ready)).name;
  status["cut_off"] =
      node_->freshness.StateAt(Clock::now()) == TableFreshness::kCutOff;
  status["roster_epoch"] = Json::UInt64(roster.epoch());
  status["members"] = roster.members_size();
  status["slots_active"] =
      roster.epoch() > 0 && node_->slots_epoch == roster.epoch();
  status["endpoints"] = Json::UInt64(node_->endpoints.addresses().size());
  status["in_progress"] = node_->in_progress.load();
  status["bills_queued"] = Json::UInt64(node_->bills.size());
  status["copied_to"] = bills_->copied_to();
  status["intents_held"] = Json::UInt64(node_->intents.size());
  status["claims_held"] = Json::UInt64(node_->claim_copies.size());
  responder->Send(200, {{"Content-Type", kJson}}, WriteJson(status));
}

void Admin::Explain(const HttpRequest& request, HttpResponder* responder) {
  std::string text = explanations_->Find(request.Parameter("id"));
  if (text.empty()) {
    const ResultInfo& info = ResultInfoFor(Result::kUnknownRequest);
    responder->Send(info.http_status, {{"Content-Type", kJson}},
                    ErrorBody(static_cast<int>(info.result), info.name,
                              info.message, "", "", milliseconds(0)));
    return;
  }
  responder->Send(200, {{"Content-Type", kJson}}, text);
}

void Admin::MetricsPage(const HttpRequest&, HttpResponder* responder) {
  Metrics& metrics = node_->metrics;
  metrics.Set("leverwick_in_progress", "", node_->in_progress.load());
  metrics.Set("leverwick_cpu_seconds_total", "", CpuSeconds());
  metrics.Set("leverwick_resident_bytes", "", ResidentBytes());
  metrics.Set("leverwick_peer_sent_calls_bytes_total", "",
              static_cast<double>(node_->peers.bytes()));
  metrics.Set("leverwick_platform_bytes_total", "",
              static_cast<double>(node_->platform.bytes()));
  metrics.Set("leverwick_control_served_bytes_total", "",
              static_cast<double>(control_bytes_()));
  responder->Send(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                  metrics.Text());
}

}  // namespace leverwick
