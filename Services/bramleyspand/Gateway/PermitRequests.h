// Asks the agents beside a few ranks for a place for a stream.
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
    // Agents answered, and none has a place.
    kFull,
    // No agent answered.
    kUnanswered,
  };
  // A place that was taken. It has to be settled once its stream has begun or
  // is over.
  struct Permit {
    std::string target;
    std::string agent_ip;
    uint64_t number = 0;
  };
  // The place is given with kGranted only.
  using OnDecided = std::function<void(Verdict verdict, const Permit& permit)>;
  using SendDatagram =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  PermitRequests(GatewayState& state, SendDatagram send)
      : state(state), send(std::move(send)) {}

  // Begins a round. False if there is no agent to ask.
  bool Request(const std::string& service,
               const std::set<std::string>& excluded,
               bool is_late,
               OnDecided on_decided);

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
    OnDecided on_decided;
    TimerId timer = 0;
    TimePoint began;
  };

  // A place taken by this gateway a moment ago.
  struct TakenPermit {
    std::string target;
    TimePoint at;
  };

  void CountOwnPermits(Round& round);
  void HandleTimer(uint64_t number);
  void Decide(uint64_t number);

  GatewayState& state;
  SendDatagram send;
  std::map<uint64_t, Round> rounds;
  // Services of whose agents none answered a moment ago.
  std::map<std::string, TimePoint> unanswered_until;
  std::deque<TakenPermit> taken;
  uint64_t last_number = 0;
};

}  // namespace bramleyspan::gatewayd
