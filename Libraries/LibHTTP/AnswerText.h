// The bytes of an answer as HTTP/1 sends them.
#pragma once

#include <string>
#include <string_view>

#include "LibHTTP/Message.h"

namespace bramleyspan::http {

// Returns the reason phrase of a status.
const char* ReasonOf(int status);

// Returns the status line and headers. `framing` is the line that says where
// the body ends; the last answer of a connection says that it closes.
std::string SerializeHead(int status,
                          const HeaderList& headers,
                          std::string_view framing,
                          bool is_last);

// Returns bytes as one chunk of a body.
std::string ChunkOf(std::string_view bytes);

}  // namespace bramleyspan::http
