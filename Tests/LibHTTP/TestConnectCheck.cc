#include <doctest/doctest.h>

#include "LibHTTP/ConnectCheck.h"
#include "LibHTTP/Ingress.h"

namespace bramleyspan::http {

TEST_CASE("A server that listens accepts, and one that has ended refuses") {
  EventLoop loop;
  auto ingress =
      Ingress::Listen(loop, {"127.0.0.1", 0}, {}, [](const auto&, const auto&) {
      }).value();
  const Address address{"127.0.0.1", ingress->port()};
  const auto check = [&] {
    ConnectOutcome outcome = ConnectOutcome::kUnanswered;
    CheckConnect(loop, address, std::chrono::seconds(5),
                 [&](ConnectOutcome found) {
                   outcome = found;
                   loop.Stop();
                 });
    loop.Run();
    return outcome;
  };
  CHECK(check() == ConnectOutcome::kAccepted);
  ingress = nullptr;
  CHECK(check() == ConnectOutcome::kRefused);
}

}  // namespace bramleyspan::http
