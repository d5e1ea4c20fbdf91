// Who may use the operators' paths.
#pragma once

#include "LibHTTP/Message.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// Whether a request shows the operators' key.
bool is_from_operator(const Settings& settings, const http::Request& request);

// The key of "Authorization: Bearer KEY"; empty if the header is missing or
// of another scheme.
std::string_view BearerKeyOf(const http::Request& request);

}  // namespace bramleyspan
