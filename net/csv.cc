// libcsv calls back for each field and each row.

#include "net/csv.h"

#include <csv.h>

namespace leverwick {
namespace {

struct Collector {
  std::vector<CsvRow>* rows;
  CsvRow row;
};

void OnField(void* text, size_t size, void* user) {
  auto* collector = static_cast<Collector*>(user);
  collector->row.emplace_back(static_cast<char*>(text), size);
}

void OnRow(int, void* user) {
  auto* collector = static_cast<Collector*>(user);
  collector->rows->push_back(std::move(collector->row));
  collector->row.clear();
}

}  // namespace

bool ParseCsv(const std::string& text, std::vector<CsvRow>* rows) {
  csv_parser parser;
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI) != 0) return false;
  Collector collector{rows, {}};
  size_t parsed = csv_parse(&parser, text.data(), text.size(), &OnField, &OnRow,
                            &collector);
  bool good = parsed == text.size() &&
              csv_fini(&parser, &OnField, &OnRow, &collector) == 0;
  csv_free(&parser);
  return good;
}

std::string FormatCsv(const CsvRow& row) {
  std::string line;
  for (size_t i = 0; i < row.size(); ++i) {
    if (i > 0) line += ',';
    std::string quoted(2 * row[i].size() + 2, '\0');
    size_t size =
        csv_write(&quoted[0], quoted.size(), row[i].data(), row[i].size());
    bool plain = row[i].find_first_of(",\"\r\n") == std::string::npos;
    line += plain ? row[i] : quoted.substr(0, size);
  }
  return line + "\n";
}

}  // namespace leverwick
