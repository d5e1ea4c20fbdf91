// Start-up code that the stand-ins share.
#pragma once

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <memory>
#include <string>

#include "LibHTTP/Server.h"

namespace bramleyspan::standins {

// Serves `handler` at `address_text` until a stop signal; returns the exit
// status of the process. An exception in `handler` answers 400.
inline int Serve(EventLoop& loop,
                 const std::string& address_text,
                 http::Server::Handler handler) {
  const auto address = ParseAddress(address_text);
  if (address.has_error()) {
    std::cerr << Describe(address.error()) << "\n";
    return 2;
  }
  http::ServerLimits limits;
  limits.max_body_bytes = 8 << 20;
  auto guarded = [handler = std::move(handler)](const auto& request,
                                                const auto& exchange) {
    try {
      handler(request, exchange);
    } catch (const std::exception& failure) {
      exchange->Respond({.status = 400, .body = failure.what()});
    }
  };
  auto server = http::Server::Listen(loop, address.value(), limits, guarded);
  if (server.has_error()) {
    std::cerr << Describe(server.error()) << "\n";
    return 1;
  }
  loop.OnStopSignal([&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

// Body of a stand-in's `main`: parses the flags, creates its state with
// `make_state(loop)` and serves `handle(state, request, exchange)` at the
// address that the flag `address` holds.
template <typename MakeState, typename Handle>
int Run(int argument_count,
        char** arguments,
        const absl::Flag<std::string>& address,
        MakeState make_state,
        Handle handle) {
  absl::ParseCommandLine(argument_count, arguments);
  EventLoop loop;
  auto state = make_state(loop);
  return Serve(loop, absl::GetFlag(address),
               [&](const auto& request, const auto& exchange) {
                 handle(state, request, exchange);
               });
}

}  // namespace bramleyspan::standins
