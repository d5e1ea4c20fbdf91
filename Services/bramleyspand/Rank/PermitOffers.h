// Answers the probes of gateways that look for permits for streams: how many
// the rank admits, and which streams of the fleet come first.
#pragma once

#include <deque>
#include <string>

#include "LibMembership/Members.h"
#include "LibScheduling/DeniedRequests.h"
#include "LibScheduling/FleetQueue.h"
#include "LibScheduling/GrantRates.h"
#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class PermitOffers {
 public:
  explicit PermitOffers(RankState& state) : state(state) {}

  void HandleProbe(const std::string& gateway_ip,
                   const membership::wire::PlaceProbeT& probe);

  // A gateway took a permit, or settled it.
  void HandleTaken(const std::string& gateway_ip,
                   const membership::wire::PlaceTakenT& taken);

  // The rank's group has opened or closed.
  void HandleGroupChange(bool is_open, TimePoint now);

 private:
  // An offer of a permit that its gateway may take.
  struct Offered {
    admission::Reservation reservation;
    scheduling::StreamClass stream_class;
  };

  // Decides about a stream by its priority and by what waits at all gateways.
  admission::PermitOffer Schedule(const std::string& gateway_ip,
                                  const membership::wire::PlaceProbeT& probe,
                                  TimePoint now);
  void RecordOffer(admission::Reservation reservation,
                   const scheduling::StreamClass& stream_class);
  void RecordGrantOf(const admission::Reservation& reservation, TimePoint now);

  RankState& state;
  scheduling::DeniedRequests denied;
  scheduling::FleetQueue queue;
  scheduling::GrantRates rates;
  // The oldest first.
  std::deque<Offered> offered;
};

}  // namespace bramleyspan::rankd
