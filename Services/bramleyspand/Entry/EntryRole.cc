#include <utility>

#include "LibTelemetry/RenderedMetrics.h"
#include "Services/bramleyspand/ClientGuard.h"
#include "Services/bramleyspand/Entry/EntryState.h"
#include "Services/bramleyspand/Entry/EntryStop.h"
#include "Services/bramleyspand/LinkDoor.h"
#include "Services/bramleyspand/MetricsPage.h"
#include "Services/bramleyspand/Role.h"

namespace bramleyspan::entry {

namespace {

constexpr size_t kMaxOperatorBodyBytes = 8 << 20;

class EntryRole : public Role {
 public:
  EntryRole(EventLoop& loop, const Settings& settings)
      : state(loop, settings) {}

  Result<void> Start() {
    const Settings& settings = this->state.settings;
    // An operator sends a complete catalogue: 1,500 owners take more than a
    // megabyte.
    const http::ServerLimits limits{
        .max_body_bytes = kMaxOperatorBodyBytes,
        .guard = GuardClients("callers", this->state.holds,
                              SharesOf(settings).callers),
        .refusal = RefusalForRoom()};
    this->server = TRY(http::Server::Listen(
        this->state.loop, {settings.ip, settings.caller_port}, limits,
        [this](const http::Request& request,
               const std::shared_ptr<http::Exchange>& exchange) {
          this->HandleRequest(request, exchange);
        }));
    this->door = TRY(LinkDoor::Open(this->state.loop, settings,
                                    [this](h2o_socket_t* socket) {
                                      return AcceptLink(this->state, socket);
                                    }));
    StartCatalogueSource(this->state);
    StartLinks(this->state);
    EndOverdueCalls(this->state);
    return Succeed();
  }

  void StartDrain() override {
    if (std::exchange(this->state.is_leaving, true)) {
      return;
    }
    AnnounceLeaving(this->state);
    this->stop.Start(*this->server);
  }

  void Close() override {
    this->server.reset();
    this->door.reset();
  }

 private:
  void HandleRequest(const http::Request& request,
                     const std::shared_ptr<http::Exchange>& exchange) {
    if (request.path == "/healthz") {
      exchange->Respond({.status = 200, .body = "ok\n"});
    } else if (request.path == "/metrics") {
      exchange->Respond(MetricsResponse(
          telemetry::Render(this->metrics_text, EventLoop::Now(),
                            [this] { this->UpdateGauges(); })));
    } else if (request.path == "/readyz") {
      const bool is_serving = this->state.is_ready && !this->state.is_leaving;
      exchange->Respond({.status = is_serving ? 200 : 503,
                         .body = is_serving ? "ready\n" : "not ready\n"});
    } else if (request.path.starts_with("/v1/operator/")) {
      HandleOperatorRequest(this->state, request, exchange);
    } else {
      HandleCallerRequest(this->state, request, exchange);
    }
  }

  void UpdateGauges() {
    using namespace metric_names;
    const EntryState& now = this->state;
    telemetry::SetGauge(kOpenCalls, {}, static_cast<double>(now.calls.size()));
    telemetry::SetGauge(kLinks, {}, static_cast<double>(now.links.size()));
    telemetry::SetGauge(kKeyValueCalls, {},
                        static_cast<double>(now.key_value.calls));
    UpdateSharedGauges(now.feed);
    UpdateHeldGauges(*now.holds);
  }

  EntryState state;
  EntryStop stop{this->state};
  std::unique_ptr<http::Server> server;
  std::unique_ptr<LinkDoor> door;
  telemetry::RenderedMetrics metrics_text;
};

const PluginRegistration<StartRole> kRegistration("entry",
                                                  StartRoleOf<EntryRole>);

}  // namespace

}  // namespace bramleyspan::entry
