// Splits the bytes of a server-sent event stream into complete events. A server
// may stop in the middle of an event; since only complete events are forwarded,
// another server can resume the stream after the last of them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyspan::gateway {

// One complete event, including the blank line that ends it.
struct StreamEvent {
  std::string bytes;
  std::optional<uint64_t> id;

  // Whether it has comments only, which mean nothing to a reader.
  bool is_comment() const;
};

class EventReader {
 public:
  // Appends bytes and calls `on_event` for each event that they complete, in
  // order.
  void Read(std::string_view bytes,
            const std::function<void(const StreamEvent&)>& on_event);

  // Whether bytes of an incomplete event are buffered.
  bool has_partial_event() const { return !this->partial.empty(); }
  size_t partial_bytes() const { return this->partial.size(); }

 private:
  std::string partial;
  // Bytes of it in which no event ends.
  size_t searched = 0;
};

}  // namespace bramleyspan::gateway
