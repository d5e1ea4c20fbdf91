// Authorization of operators.
#pragma once

#include "LibHTTP/Message.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// Returns whether a request carries the operators' key.
bool is_from_operator(const Settings& settings, const http::Request& request);

// Returns the key of "Authorization: Bearer KEY"; empty if the header is
// missing or has another scheme.
std::string_view BearerKeyOf(const http::Request& request);

}  // namespace bramleyspan
