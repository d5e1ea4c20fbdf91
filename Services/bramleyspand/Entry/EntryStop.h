// The planned stop of an entry. LibDrain decides its course; this performs it.
#pragma once

#include "LibDrain/PlannedStop.h"
#include "LibHTTP/Server.h"
#include "Services/bramleyspand/Entry/EntryState.h"

namespace bramleyspan::entry {

class EntryStop {
 public:
  explicit EntryStop(EntryState& state) : state(state) {}

  // Begins the stop; callers connect to `server`.
  void Start(http::Server& server);

 private:
  drain::StopWork FindWork() const;
  void Check();
  // Does what follows from the end of a phase.
  void LeavePhase(drain::StopPhase before, const drain::StopWork& work);
  // Ends all that is still open, since the process is about to be killed.
  void EndOpen();

  EntryState& state;
  http::Server* callers = nullptr;
  drain::PlannedStop stop;
  TimePoint logged_at;
};

}  // namespace bramleyspan::entry
