#include "LibUsage/Totals.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace bramleyspan::usage {

std::vector<UsageLine> ListUsage(const Rows& rows) {
  std::map<std::tuple<std::string, std::string, Window, std::string>, Counts>
      sums;
  for (const auto& [source, counts] : rows) {
    Add(sums[{source.owner, source.entry, source.window, source.agent}],
        counts);
  }
  std::vector<UsageLine> lines;
  lines.reserve(sums.size());
  for (const auto& [key, counts] : sums) {
    const auto& [owner, entry, window, agent] = key;
    lines.push_back({owner, entry, window, agent, counts});
  }
  return lines;
}

std::map<std::string, Counts> TotalsByEntry(const Rows& rows) {
  std::map<std::string, Counts> totals;
  for (const auto& [source, counts] : rows) {
    Add(totals[source.entry], counts);
  }
  return totals;
}

std::vector<Mismatch> Reconcile(
    const std::map<std::string, uint64_t>& sent_by_entries,
    const std::map<std::string, Counts>& totals,
    uint64_t tolerated) {
  std::set<std::string> entries;
  for (const auto& [entry, sent] : sent_by_entries) {
    entries.insert(entry);
  }
  for (const auto& [entry, counts] : totals) {
    entries.insert(entry);
  }
  std::vector<Mismatch> mismatches;
  for (const std::string& entry : entries) {
    const auto sent = sent_by_entries.find(entry);
    const auto total = totals.find(entry);
    const uint64_t sent_requests =
        sent == sent_by_entries.end() ? 0 : sent->second;
    const uint64_t counted_requests =
        total == totals.end() ? 0 : total->second.requests;
    if (std::max(sent_requests, counted_requests) -
            std::min(sent_requests, counted_requests) >
        tolerated) {
      mismatches.push_back({entry, sent_requests, counted_requests});
    }
  }
  return mismatches;
}

}  // namespace bramleyspan::usage
