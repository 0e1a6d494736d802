// Callers' load: sends chat requests at a rate and prints one JSON summary.
//
// With --direct it speaks to an engine itself, for comparison. With --lines
// every request's outcome is written to a file, one line each:
// key request-id http-status code run-state bytes

#include <json/json.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "net/endpoint_client.h"
#include "net/json.h"

namespace leverwick {
namespace {

struct Options {
  std::vector<std::string> targets = {"127.0.0.1:8080"};
  std::vector<std::string> keys = {""};
  std::string model = "auto";
  std::string task;
  std::string lines;
  int requests = 100;
  double rate = 0;  // a second; 0: as fast as they are answered
  int threads = 8;
  double stream_share = 0;
  int max_tokens = 0;
  int prompt_words = 20;
  int timeout_ms = 60000;
  bool idempotent = false;
  bool not_repeatable = false;
  bool direct = false;
  std::string seed = "load";
};

struct Sample {
  std::string key;
  std::string id;
  int status = 0;
  int code = 0;
  std::string run_state;
  Seconds total{0};
  Seconds first{0};
  size_t bytes = 0;
  int tokens = 0;
  bool whole = false;
};

std::string PromptOf(const Options& options, int number) {
  static const char* const kTexts[] = {
      "Please summarise delivery", "When will the tanker reach", "Read meter",
      "Explain filing number", "What changed in the register entry"};
  std::string text = kTexts[number % 5];
  for (int i = 0; i < options.prompt_words; ++i) {
    text += " w" + std::to_string((number * 31 + i * 7) % 997);
  }
  return text + " " + std::to_string(number);
}

class Load {
 public:
  explicit Load(const Options& options) : options_(options) {}

  void Run() {
    begin_ = Clock::now();
    std::vector<std::thread> threads;
    for (int i = 0; i < options_.threads; ++i) {
      threads.emplace_back([this] { Worker(); });
    }
    for (std::thread& thread : threads) thread.join();
  }

  void Print() {
    Json::Value summary;
    std::vector<double> totals;
    std::vector<double> firsts;
    std::vector<double> gaps;
    int tokens = 0;
    int whole = 0;
    for (const Sample& sample : samples_) {
      std::string name = sample.code == 0 ? std::to_string(sample.status)
                                          : std::to_string(sample.code);
      summary["results"][name] = summary["results"][name].asInt() + 1;
      tokens += sample.tokens;
      if (!sample.whole) continue;
      ++whole;
      totals.push_back(sample.total.count());
      firsts.push_back(sample.first.count());
      if (sample.tokens > 1) {
        gaps.push_back((sample.total - sample.first).count() /
                       (sample.tokens - 1));
      }
    }
    summary["sent"] = Json::UInt64(samples_.size());
    summary["whole"] = whole;
    summary["tokens"] = tokens;
    summary["seconds"] = ToSeconds(Clock::now() - begin_);
    AddQuantiles("total_s", &totals, &summary);
    AddQuantiles("first_s", &firsts, &summary);
    AddQuantiles("token_gap_s", &gaps, &summary);
    std::cout << WriteJson(summary) << "\n";
  }

  void WriteLines() {
    if (options_.lines.empty()) return;
    std::ofstream file(options_.lines);
    for (const Sample& sample : samples_) {
      file << (sample.key.empty() ? "-" : sample.key) << " "
           << (sample.id.empty() ? "-" : sample.id) << " " << sample.status
           << " " << sample.code << " "
           << (sample.run_state.empty() ? "-" : sample.run_state) << " "
           << sample.bytes << "\n";
    }
  }

 private:
  static void AddQuantiles(const char* name, std::vector<double>* values,
                           Json::Value* summary) {
    if (values->empty()) return;
    std::sort(values->begin(), values->end());
    auto at = [values](double share) {
      return (*values)[static_cast<size_t>(
          share * static_cast<double>(values->size() - 1))];
    };
    Json::Value& out = (*summary)[name];
    out["p50"] = at(0.5);
    out["p95"] = at(0.95);
    out["p99"] = at(0.99);
    out["max"] = values->back();
  }

  void Worker() {
    for (;;) {
      int number = next_++;
      if (number >= options_.requests) return;
      if (options_.rate > 0) {
        std::this_thread::sleep_until(begin_ +
                                      FromSeconds(number / options_.rate));
      }
      Sample sample = Send(number);
      std::lock_guard<std::mutex> lock(mutex_);
      samples_.push_back(std::move(sample));
    }
  }

  EndpointCall MakeCall(int number, bool streamed, Sample* sample) const {
    EndpointCall call;
    auto at = static_cast<size_t>(number);
    call.address = options_.targets[at % options_.targets.size()];
    call.path = "/v1/chat/completions";
    call.timeout = milliseconds(options_.timeout_ms);
    call.connect_timeout = milliseconds(2000);
    call.headers = {
        "Content-Type: application/json",
        "Authorization: Bearer " + options_.keys[at % options_.keys.size()]};
    if (options_.direct) {
      call.headers.push_back("X-Request-Id: " + options_.seed + "." +
                             std::to_string(number) + ".1");
    }
    if (!options_.task.empty()) {
      call.headers.push_back("X-Leverwick-Task: " + options_.task);
    }
    if (options_.idempotent) {
      sample->key = options_.seed + "-" + std::to_string(number);
      call.headers.push_back("Idempotency-Key: " + sample->key);
    }
    if (options_.not_repeatable) {
      call.headers.push_back("X-Leverwick-Repeatable: false");
    }
    Json::Value body;
    body["model"] = options_.model;
    body["stream"] = streamed;
    if (options_.max_tokens > 0) body["max_tokens"] = options_.max_tokens;
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = PromptOf(options_, number);
    call.body = WriteJson(body);
    return call;
  }

  Sample Send(int number) {
    Sample sample;
    bool streamed = (number % 100) < options_.stream_share * 100;
    EndpointCall call = MakeCall(number, streamed, &sample);
    TimePoint begin = Clock::now();
    std::string tail;
    if (streamed) {
      call.on_data = [&](const char* data, size_t size) {
        if (sample.bytes == 0) sample.first = Clock::now() - begin;
        sample.bytes += size;
        std::string text(data, size);
        for (size_t at = 0;
             (at = text.find("\"content\"", at)) != std::string::npos; ++at) {
          ++sample.tokens;
        }
        tail =
            (tail + text)
                .substr(tail.size() + size > 64 ? tail.size() + size - 64 : 0);
        return true;
      };
    }
    EndpointAnswer answer = client_.Call(call);
    sample.total = Clock::now() - begin;
    sample.status =
        answer.kind == EndpointAnswer::kAnswered ? answer.status : 0;
    Read(answer, streamed, tail, &sample);
    return sample;
  }

  static void Read(const EndpointAnswer& answer, bool streamed,
                   const std::string& tail, Sample* sample) {
    Json::Value body;
    bool json = ReadJson(answer.body, &body);
    if (json && body.isMember("error")) {
      sample->code = body["error"]["code"].asInt();
      sample->run_state = body["error"]["run_state"].asString();
      sample->id = body["error"]["request_id"].asString();
      return;
    }
    if (sample->status != 200) return;
    if (streamed) {
      sample->whole = tail.find("[DONE]") != std::string::npos;
      return;
    }
    sample->bytes = answer.body.size();
    sample->id = body["id"].asString();
    sample->whole = json && body["choices"].isArray();
    sample->tokens = body["usage"]["completion_tokens"].asInt();
    sample->first = sample->total;
  }

  const Options options_;
  EndpointClient client_;
  TimePoint begin_{};
  std::atomic<int> next_{0};
  std::mutex mutex_;
  std::vector<Sample> samples_;
};

}  // namespace
}  // namespace leverwick

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  CLI::App app{"leverwick-load sends chat requests and sums up the answers."};
  leverwick::Options options;
  app.add_option("--target", options.targets, "ip:port of boxes.")
      ->delimiter(',');
  app.add_option("--key", options.keys, "Bearer keys.")->delimiter(',');
  app.add_option("--model", options.model, "Model, or auto.");
  app.add_option("--task", options.task, "Task word.");
  app.add_option("--requests", options.requests, "How many.");
  app.add_option("--rate", options.rate, "Requests a second.");
  app.add_option("--threads", options.threads, "Requests at once.");
  app.add_option("--stream-share", options.stream_share, "0 to 1.");
  app.add_option("--max-tokens", options.max_tokens, "Of an answer.");
  app.add_option("--prompt-words", options.prompt_words, "Of a prompt.");
  app.add_option("--timeout-ms", options.timeout_ms, "Of one request.");
  app.add_option("--seed", options.seed, "Part of keys and ids.");
  app.add_option("--lines", options.lines, "File for one line a request.");
  app.add_flag("--idempotent", options.idempotent, "Send Idempotency-Key.");
  app.add_flag("--not-repeatable", options.not_repeatable, "Mark requests.");
  app.add_flag("--direct", options.direct, "The target is an engine.");
  CLI11_PARSE(app, argc, argv);
  leverwick::Load load(options);
  load.Run();
  load.Print();
  load.WriteLines();
  return 0;
}
