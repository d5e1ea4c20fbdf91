// An ingress for tests, with callers on the same event loop.
#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Fixture.h"
#include "LibHTTP/Ingress.h"

namespace bramleyspan::http {

// An ingress on a port that the system chooses. Records the requests that reach
// its handler.
struct IngressFixture {
  EventLoop loop;
  std::unique_ptr<Ingress> ingress;
  std::vector<IngressRequest> seen;

  void Serve(IngressHandler handler, const IngressLimits& limits = {}) {
    auto listening =
        Ingress::Listen(this->loop, {"127.0.0.1", 0}, limits,
                        [this, handler = std::move(handler)](
                            IngressRequest request,
                            const std::shared_ptr<IngressExchange>& exchange) {
                          this->seen.push_back(request);
                          handler(std::move(request), exchange);
                        });
    REQUIRE(listening.has_value());
    this->ingress = std::move(listening).assume_value();
  }

  Address address() const { return {"127.0.0.1", this->ingress->port()}; }

  // Sends these bytes and returns all that is received until the server closes
  // the connection.
  std::string Exchange(const std::string& bytes) {
    RawCaller caller(this->loop, this->address(), bytes);
    this->loop.Run();
    return caller.received;
  }
};

inline void Echo(const IngressRequest& request,
                 const std::shared_ptr<IngressExchange>& exchange) {
  exchange->Respond(200, {}, request.path + "|" + request.body);
}

}  // namespace bramleyspan::http
