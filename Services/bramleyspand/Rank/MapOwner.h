// The part of a rank's agent that leads its group's map, beside rank 0.
#pragma once

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

// Takes what a rank's agent tells. Returns whether demand has jumped, so that
// the map should be looked at at once.
bool HandleRankNews(RankState& state,
                    const std::string& from_ip,
                    const membership::wire::RankNewsT& news);

// Takes what a leader tells of its ranks; the same for it.
bool HandleBundle(RankState& state,
                  const std::string& from_ip,
                  const membership::wire::NewsBundleT& bundle);

// Takes from a rank's news what the owner and leaders keep of it.
void Note(RankInfo& info,
          const std::string& from_ip,
          const membership::wire::RankNewsT& news);

// Goes on with the switch under way, or begins one that is worth it.
void LeadMap(RankState& state, TimePoint now);

}  // namespace bramleyspan::rankd
