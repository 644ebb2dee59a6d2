// Compares the ledgers of the demo's callers and targets and prints a table.
// The exit code is nonzero if a guarantee was violated.

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "text_table.h"

DEFINE_string(drained, "", "target that was drained");
DEFINE_int64(drained_at, 0, "when, in milliseconds of the wall clock");
DEFINE_string(services, "", "services that must have had flows, with commas");
DEFINE_bool(is_clean, true, "whether every process ended cleanly");

namespace sardinelead {
namespace {

// A draining target must get no new flow after this time.
constexpr std::int64_t kDrainGraceMs = 3000;

struct Counts {
  std::uint64_t opened = 0;
  std::uint64_t closed = 0;
  std::uint64_t broken = 0;
  std::uint64_t unopened = 0;
  std::uint64_t answers = 0;
  std::uint64_t doubled = 0;
  std::uint64_t unlogged = 0;  // Answers to notes that no target logged.
  std::uint64_t misdelivered = 0;
  std::uint64_t stray = 0;
  // Number of flows by data centre and target.
  std::map<std::string, std::map<std::string, std::uint64_t>> by_target;

  // Returns the relative excess of the most loaded target over the mean of its
  // data centre; the worst data centre counts.
  double Imbalance() const {
    double worst = 0;
    for (const auto& [centre, targets] : by_target) {
      std::uint64_t sum = 0;
      std::uint64_t most = 0;
      for (const auto& [name, flows] : targets) {
        sum += flows;
        most = std::max(most, flows);
      }
      const double mean =
          static_cast<double>(sum) / static_cast<double>(targets.size());
      if (mean > 0) worst = std::max(worst, most / mean - 1);
    }
    return worst;
  }

  // Number of flows that were opened but neither closed nor broken.
  std::uint64_t Unfinished() const {
    const std::uint64_t ended = closed + broken;
    return opened > ended ? opened - ended : 0;
  }
};

class Checker {
 public:
  void Read(const std::string& path) {
    std::ifstream file(path);
    std::string word;
    for (std::string line; std::getline(file, line);) ReadLine(line);
  }

  int Report() {
    std::istringstream names(FLAGS_services);
    for (std::string name; std::getline(names, name, ',');) m_services[name];
    CompareNotes();
    std::vector<std::vector<std::string>> rows = {
        {"service", "flows", "broken", "unopened", "answers", "doubled",
         "misdelivered", "imbalance"}};
    std::map<std::string, Counts> workspaces;
    for (const auto& [name, counts] : m_services) {
      rows.push_back(Row(name, counts, counts.Imbalance()));
      AddTo(counts, &workspaces[name.substr(0, name.find('/'))]);
    }
    for (const auto& [name, counts] : workspaces) {
      rows.push_back(Row(name, counts, counts.Imbalance()));
    }
    std::fputs(FormatTable(rows).c_str(), stdout);
    return CountViolations() == 0 ? 0 : 1;
  }

 private:
  void ReadLine(const std::string& line) {
    std::istringstream words(line);
    std::string kind;
    std::string service;
    std::string id;
    std::string last;
    words >> kind >> service >> id >> last;
    Counts& counts = m_services[service];
    if (kind == "opened") ++counts.opened;
    if (kind == "closed") ++counts.closed;
    if (kind == "broken") ++counts.broken;
    if (kind == "unopened") ++counts.unopened;
    if (kind == "misdelivered") ++counts.misdelivered;
    if (kind == "malformed") ++counts.misdelivered;
    if (kind == "stray") ++counts.stray;
    if (kind == "open") OnOpen(&counts, id, std::stoll(last));
    if (kind == "note") ++m_effects[service + " " + id + " " + last];
    if (kind == "answer") m_answered.insert(service + " " + id + " " + last);
    if (kind == "broken" || kind == "unopened") {
      std::printf("%s\n", line.c_str());
    }
  }

  void OnOpen(Counts* counts, const std::string& target, std::int64_t at) {
    const bool is_drained = target == FLAGS_drained;
    const bool too_late = is_drained && at > FLAGS_drained_at + kDrainGraceMs;
    if (too_late) ++m_late_opens;
    // A drained target is expected to get less than its share.
    if (is_drained) return;
    const std::string centre = target.substr(0, target.find_last_of('-') + 2);
    ++counts->by_target[centre][target];
  }

  void CompareNotes() {
    for (const auto& [note, times] : m_effects) {
      Counts& counts = m_services[note.substr(0, note.find(' '))];
      if (times > 1) ++counts.doubled;
    }
    for (const std::string& note : m_answered) {
      Counts& counts = m_services[note.substr(0, note.find(' '))];
      ++counts.answers;
      if (m_effects.count(note) == 0) ++counts.unlogged;
    }
  }

  static void AddTo(const Counts& counts, Counts* sum) {
    sum->opened += counts.opened;
    sum->broken += counts.broken;
    sum->unopened += counts.unopened;
    sum->answers += counts.answers;
    sum->doubled += counts.doubled;
    sum->misdelivered += counts.misdelivered;
    // The imbalance of a workspace is the worst among its services.
    for (const auto& [centre, targets] : counts.by_target) {
      sum->by_target[centre] = targets;
    }
  }

  static std::vector<std::string> Row(const std::string& name,
                                      const Counts& counts, double imbalance) {
    char percent[16];
    std::snprintf(percent, sizeof(percent), "%.1f%%", 100 * imbalance);
    return {name,
            std::to_string(counts.opened),
            std::to_string(counts.broken),
            std::to_string(counts.unopened),
            std::to_string(counts.answers),
            std::to_string(counts.doubled),
            std::to_string(counts.misdelivered),
            percent};
  }

  // Prints the violated guarantees and returns their number.
  int CountViolations() const {
    int faults = 0;
    const auto check = [&](bool holds, const std::string& what) {
      if (holds) return;
      ++faults;
      std::printf("BROKEN: %s\n", what.c_str());
    };
    for (const auto& [name, counts] : m_services) {
      if (name == "caller") continue;
      check(counts.opened > 0, name + ": no flow was opened");
      check(counts.answers > 0, name + ": no note was answered");
      check(counts.broken == 0, name + ": flows broke");
      check(counts.Unfinished() == 0, name + ": flows did not end");
      check(counts.doubled == 0, name + ": notes took effect twice");
      check(counts.unlogged == 0, name + ": answers came from nowhere");
      check(counts.stray == 0, name + ": packets reached a wrong target");
      check(counts.misdelivered == 0, name + ": packets were misdelivered");
    }
    check(!m_services.empty(), "nothing was written down");
    check(m_late_opens == 0, "the drained target got new flows");
    check(FLAGS_is_clean, "a process did not end cleanly");
    return faults;
  }

  std::map<std::string, Counts> m_services;
  std::map<std::string, int> m_effects;
  std::set<std::string> m_answered;
  int m_late_opens = 0;
};

}  // namespace
}  // namespace sardinelead

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sardinelead::Checker checker;
  for (int i = 1; i < argc; ++i) checker.Read(argv[i]);
  return checker.Report();
}
