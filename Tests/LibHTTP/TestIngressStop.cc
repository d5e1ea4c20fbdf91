// What a planned stop asks of the connections of an ingress.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "IngressFixture.h"

namespace bramleyspan::http {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kRequest = "GET /a HTTP/1.1\r\n\r\n";

void RunFor(EventLoop& loop, Duration time) {
  loop.RunAfter(time, [&loop] { loop.Stop(); });
  loop.Run();
}

// Keeps the exchanges of the requests that it gets.
struct HeldExchanges {
  std::vector<std::shared_ptr<IngressExchange>> exchanges;

  IngressHandler handler() {
    return [this](const IngressRequest&,
                  const std::shared_ptr<IngressExchange>& exchange) {
      this->exchanges.push_back(exchange);
    };
  }
};

}  // namespace

TEST_CASE("Connections are counted by what they are busy with") {
  IngressFixture fixture;
  HeldExchanges held;
  fixture.Serve(held.handler());
  LateReader idle(fixture.address(), "");
  LateReader head(fixture.address(), "GET /");
  LateReader body(fixture.address(),
                  "POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf");
  LateReader slow(fixture.address(), std::string(kRequest));
  RunFor(fixture.loop, milliseconds(50));
  REQUIRE(held.exchanges.size() == 1);
  IngressWork work = fixture.ingress->CountWork();
  CHECK(work.idle == 1);
  CHECK(work.reading == 2);
  CHECK(work.answering == 1);
  held.exchanges.front()->Respond(200, {}, std::string(1 << 25, 'x'));
  RunFor(fixture.loop, milliseconds(50));
  work = fixture.ingress->CountWork();
  CHECK(work.answering == 0);
  CHECK(work.delivering == 1);
}

TEST_CASE("An answer counts until its caller's machine has it") {
  IngressFixture fixture;
  fixture.Serve([](const IngressRequest&,
                   const std::shared_ptr<IngressExchange>& exchange) {
    exchange->Respond(200, {}, std::string(1 << 20, 'x'));
  });
  LateReader slow(fixture.address(), std::string(kRequest));
  RunFor(fixture.loop, milliseconds(50));
  CHECK(fixture.ingress->CountWork().delivering == 1);
  fixture.ingress->CloseIdle(Duration(0));
  CHECK(fixture.ingress->open_connections() == 1);
}

TEST_CASE("A stream from before a stop keeps its connection for one request") {
  IngressFixture fixture;
  HeldExchanges held;
  fixture.Serve(held.handler());
  LateReader caller(fixture.address(), std::string(kRequest));
  RunFor(fixture.loop, milliseconds(20));
  held.exchanges.at(0)->StartStream(200, {});
  fixture.ingress->StartDrain();
  held.exchanges.at(0)->Finish();
  RunFor(fixture.loop, milliseconds(20));
  caller.Send(std::string(kRequest));
  RunFor(fixture.loop, milliseconds(20));
  REQUIRE(held.exchanges.size() == 2);
  held.exchanges.at(1)->Respond(200, {}, "second");
  RunFor(fixture.loop, milliseconds(20));
  CHECK(caller.ReadAll());
  CHECK(caller.received.find("connection: close") != std::string::npos);
  CHECK(caller.received.ends_with("second"));
}

TEST_CASE("Only connections that were idle for long are closed") {
  IngressFixture fixture;
  fixture.Serve(Echo);
  LateReader old(fixture.address(), "");
  RunFor(fixture.loop, milliseconds(200));
  LateReader recent(fixture.address(), std::string(kRequest));
  LateReader sending(fixture.address(), "GET /b HTTP");
  RunFor(fixture.loop, milliseconds(20));
  fixture.ingress->CloseIdle(milliseconds(150));
  CHECK(fixture.ingress->open_connections() == 2);
  CHECK(old.ReadAll());
}

TEST_CASE("A request that lies unread keeps its connection from being closed") {
  IngressFixture fixture;
  fixture.Serve(Echo);
  LateReader caller(fixture.address(), "");
  RunFor(fixture.loop, milliseconds(20));
  caller.Send(std::string(kRequest));
  fixture.ingress->StartDrain();
  fixture.ingress->CloseIdle(Duration(0));
  RunFor(fixture.loop, milliseconds(20));
  CHECK(caller.ReadAll());
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
}

TEST_CASE("Connections that the system has accepted outlive the address") {
  IngressFixture fixture;
  fixture.Serve(Echo);
  fixture.ingress->StartDrain();
  const Address address = fixture.address();
  LateReader first(address, std::string(kRequest));
  LateReader second(address, std::string(kRequest));
  fixture.ingress->StopListening();
  RunFor(fixture.loop, milliseconds(50));
  CHECK(first.ReadAll());
  CHECK(first.received.starts_with("HTTP/1.1 200"));
  CHECK(second.ReadAll());
  CHECK(second.received.starts_with("HTTP/1.1 200"));
  CHECK_FALSE(can_connect(address));
}

TEST_CASE("Requests that are still coming are refused by an answer") {
  IngressFixture fixture;
  fixture.Serve(Echo);
  LateReader head(fixture.address(), "GET /");
  LateReader body(fixture.address(),
                  "POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf");
  RunFor(fixture.loop, milliseconds(20));
  fixture.ingress->RefuseReading(503, {{"retry-after", "0"}});
  RunFor(fixture.loop, milliseconds(20));
  for (LateReader* caller : {&head, &body}) {
    caller->StopSending();
    RunFor(fixture.loop, milliseconds(20));
    CHECK(caller->ReadAll());
    CHECK(caller->received.starts_with("HTTP/1.1 503"));
    CHECK(caller->received.find("retry-after: 0") != std::string::npos);
  }
  CHECK(fixture.seen.empty());
}

}  // namespace bramleyspan::http
