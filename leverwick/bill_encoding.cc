// The legs of a line are encoded as parallel packed lists, which protobuf
// writes without a tag per element: a line with one leg takes about 20 bytes.

#include "leverwick/bill_encoding.h"

#include <cmath>

#include "leverwick/base64.h"

namespace leverwick {
namespace {

constexpr double kNanosPerUnit = 1e9;

}  // namespace

CompactTarget MakeTarget(const std::string& organisation,
                         const std::string& endpoint, const std::string& model,
                         const std::string& version) {
  CompactTarget target;
  target.set_organisation(organisation);
  target.set_endpoint(endpoint);
  target.set_model(model);
  target.set_version(version);
  return target;
}

uint32_t TargetDictionary::IndexFor(const CompactTarget& target,
                                    TargetList* new_targets) {
  auto next = static_cast<uint32_t>(indexes_.size());
  auto inserted = indexes_.emplace(target.SerializeAsString(), next);
  if (inserted.second) *new_targets->Add() = target;
  return inserted.first->second;
}

int64_t ToRelativeSequence(uint64_t sequence, uint64_t base) {
  return static_cast<int64_t>(sequence - base);
}

uint64_t ToAbsoluteSequence(int64_t relative, uint64_t base) {
  return base + static_cast<uint64_t>(relative);
}

void PackLine(const BillLine& line, uint64_t base, TargetDictionary* dictionary,
              TargetList* new_targets, CompactLine* packed) {
  packed->set_sequence(ToRelativeSequence(line.sequence(), base));
  packed->set_outcome(line.outcome());
  for (const BillLeg& leg : line.legs()) {
    CompactTarget target = MakeTarget(line.organisation(), leg.endpoint(),
                                      leg.model(), leg.version());
    packed->add_targets(dictionary->IndexFor(target, new_targets));
    packed->add_prompt_tokens(leg.prompt_tokens());
    packed->add_completion_tokens(leg.completion_tokens());
    packed->add_cost_nanos(std::llround(leg.cost() * kNanosPerUnit));
  }
  if (line.legs_size() > 0) return;
  CompactTarget target = MakeTarget(line.organisation(), "", "", "");
  packed->set_organisation(dictionary->IndexFor(target, new_targets));
}

bool UnpackLine(const CompactLine& packed, uint64_t base,
                const std::vector<CompactTarget>& targets, BillLine* line) {
  int legs = packed.targets_size();
  bool is_complete = packed.prompt_tokens_size() == legs &&
                     packed.completion_tokens_size() == legs &&
                     packed.cost_nanos_size() == legs;
  if (!is_complete) return false;
  line->set_sequence(ToAbsoluteSequence(packed.sequence(), base));
  line->set_outcome(packed.outcome());
  for (int i = 0; i < legs; ++i) {
    if (packed.targets(i) >= targets.size()) return false;
    const CompactTarget& target = targets[packed.targets(i)];
    line->set_organisation(target.organisation());
    BillLeg* leg = line->add_legs();
    leg->set_endpoint(target.endpoint());
    leg->set_model(target.model());
    leg->set_version(target.version());
    leg->set_prompt_tokens(packed.prompt_tokens(i));
    leg->set_completion_tokens(packed.completion_tokens(i));
    leg->set_cost(static_cast<double>(packed.cost_nanos(i)) / kNanosPerUnit);
  }
  if (legs > 0) return true;
  if (packed.organisation() >= targets.size()) return false;
  line->set_organisation(targets[packed.organisation()].organisation());
  return true;
}

std::string EncodeRecord(const BillRecord& record) {
  CompactRecord compact;
  compact.set_life(record.life());
  compact.set_author_life(record.author_life());
  if (record.lines_size() > 0) compact.set_base(record.lines(0).sequence());
  TargetDictionary dictionary;
  for (const BillLine& line : record.lines()) {
    PackLine(line, compact.base(), &dictionary, compact.mutable_targets(),
             compact.add_lines());
  }
  return Base64Encode(compact.SerializeAsString());
}

bool DecodeRecord(const std::string& text, BillRecord* record) {
  std::string bytes;
  CompactRecord compact;
  if (!Base64Decode(text, &bytes) || !compact.ParseFromString(bytes)) {
    return false;
  }
  record->Clear();
  record->set_life(compact.life());
  record->set_author_life(compact.author_life());
  std::vector<CompactTarget> targets(compact.targets().begin(),
                                     compact.targets().end());
  for (const CompactLine& line : compact.lines()) {
    if (!UnpackLine(line, compact.base(), targets, record->add_lines())) {
      return false;
    }
  }
  return true;
}

}  // namespace leverwick
