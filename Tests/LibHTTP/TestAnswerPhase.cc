#include <sys/socket.h>

#include <numeric>

#include "LibHTTP/Ingress.h"
#include "Tests/LibHTTP/Fixture.h"
#include "Tests/Property.h"

namespace bramleyspan::http {

namespace {

// What a handler asks of its exchange.
enum class Call { kRespond, kStartStream, kWrite, kFinish, kAbort };

std::vector<Call> AnyCalls() {
  return *rc::gen::container<std::vector<Call>>(
      rc::gen::element(Call::kRespond, Call::kStartStream, Call::kWrite,
                       Call::kWrite, Call::kFinish, Call::kAbort));
}

// The body of the n-th call that has one.
std::string BodyOf(size_t n) {
  return "piece " + std::to_string(n) + "\n";
}

// Returns the body of the answer that the calls make up, or nullopt if they
// make up none or more than one.
std::optional<std::string> WholeBody(const std::vector<Call>& calls) {
  if (!calls.empty() && calls.front() == Call::kRespond) {
    return BodyOf(0);
  }
  const auto first_other =
      std::find_if(calls.begin() + (calls.empty() ? 0 : 1), calls.end(),
                   [](Call call) { return call != Call::kWrite; });
  const bool is_whole = !calls.empty() && calls.front() == Call::kStartStream &&
                        first_other != calls.end() &&
                        *first_other == Call::kFinish;
  if (!is_whole) {
    return std::nullopt;
  }
  std::string body;
  for (auto call = calls.begin() + 1; call != first_other; ++call) {
    body += BodyOf(static_cast<size_t>(call - calls.begin()));
  }
  return body;
}

void Perform(IngressExchange& exchange, Call call, const std::string& body) {
  switch (call) {
    case Call::kRespond:
      return exchange.Respond(200, {}, body);
    case Call::kStartStream:
      return exchange.StartStream(200, {});
    case Call::kWrite:
      return exchange.Write(body);
    case Call::kFinish:
      return exchange.Finish();
    case Call::kAbort:
      return exchange.Abort();
  }
}

void Perform(Exchange& exchange, Call call, const std::string& body) {
  switch (call) {
    case Call::kRespond:
      return exchange.Respond({.body = body});
    case Call::kStartStream:
      return exchange.StartStream(200, {});
    case Call::kWrite:
      return exchange.Write(body);
    case Call::kFinish:
      return exchange.Finish();
    case Call::kAbort:
      return exchange.Abort();
  }
}

// Performs the calls, and ends the answer if they do not.
template <typename ExchangeType>
void PerformAll(ExchangeType& exchange, const std::vector<Call>& calls) {
  for (size_t n = 0; n < calls.size(); ++n) {
    Perform(exchange, calls[n], BodyOf(n));
  }
  exchange.Abort();
}

// Takes one answer from the beginning of `bytes`. Returns its body, or nullopt
// if the bytes are not a whole answer. `is_closed_in_order` ends an answer
// without length.
std::optional<std::string> TakeAnswer(std::string& bytes,
                                      bool is_closed_in_order) {
  const auto head = ParseAnswerHead(bytes);
  if (head.has_error() || !head.value()) {
    return std::nullopt;
  }
  const auto message_framing = FramingOfAnswer(*head.value(), "GET");
  if (message_framing.has_error()) {
    return std::nullopt;
  }
  BodyReader reader(message_framing.value());
  std::string body;
  const auto consumed =
      reader.Read(std::string_view(bytes).substr(head.value()->bytes), body);
  if (consumed.has_error()) {
    return std::nullopt;
  }
  const bool is_whole = reader.framing() == BodyFraming::kUntilClose
                            ? is_closed_in_order
                            : reader.is_whole();
  if (!is_whole) {
    return std::nullopt;
  }
  bytes.erase(0, head.value()->bytes + consumed.value());
  return body;
}

// What a caller receives whose request for / is answered by the calls, and that
// for /next, which follows on the same connection, as it should.
struct Received {
  std::string bytes;
  bool is_closed_in_order = false;
};

Received ReceiveFromIngress(const std::vector<Call>& calls,
                            const std::string& version) {
  EventLoop loop;
  auto ingress = Ingress::Listen(
      loop, {"127.0.0.1", 0}, {},
      [&calls](const IngressRequest& request,
               const std::shared_ptr<IngressExchange>& exchange) {
        if (request.path == "/next") {
          exchange->Respond(200, {}, "next");
        } else {
          PerformAll(*exchange, calls);
        }
      });
  REQUIRE(ingress.has_value());
  RawCaller caller(loop, {"127.0.0.1", ingress.value()->port()},
                   "GET / HTTP/" + version + "\r\n\r\nGET /next HTTP/" +
                       version + "\r\nconnection: close\r\n\r\n");
  loop.Run();
  return {caller.received, caller.is_closed_in_order};
}

}  // namespace

// Failure: a second answer begins inside a first one, or an answer that was cut
// looks whole.
TEST_CASE("property: an ingress sends one answer or cuts it, in any order") {
  tests::CheckProperty("any order of calls", [] {
    const std::vector<Call> calls = AnyCalls();
    const std::string version = *rc::gen::element<std::string>("1.0", "1.1");
    Received received = ReceiveFromIngress(calls, version);
    const auto body = TakeAnswer(received.bytes, received.is_closed_in_order);
    RC_ASSERT(body == WholeBody(calls));
    if (body && version == "1.1") {
      RC_ASSERT(TakeAnswer(received.bytes, received.is_closed_in_order) ==
                std::optional<std::string>("next"));
    }
    if (body) {
      RC_ASSERT(received.bytes.empty());
    }
  });
}

// Failure: as above, at the server of entries and agents.
TEST_CASE("property: a server sends one answer or cuts it, in any order") {
  tests::CheckProperty("any order of calls", [] {
    const std::vector<Call> calls = AnyCalls();
    const std::string version = *rc::gen::element<std::string>("1.0", "1.1");
    Fixture fixture;
    fixture.Serve([&calls](const Request&, const auto& exchange) {
      PerformAll(*exchange, calls);
    });
    RawCaller caller(fixture.loop, fixture.address(),
                     "GET / HTTP/" + version + "\r\nconnection: close\r\n\r\n");
    fixture.loop.Run();
    std::string bytes = caller.received;
    const bool is_truncation_named =
        bytes.find("\"code\":\"truncated\"") != std::string::npos;
    const auto body = TakeAnswer(bytes, caller.is_closed_in_order);
    if (!is_truncation_named) {
      RC_ASSERT(body == WholeBody(calls));
    } else {
      RC_ASSERT(body.has_value());
      RC_ASSERT(!WholeBody(calls));
    }
    RC_ASSERT(!body || bytes.empty());
  });
}

}  // namespace bramleyspan::http
