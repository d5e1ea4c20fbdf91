// Encodes and decodes frames.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "Kernel/Result.h"
#include "LibWire/Generated/Frames_generated.h"

namespace bramleyspan::wire {

// The largest frame that a connection accepts. A frame carries at most one
// catalogue shard or one request body.
inline constexpr size_t kMaxFrameBytes = 4 << 20;

// Size of the length that precedes each frame, in little-endian order.
inline constexpr size_t kLengthPrefixBytes = 4;

// Returns a message as a frame, preceded by its length.
template <typename Message>
std::string Encode(Message message);

// Returns the frame that `bytes`, without the length prefix, contains. Fails
// with kMalformedFrame.
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
