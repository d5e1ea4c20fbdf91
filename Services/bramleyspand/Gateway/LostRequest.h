// What a request is known by when targets end under it.
#pragma once

#include <string>
#include <vector>

#include "Kernel/Address.h"
#include "Kernel/Time.h"

namespace bramleyspan::gatewayd {

struct RequestMarks {
  std::string service;
  // The parts that its prompt shares with other requests.
  std::vector<std::string> parts;
  // Its content, see LibGateway/RequestDigest.h.
  std::string digest;
};

// A request whose connection to its target ended before the whole answer.
struct LostRequest {
  std::string id;
  std::string target;
  Address address;
  RequestMarks marks;
  // When it was sent there.
  TimePoint sent_at;
  // Whether its answer had begun, and had gone on for a while.
  bool is_answered = false;
};

}  // namespace bramleyspan::gatewayd
