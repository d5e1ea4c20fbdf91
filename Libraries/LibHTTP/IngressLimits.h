// What each caller of an Ingress may send, and how long it may take.
#pragma once

#include <cstddef>

#include "Kernel/Time.h"

namespace bramleyspan::http {

// Limits on the size and duration of requests and on buffered answers.
struct IngressLimits {
  size_t max_head_bytes = 16384;
  size_t max_body_bytes = 4 << 20;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  // Bytes of an answer that may be buffered for a slow caller. Beyond this the
  // connection is closed.
  size_t max_pending_bytes = 1 << 20;
};

}  // namespace bramleyspan::http
