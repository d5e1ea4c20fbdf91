// The planned stop of an agent. LibDrain decides its course; this performs it.
#pragma once

#include "LibDrain/PlannedStop.h"
#include "Services/bramleyspand/Agent/AgentState.h"

namespace bramleyspan::agent {

class AgentStop {
 public:
  explicit AgentStop(AgentState& state) : state(state) {}

  // Begins the stop. The agent is leaving, so that no call is accepted.
  void Start();

 private:
  void Check();
  drain::StopWork FindWork() const;
  // Ends the calls that still run, since the process is about to be killed.
  void EndOpen();
  // Sends the closing record once: no call runs and no key will run any more,
  // and the entries answer for the keys after this process has stopped.
  void SendClosingRecordOnce();
  // Whether all entries have taken what was sent to them. One that takes
  // nothing delays the stop by kMaxFlushTime only.
  bool is_flushed(TimePoint now) const;

  AgentState& state;
  drain::PlannedStop stop;
  TimePoint closing_record_sent_at;
  bool has_sent_closing_record = false;
};

}  // namespace bramleyspan::agent
