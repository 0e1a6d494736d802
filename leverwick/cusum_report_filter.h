// Decides which CUSUM sums of a box are worth reporting to the other boxes.
//
// A report costs a request to the log, and a healthy version should cause few.
// A box therefore reports when a sum has grown in any metric by about half of
// what one failed response adds, and once more when most of that growth is
// gone. Without the second report the other boxes would add up the highest
// point that each box ever reached, and stop a healthy version. Each metric is
// compared by itself: in their total, the metrics that can't see a fault would
// hide it.
//
//   CusumReportFilter filter;
//   if (filter.ShouldReport(sum)) {
//     ...  // report it
//     filter.RecordReport(sum);
//   }

#ifndef LEVERWICK_CUSUM_REPORT_FILTER_H_
#define LEVERWICK_CUSUM_REPORT_FILTER_H_

#include <map>
#include <string>

#include "schema/peer.pb.h"

namespace leverwick {

// Not thread-safe.
class CusumReportFilter {
 public:
  // Returns whether `sum`, this box's newest for its subject, should be
  // reported.
  bool ShouldReport(const GuardSum& sum);
  void RecordReport(const GuardSum& sum);

 private:
  struct SubjectState {
    GuardSum reference;  // per metric, where growth is measured from
    GuardSum reported;
    bool owes_decrease = false;  // growth was reported and no decrease since
  };

  std::map<std::string, SubjectState> subjects_;
};

}  // namespace leverwick

#endif  // LEVERWICK_CUSUM_REPORT_FILTER_H_
