// The lines that the stand-in of the platform writes about requests at its
// servers, for verdicts on what callers were told. None is written unless the
// flag --log_requests_from is set:
//
//   MS begun SERVER ATTEMPT TARGET TENANT BODY
//   MS ended SERVER ATTEMPT HOW
//   MS rejected SERVER ATTEMPT STATUS
//
// MS counts from the flag's time of day. HOW is whole, left (the connection
// ended first) or cut (by the server).
#pragma once

#include <string>
#include <string_view>

#include "LibHTTP/Ingress.h"

namespace bramleyspan::standins {

void LogBegun(const std::string& server, const http::IngressRequest& request);
void LogEnded(const std::string& server,
              const std::string& attempt,
              std::string_view how);
void LogRejected(const std::string& server,
                 const std::string& attempt,
                 int status);

}  // namespace bramleyspan::standins
