// The part of a rank's agent that controls its group's map; runs beside rank 0.
#pragma once

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

// Handles an update of a rank. Returns whether demand has shifted, so that the
// map should be checked at once.
bool HandleRankUpdate(RankState& state,
                      const std::string& from_ip,
                      const membership::wire::RankNewsT& update);

// Handles a leader's bundle of its ranks' updates. Returns whether demand
// has shifted.
bool HandleBundle(RankState& state,
                  const std::string& from_ip,
                  const membership::wire::NewsBundleT& bundle);

// Records what the owner and leaders keep of a rank's update.
void RecordUpdate(RankInfo& info,
                  const std::string& from_ip,
                  const membership::wire::RankNewsT& update);

// Advances the switch in progress, or starts one that gains enough.
void ManageMap(RankState& state, TimePoint now);

}  // namespace bramleyspan::rankd
