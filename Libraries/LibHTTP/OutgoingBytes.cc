#include "LibHTTP/OutgoingBytes.h"

#include <utility>

namespace bramleyspan::http {

namespace {

// Shorter texts are joined, so that many of them make few writes.
constexpr size_t kJoinedBytes = 16384;

}  // namespace

void Append(OutgoingBytes& outgoing, std::string bytes) {
  outgoing.waiting_bytes += bytes.size();
  const bool is_joined =
      !outgoing.waiting.empty() &&
      outgoing.waiting.back().size() + bytes.size() <= kJoinedBytes;
  if (is_joined) {
    outgoing.waiting.back().append(bytes);
  } else if (!bytes.empty()) {
    outgoing.waiting.push_back(std::move(bytes));
  }
}

std::vector<h2o_iovec_t> TakeNext(OutgoingBytes& outgoing) {
  outgoing.in_flight = std::exchange(outgoing.waiting, {});
  outgoing.in_flight_bytes = std::exchange(outgoing.waiting_bytes, 0);
  std::vector<h2o_iovec_t> places;
  for (std::string& text : outgoing.in_flight) {
    places.push_back(h2o_iovec_init(text.data(), text.size()));
  }
  return places;
}

void DropWritten(OutgoingBytes& outgoing) {
  outgoing.in_flight = {};
  outgoing.in_flight_bytes = 0;
}

}  // namespace bramleyspan::http
