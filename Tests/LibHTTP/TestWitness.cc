#include <doctest/doctest.h>

#include "LibHTTP/Ingress.h"
#include "LibHTTP/Witness.h"

namespace bramleyspan::http {

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(250);

// A server's process, which may end and begin anew at its address.
struct WitnessedServer {
  EventLoop loop;
  std::unique_ptr<Ingress> ingress;
  Address address{"127.0.0.1", 0};

  WitnessedServer() { this->Begin(); }

  void Begin() {
    this->ingress =
        Ingress::Listen(this->loop, this->address, {},
                        [](const IngressRequest&,
                           const std::shared_ptr<IngressExchange>& exchange) {
                          exchange->Respond(404, {}, "");
                        })
            .value();
    this->address.port = this->ingress->port();
  }

  std::shared_ptr<Witness> Open() {
    auto witness =
        Witness::Open(this->loop, this->address, "/report", kTimeout);
    this->RunFor(std::chrono::milliseconds(50));
    return witness;
  }

  void RunFor(Duration time) {
    this->loop.RunAfter(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  WitnessVerdict Ask(Witness& witness) {
    std::optional<WitnessVerdict> verdict;
    witness.Ask(kTimeout, [&](WitnessVerdict found) {
      verdict = found;
      this->loop.Stop();
    });
    this->loop.Run();
    REQUIRE(verdict);
    return *verdict;
  }
};

}  // namespace

TEST_CASE("A witness says that a process runs, by whatever it answers") {
  WitnessedServer server;
  const auto witness = server.Open();
  CHECK(server.Ask(*witness) == WitnessVerdict::kRuns);
}

// Failure: a server ends in the middle of an answer and begins anew. Its
// address accepts connections, and the half of the answer passes for the whole.
TEST_CASE("A process that began anew at the address is not the witnessed one") {
  WitnessedServer server;
  const auto witness = server.Open();
  server.ingress = nullptr;
  server.Begin();
  CHECK(server.Ask(*witness) == WitnessVerdict::kEnded);
  const auto later = server.Open();
  CHECK(server.Ask(*later) == WitnessVerdict::kRuns);
}

TEST_CASE("A connection that is refused is no witness") {
  WitnessedServer server;
  server.ingress = nullptr;
  const auto witness = server.Open();
  CHECK(server.Ask(*witness) == WitnessVerdict::kNone);
}

// Failure: the target is cut off, or hangs, and the end of its answer waits for
// it without bound.
TEST_CASE("A process that does not answer in time counts as ended") {
  EventLoop loop;
  auto silent =
      Ingress::Listen(loop, {"127.0.0.1", 0}, {}, [](const auto&, const auto&) {
      }).value();
  const auto witness =
      Witness::Open(loop, {"127.0.0.1", silent->port()}, "/report", kTimeout);
  std::optional<WitnessVerdict> verdict;
  witness->Ask(kTimeout, [&](WitnessVerdict found) {
    verdict = found;
    loop.Stop();
  });
  loop.Run();
  CHECK(verdict == WitnessVerdict::kEnded);
}

}  // namespace bramleyspan::http
