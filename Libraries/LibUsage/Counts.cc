#include "LibUsage/Counts.h"

#include <algorithm>

namespace bramleyspan::usage {

void Add(Counts& counts, const Counts& more) {
  for (const Unit& unit : kUnits) {
    counts.*unit.value += more.*unit.value;
  }
}

void MergeMaximum(Counts& counts, const Counts& other) {
  for (const Unit& unit : kUnits) {
    counts.*unit.value = std::max(counts.*unit.value, other.*unit.value);
  }
}

void MergeRows(Rows& rows, const Rows& other) {
  for (const auto& [source, counts] : other) {
    MergeMaximum(rows[source], counts);
  }
}

bool is_covered(const Counts& counts, const Counts& other) {
  return std::all_of(kUnits.begin(), kUnits.end(), [&](const Unit& unit) {
    return counts.*unit.value <= other.*unit.value;
  });
}

std::map<std::string, uint64_t> SplitBytes(
    uint64_t bytes,
    const std::map<std::string, uint64_t>& tokens_by_entry) {
  uint64_t tokens_left = 0;
  for (const auto& [entry, tokens] : tokens_by_entry) {
    tokens_left += tokens;
  }
  std::map<std::string, uint64_t> parts;
  for (const auto& [entry, tokens] : tokens_by_entry) {
    if (tokens == 0) {
      continue;
    }
    // Each part is a share of what remains, so that the last one gets exactly
    // the remainder.
    const auto part = static_cast<uint64_t>(
        static_cast<unsigned __int128>(bytes) * tokens / tokens_left);
    parts[entry] = part;
    bytes -= part;
    tokens_left -= tokens;
  }
  return parts;
}

}  // namespace bramleyspan::usage
