// Frames as bytes and back.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibWire/Generated/Frames_generated.h"

namespace bramleyspan::wire {

// The largest frame that a connection takes. A frame carries at most one
// catalogue shard or one request body.
inline constexpr size_t kMaxFrameBytes = 4 << 20;

// Bytes of the length that stands before each frame, little-endian.
inline constexpr size_t kLengthPrefixBytes = 4;

// Serializes a message with the length before it.
template <typename Message>
std::string Encode(Message message);

// Parses one frame without its length. Fails with kMalformedFrame.
Result<FrameT> Decode(std::string_view bytes);

namespace detail {

std::string EncodeFrame(const FrameT& frame);

}  // namespace detail

template <typename Message>
std::string Encode(Message message) {
  FrameT frame;
  frame.body.Set(std::move(message));
  return detail::EncodeFrame(frame);
}

}  // namespace bramleyspan::wire
