// Which of its evidence against a version a box has to tell the others.
//
// Telling costs a call, and a sound version should cost few. So a box tells
// when its evidence has grown in any measure by about half of what one bad
// answer weighs, and once more when most of that has come to nothing: else the
// others would add up the highest point that each box's evidence has ever had,
// and stop a sound version. Measures are looked at one by one; in their sum
// those that can't see a fault hide it.
//
//   EvidenceNews news;
//   if (news.IsDue(sum)) ... // tell it
//   news.Told(sum);

#ifndef LEVERWICK_EVIDENCE_NEWS_H_
#define LEVERWICK_EVIDENCE_NEWS_H_

#include <map>
#include <string>

#include "schema/peer.pb.h"

namespace leverwick {

// Not thread-safe.
class EvidenceNews {
 public:
  // Whether the sum, this box's newest of its subject, is to be told.
  bool IsDue(const GuardSum& sum);
  void Told(const GuardSum& sum);

 private:
  struct Known {
    GuardSum level;  // what growth counts from, in each measure
    GuardSum told;
    bool owes_fall = false;  // growth was told and no fall since
  };

  std::map<std::string, Known> known_;  // by subject
};

}  // namespace leverwick

#endif  // LEVERWICK_EVIDENCE_NEWS_H_
