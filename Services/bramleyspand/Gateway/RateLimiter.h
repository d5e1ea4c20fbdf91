// Keeps the rate limits of targets together with the other gateways: requests
// grants from the allocator of a target, grants requests as the allocator of
// others, and reports limits to the other gateways.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibGateway/RateLimits.h"
#include "Services/bramleyspand/Gateway/GatewayState.h"

namespace bramleyspan::gatewayd {

class RateLimiter {
 public:
  enum class Verdict {
    kAdmitted,
    // The target takes no request now; see gateway::HeldUntil.
    kHeldBack,
    // The allocator was asked.
    kPending,
  };
  using OnReply = std::function<void()>;
  using SendDatagram =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  RateLimiter(GatewayState& state, SendDatagram send)
      : state(state), send(std::move(send)) {}

  // Decides whether a request is sent to the target now. Calls `on_reply` later
  // if and only if the verdict is kPending; the request is then admitted anew.
  Verdict Admit(const std::string& target, OnReply on_reply);

  void HandleRequest(const std::string& from_ip,
                     const membership::wire::RateRequestT& request);
  void HandleGrant(const membership::wire::RateGrantT& grant);

  // Merges what another gateway reports, and logs a change.
  void HandleReport(const membership::wire::RateLimitReportT& report);

  // Returns the reports of the next heartbeat.
  std::vector<std::unique_ptr<membership::wire::RateLimitReportT>>
  ReportsToSend();

  // Returns the name of the gateway that grants requests to the target; empty
  // if there is none.
  std::string AllocatorOf(const std::string& target) const;

 private:
  gateway::RateSharing Sharing(TimePoint now) const;
  gateway::RateLimit* FindLimit(const std::string& target);
  void AskAllocator(const std::string& target,
                    const std::string& allocator,
                    gateway::RateLimit& limit);
  void HandleTimeout(const std::string& target, uint64_t number);
  void CallWaiting(const std::string& target);

  GatewayState& state;
  SendDatagram send;
  // By target: the requests that wait for a reply of its allocator.
  std::map<std::string, std::vector<OnReply>> waiting;
};

}  // namespace bramleyspan::gatewayd
