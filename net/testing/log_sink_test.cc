#include "net/log_sink.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include "leverwick/request_sampler.h"
#include "net/metrics.h"

namespace leverwick {
namespace {

std::string ReadAll(int descriptor, size_t most) {
  std::string text(most, '\0');
  ssize_t size = read(descriptor, &text[0], most);
  text.resize(size > 0 ? static_cast<size_t>(size) : 0);
  return text;
}

TEST_CASE("a reader that stands still costs lines, never time") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  LogSink sink(ends[1], 10000);
  // Far more than a pipe holds and the sink keeps; a write that waited would
  // hang here.
  const std::string line(999, 'x');
  for (int i = 0; i < 1000; ++i) sink.Write(line + "\n");
  CHECK(sink.dropped() > 0);
  uint64_t dropped = sink.dropped();
  std::string read;
  while (read.size() < 100 || read.find("dropped") == std::string::npos) {
    read += ReadAll(ends[0], 1 << 20);
    sink.Flush();
  }
  CHECK(read.find("count=" + std::to_string(dropped)) != std::string::npos);
  // Whole lines only.
  CHECK(read.substr(0, 1000) == line + "\n");
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("requests keep all their lines or none, within the bound") {
  RequestSampler sampler(100);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int lines = 0;
  for (int i = 0; i < 100000; ++i) {
    now += std::chrono::microseconds(100);  // 10,000 requests a second
    if (!sampler.IsSampled("id" + std::to_string(i))) continue;
    sampler.RecordLine(now);
    ++lines;
  }
  CHECK(lines < 10 * 100 * 3);
  CHECK(sampler.sample_rate() < 0.1);
  // A quiet time brings the share back.
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::seconds(2);
    sampler.RecordLine(now);
  }
  CHECK(sampler.sample_rate() == 1);
}

TEST_CASE("histograms are cumulative") {
  Metrics metrics;
  metrics.Time("t", "a=\"b\"", Seconds(0.02));
  metrics.Time("t", "a=\"b\"", Seconds(3));
  std::string text = metrics.Text();
  CHECK(text.find("t_bucket{a=\"b\",le=\"0.025\"} 1\n") != std::string::npos);
  CHECK(text.find("t_bucket{a=\"b\",le=\"5\"} 2\n") != std::string::npos);
  CHECK(text.find("t_bucket{a=\"b\",le=\"+Inf\"} 2\n") != std::string::npos);
  CHECK(text.find("t_count{a=\"b\"} 2\n") != std::string::npos);
}

}  // namespace
}  // namespace leverwick
