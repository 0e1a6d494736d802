#include "net/settings.h"

#include <doctest/doctest.h>

#include "leverwick/fields.h"
#include "net/csv.h"
#include "schema/settings.pb.h"

namespace leverwick {
namespace {

const char kGood[] =
    "box: {name: a1, data_centre: dc1}\n"
    "listen: {callers: 127.0.0.1:1, control: 127.0.0.1:2}\n"
    "platform: {address: 127.0.0.1:3}\n";

std::vector<std::string> ProblemsOf(const std::string& text) {
  DaemonSettings settings;
  return ParseSettings(text, "box.yaml", &settings).problems;
}

bool Tells(const std::vector<std::string>& problems, const std::string& text) {
  for (const std::string& problem : problems) {
    if (problem.find(text) != std::string::npos) return true;
  }
  MESSAGE("not told: " << text);
  for (const std::string& problem : problems) MESSAGE(problem);
  return false;
}

TEST_CASE("good settings load, with defaults") {
  DaemonSettings settings;
  SettingsReport report = ParseSettings(
      std::string(kGood) + "peers: {dead_after: 1500ms}\n", "f", &settings);
  CHECK(report.problems.empty());
  CHECK(settings.box().name() == "a1");
  CHECK(ToMilliseconds(settings.peers().dead_after()) == milliseconds(1500));
  CHECK(ToMilliseconds(settings.peers().heartbeat()) == milliseconds(1000));
  CHECK(report.sources.at("peers.dead_after") == "f:4");
  std::string printed = PrintSettings(settings, report);
  CHECK(printed.find("dead_after: 1500ms  # f:4") != std::string::npos);
  CHECK(printed.find("heartbeat: 1s  # default") != std::string::npos);
}

TEST_CASE("every problem is told with its place and what was expected") {
  std::string text = std::string(kGood) +
                     "peers:\n"
                     "  dead_after: soon\n"
                     "  fanout: 900\n"
                     "  fanuot: 3\n"
                     "  fanout: 4\n"
                     "log: {level: loud}\n"
                     "stop: 5\n";
  std::vector<std::string> problems = ProblemsOf(text);
  CHECK(
      Tells(problems, "box.yaml:5:15: peers.dead_after: expected a duration"));
  CHECK(Tells(problems, "box.yaml:7:3: peers.fanuot: unknown key"));
  CHECK(Tells(problems, "box.yaml:8:3: peers.fanout: duplicate key"));
  CHECK(Tells(problems, "peers.fanout: is '900', expected a whole number"));
  CHECK(
      Tells(problems, "box.yaml:9:14: log.level: is 'loud', expected one of"));
  CHECK(Tells(problems, "box.yaml:10:7: stop: expected a group"));
}

TEST_CASE("missing keys, groups and malformed YAML are told") {
  CHECK(Tells(ProblemsOf("box: {name: a1}\n"),
              "box.yaml:1:6: box.data_centre: is missing"));
  CHECK(Tells(ProblemsOf("box: {name: a, data_centre: b}\n"),
              "listen: callers is missing"));
  CHECK(Tells(ProblemsOf("box: [\n"), "malformed YAML"));
  CHECK(Tells(ProblemsOf("just text\n"), "expected a group"));
}

TEST_CASE("durations keep their meaning as text") {
  for (const char* text : {"250ms", "2s", "90s", "1500us", "7ns", "0s"}) {
    nanoseconds duration{0};
    REQUIRE(ParseDuration(text, &duration));
    CHECK(FormatDuration(duration) == text);
  }
  nanoseconds duration{0};
  CHECK(ParseDuration("1.5m", &duration));
  CHECK(duration == std::chrono::seconds(90));
  for (const char* text : {"", "5", "ms", "-1s", "1 s", "1e30s", "x2s"}) {
    CHECK(!ParseDuration(text, &duration));
  }
}

TEST_CASE("CSV survives quotes, commas and line ends") {
  CsvRow row = {"plain", "a,b", "say \"hi\"", "two\nlines", ""};
  std::vector<CsvRow> rows;
  REQUIRE(ParseCsv(FormatCsv(row) + "x,y\r\n", &rows));
  REQUIRE(rows.size() == 2);
  CHECK(rows[0] == row);
  CHECK(rows[1] == CsvRow{"x", "y"});
  CHECK(!ParseCsv("\"open", &rows));
}

}  // namespace
}  // namespace leverwick
