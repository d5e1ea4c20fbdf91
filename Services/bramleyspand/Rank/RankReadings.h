// Reads the rank beside this agent: its report, the lists of its experts and
// how often they were chosen. One call of each kind at a time.
#pragma once

#include <functional>
#include <string>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

// What hears of what was read.
struct ReadingEvents {
  std::function<void(mapswitch::RankStatus)> on_status;
  // New choices lie in the state.
  std::function<void()> on_counts;
};

class RankReadings {
 public:
  RankReadings(RankState& state, ReadingEvents events)
      : state(state), events(std::move(events)) {}

  void ReadReport();
  // Into the state's `own_held`.
  void ReadLists();
  // Whether what is chosen up to this pass is to be told, or is where that of
  // the next one begins. Counts of a large group take long to read.
  bool is_counts_pass(mapswitch::Step step) const;
  // Into the state's `last_counts` and `new_counts`.
  void ReadCounts();

 private:
  void CallServer(const std::string& path,
                  std::function<void(Result<std::string>)> on_done);
  void NoteEngine(bool is_reached, const std::string& reason);
  // Whether it is the rank's turn to tell what it chose in this pass.
  bool is_reporter(mapswitch::Step step) const;
  void HandleCounts(const std::string& body);

  RankState& state;
  ReadingEvents events;
  bool is_reading_report = false;
  bool is_reading_lists = false;
  bool is_reading_counts = false;
  bool is_engine_reached = true;
};

}  // namespace bramleyspan::rankd
