// The permit requests that a rank has just denied. While a more urgent one is
// among them, the rank offers no permit to less urgent ones: the gateway of the
// denied one probes a few ranks at a time and comes back only after a while.
//
// Failure: a burst of a less urgent kind waited at all gateways. Each free
// permit went to whichever gateway probed first, so that the most urgent kind,
// which waited at few gateways, was served worst.
#pragma once

#include <deque>

#include "Kernel/Time.h"
#include "LibScheduling/StreamClass.h"

namespace bramleyspan::scheduling {

struct DeniedRequest {
  StreamClass stream_class;
  TimePoint at;
};

struct DeniedRequests {
  // The oldest first.
  std::deque<DeniedRequest> recent;
};

void RecordDenial(DeniedRequests& denied,
                  const StreamClass& stream_class,
                  TimePoint now);

// Records that a permit of this class was taken: one denied request fewer is
// taken to wait.
void RecordGrant(DeniedRequests& denied,
                 const StreamClass& stream_class,
                 TimePoint now);

// Whether permits are kept for a stream of a more urgent priority.
bool is_held_back(const DeniedRequests& denied,
                  const StreamClass& stream_class,
                  TimePoint now);

}  // namespace bramleyspan::scheduling
