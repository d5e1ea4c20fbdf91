// Requests permits for streams from the agents of a few ranks.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibGateway/Offers.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class PermitRequests {
 public:
  enum class Verdict {
    kGranted,
    // Agents answered, and none has a permit left.
    kFull,
    // No agent answered.
    kUnanswered,
  };
  // A granted permit. It must be settled when its stream has started or ended.
  struct Permit {
    std::string target;
    std::string agent_ip;
    uint64_t number = 0;
  };
  // `permit` is set only if the verdict is kGranted.
  using OnDecided = std::function<void(Verdict verdict, const Permit& permit)>;
  using SendDatagram =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  PermitRequests(GatewayState& state, SendDatagram send)
      : state(state), send(std::move(send)) {}

  // Probes agents and calls `on_decided` later. Returns false, without a call,
  // if there is no agent to probe.
  bool Request(const std::string& service,
               const std::set<std::string>& excluded,
               const scheduling::StreamClass& stream_class,
               std::string_view preferred_zone,
               OnDecided on_decided);

  // Returns how many rounds of probes are under way for streams of the service
  // that are not less urgent.
  size_t CountOpenRounds(const std::string& service,
                         const scheduling::StreamClass& stream_class) const;

  // Reports to the agent that the stream of the permit has started or ended.
  void Settle(const Permit& permit);

  void HandleOffer(const membership::wire::PlaceOfferT& offer);

 private:
  struct ProbedRank {
    std::string agent_ip;
    std::string target;
  };
  struct Round {
    // By the address of the rank's server.
    std::map<std::string, ProbedRank> probed;
    std::vector<gateway::Offer> offers;
    std::string service;
    scheduling::StreamClass stream_class;
    OnDecided on_decided;
    TimerId timer = 0;
    TimePoint began;
  };

  // A permit that this gateway took recently.
  struct TakenPermit {
    std::string target;
    TimePoint at;
  };

  // Adds the priority of the stream and what else waits, if the streams of the
  // service differ in priority.
  void AddQueue(membership::wire::PlaceProbeT& probe,
                const std::string& service,
                const scheduling::StreamClass& stream_class) const;
  void CountOwnPermits(Round& round);
  void HandleTimer(uint64_t number);
  void Decide(uint64_t number);

  GatewayState& state;
  SendDatagram send;
  std::map<uint64_t, Round> rounds;
  // Services are not probed until then, because none of their agents answered.
  std::map<std::string, TimePoint> unanswered_until;
  std::deque<TakenPermit> taken;
  uint64_t last_number = 0;
};

}  // namespace bramleyspan::gatewayd
