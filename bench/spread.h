// The spread of a figure over seeds: least, median, most.

#ifndef BENCH_SPREAD_H_
#define BENCH_SPREAD_H_

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace leverwick {

class Spread {
 public:
  void Add(double value) { values_.push_back(value); }

  void Print(const std::string& name, const char* unit = "") {
    if (values_.empty()) return;
    std::sort(values_.begin(), values_.end());
    std::printf("  %-46s %10.4g  (%.4g to %.4g)%s\n", name.c_str(),
                values_[values_.size() / 2], values_.front(), values_.back(),
                unit);
  }

 private:
  std::vector<double> values_;
};

// The value below which `share` of the values lie; 0 when there are none.
inline double QuantileOf(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share *
                                    static_cast<double>(values.size() - 1))];
}

// Seeds that figures are reported on; others are for trials.
inline std::vector<unsigned> ReportedSeeds() {
  return {101, 102, 103, 104, 105};
}

}  // namespace leverwick

#endif  // BENCH_SPREAD_H_
