// Cuts a stream's bytes into whole events. A server may stop in the middle of
// an event; only whole ones are passed on, so that another server's run can go
// on after the last of them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyspan::gateway {

// One whole event with the blank line that ends it.
struct StreamEvent {
  std::string bytes;
  std::optional<uint64_t> id;
};

class EventReader {
 public:
  // Takes bytes and hands over the events that they complete, in order.
  void Read(std::string_view bytes,
            const std::function<void(const StreamEvent&)>& on_event);

  // Whether bytes of an unfinished event are held.
  bool has_partial_event() const { return !this->partial.empty(); }

 private:
  std::string partial;
};

}  // namespace bramleyspan::gateway
