#include "LibUsage/Ledger.h"

#include <algorithm>

namespace bramleyspan::usage {

Window WindowAt(std::chrono::system_clock::time_point time) {
  return static_cast<Window>(time.time_since_epoch() / kWindowLength);
}

Window CurrentWindow(Ledger& ledger,
                     std::chrono::system_clock::time_point time) {
  ledger.newest = std::max(ledger.newest, WindowAt(time));
  return ledger.newest;
}

void CountWork(Ledger& ledger,
               const Cause& cause,
               Window window,
               const Counts& work) {
  Add(ledger.rows[{ledger.agent, ledger.incarnation, window, cause.owner,
                   cause.entry, cause.service}],
      work);
}

Rows ReportFor(const Ledger& ledger, const std::string& owner) {
  Rows report;
  for (const auto& [source, counts] : ledger.rows) {
    if (source.owner == owner) {
      report.emplace(source, counts);
    }
  }
  return report;
}

void HandleStored(Ledger& ledger, const Rows& stored, Window current) {
  for (const auto& [source, counts] : stored) {
    const auto row = ledger.rows.find(source);
    if (row == ledger.rows.end() || source.window >= current) {
      continue;
    }
    // Work may have been counted after the report that is now stored; removing
    // the counter then would lose that work although no process was killed.
    if (is_covered(row->second, counts)) {
      ledger.rows.erase(row);
    }
  }
}

}  // namespace bramleyspan::usage
