// Watches the streams that targets owe events, probes the agents of targets
// that send none, and moves streams away from targets that are silent.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "LibGateway/Liveness.h"
#include "LibMembership/Gossip.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class SilentTargets {
 public:
  using Send =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  SilentTargets(GatewayState& state, Send send)
      : state(state), send(std::move(send)) {}
  SilentTargets(const SilentTargets&) = delete;
  SilentTargets& operator=(const SilentTargets&) = delete;

  void Start() { this->CheckPeriodically(); }

  // Records that the target sent a part of an answer.
  void RecordAnswer(const std::string& target);

  // Records the reply of the agent of a target to a probe.
  void RecordOffer(const std::string& target,
                   const membership::wire::PlaceOfferT& offer);

  // Records the reply if it is one to a probe of this class.
  void HandleOffer(const membership::wire::PlaceOfferT& offer);

  // Returns for how long the target has been silent; zero if it is not.
  Duration SilentFor(const std::string& target) const;

 private:
  void CheckPeriodically();
  void Probe(const std::string& target);
  bool is_group_working(const std::string& target, TimePoint now) const;
  void LogChanges(const std::set<std::string>& suspects, TimePoint now);
  void RemoveUnlisted();

  GatewayState& state;
  Send send;
  std::map<std::string, gateway::Liveness> by_target;
  // Targets that were probed, by the address of their server.
  std::map<std::string, std::string> probed;
  // Silent targets that were logged.
  std::map<std::string, TimePoint> silent_since;
  uint64_t last_probe = 0;
  TimePoint cleaned_at;
};

}  // namespace bramleyspan::gatewayd
