#include <doctest/doctest.h>

#include "LibHTTP/ConnectCheck.h"
#include "LibHTTP/Ingress.h"

namespace bramleyspan::http {

namespace {

struct CheckedServer {
  EventLoop loop;
  std::unique_ptr<Ingress> ingress;
  Address address;

  CheckedServer() {
    this->ingress = Ingress::Listen(this->loop, {"127.0.0.1", 0}, {},
                                    [](const auto&, const auto&) {})
                        .value();
    this->address = {"127.0.0.1", this->ingress->port()};
  }

  ConnectOutcome Check() {
    ConnectOutcome outcome = ConnectOutcome::kUnanswered;
    CheckConnect(this->loop, this->address, std::chrono::seconds(5),
                 [&](ConnectOutcome found) {
                   outcome = found;
                   this->loop.Stop();
                 });
    this->loop.Run();
    return outcome;
  }
};

}  // namespace

TEST_CASE("A server that listens accepts, and one that has ended refuses") {
  CheckedServer server;
  CHECK(server.Check() == ConnectOutcome::kAccepted);
  server.ingress = nullptr;
  CHECK(server.Check() == ConnectOutcome::kRefused);
}

// Failure: a server that ends closes its connections first, still accepts the
// check's, and looks as if it ran.
TEST_CASE("A server that ends while it is checked refuses") {
  CheckedServer server;
  std::function<void()> end_when_accepted = [&] {
    if (server.ingress->open_connections() > 0) {
      server.ingress = nullptr;
      return;
    }
    server.loop.RunAfter(Duration(0), end_when_accepted);
  };
  end_when_accepted();
  CHECK(server.Check() == ConnectOutcome::kRefused);
}

}  // namespace bramleyspan::http
