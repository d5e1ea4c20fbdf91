// Polls the model server beside this agent: its report, the lists of its
// experts and its expert counts. At most one call of each kind is in progress.
#pragma once

#include <functional>
#include <string>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

// Called with the results of polls.
struct PollEvents {
  std::function<void(mapswitch::RankStatus)> on_status;
  // New expert counts are in the state.
  std::function<void()> on_counts;
};

class RankPoller {
 public:
  RankPoller(RankState& state, PollEvents events)
      : state(state), events(std::move(events)) {}

  void PollReport();
  // Stores the result in the state's `own_held`.
  void PollLists();
  // Whether the counts up to this pass are to be sent, or are the start of
  // those of the next pass. Counts of a large group take long to read.
  bool is_counts_pass(mapswitch::Step step) const;
  // Stores the result in the state's `last_counts` and `new_counts`.
  void PollCounts();

 private:
  void CallServer(const std::string& path,
                  std::function<void(Result<std::string>)> on_done);
  void RecordEngineState(bool is_reachable, const std::string& reason);
  // Whether the rank reports its expert counts of this pass.
  bool is_reporter(mapswitch::Step step) const;
  void HandleCounts(const std::string& body);

  RankState& state;
  PollEvents events;
  bool is_polling_report = false;
  bool is_polling_lists = false;
  bool is_polling_counts = false;
  bool is_engine_reachable = true;
};

}  // namespace bramleyspan::rankd
