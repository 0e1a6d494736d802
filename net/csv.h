// CSV as spreadsheets write it, by libcsv.

#ifndef NET_CSV_H_
#define NET_CSV_H_

#include <string>
#include <vector>

namespace leverwick {

using CsvRow = std::vector<std::string>;

// False when the text breaks the quoting rules.
bool ParseCsv(const std::string& text, std::vector<CsvRow>* rows);

// One line with its end.
std::string FormatCsv(const CsvRow& row);

}  // namespace leverwick

#endif  // NET_CSV_H_
