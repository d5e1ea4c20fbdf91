#include "LibWire/Codec.h"

#include <array>

namespace bramleyspan::wire {

Result<FrameT> Decode(std::string_view bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!VerifyFrameBuffer(verifier)) {
    return Fail(ErrorCode::kMalformedFrame, "frame", "does not verify");
  }
  FrameT frame;
  GetFrame(data)->UnPackTo(&frame);
  if (frame.body.type == Body::NONE || frame.body.value == nullptr) {
    return Fail(ErrorCode::kMalformedFrame, "frame", "has no body");
  }
  return frame;
}

namespace detail {

std::string EncodeFrame(const FrameT& frame) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Frame::Pack(builder, &frame));
  const auto size = static_cast<uint32_t>(builder.GetSize());
  std::string bytes;
  bytes.reserve(kLengthPrefixBytes + size);
  for (size_t i = 0; i < kLengthPrefixBytes; ++i) {
    bytes += static_cast<char>((size >> (8 * i)) & 0xFF);
  }
  bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
  return bytes;
}

}  // namespace detail

}  // namespace bramleyspan::wire
