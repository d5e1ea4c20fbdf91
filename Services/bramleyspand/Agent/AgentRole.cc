#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Kernel/Digest.h"
#include "LibPlatform/VmList.h"
#include "LibTelemetry/Log.h"
#include "LibTelemetry/RenderedMetrics.h"
#include "Services/bramleyspand/Agent/AgentState.h"
#include "Services/bramleyspand/Agent/AgentStop.h"
#include "Services/bramleyspand/Answers.h"
#include "Services/bramleyspand/ClientGuard.h"
#include "Services/bramleyspand/LinkDoor.h"
#include "Services/bramleyspand/MetricsPage.h"
#include "Services/bramleyspand/OperatorKey.h"
#include "Services/bramleyspand/Role.h"

namespace bramleyspan::agent {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kVmListInterval = std::chrono::seconds(2);
constexpr Duration kEpochCheckInterval = std::chrono::seconds(10);
constexpr Duration kAntiEntropyInterval = std::chrono::seconds(2);
constexpr size_t kSecretBytes = 32;

nlohmann::json DumpOf(const AgentState& state) {
  return {
      {"process", state.settings.name},
      {"role", "agent"},
      {"zone", state.settings.zone},
      {"revision", state.feed.revision()},
      {"incarnation", state.calls.claims.incarnation},
      {"is_leaving", state.is_leaving},
      {"entries_linked", state.connections.size()},
      {"in_flight", state.calls.forwarded.size()},
      {"waiting", state.waiting.size()},
      {"slots", state.admission.settings.slots},
      {"is_stalled", state.admission.is_stalled},
      {"backoff_left_ms",
       std::max<Duration>(Duration(0), limits::BackoffHeldUntil(state.backoff) -
                                           EventLoop::Now())
               .count() /
           1000},
      {"remembered_claims", state.calls.claims.record_count},
      {"kept_answer_bytes", state.calls.claims.answer_bytes}};
}

void SendLeaving(wire::Connection& connection, const std::string& reason) {
  wire::LeavingT leaving;
  leaving.reason = reason;
  connection.Send(wire::Encode(std::move(leaving)));
}

bool is_leaving(const std::vector<platform::Vm>& vms, const std::string& name) {
  return std::any_of(vms.begin(), vms.end(), [&name](const platform::Vm& vm) {
    return vm.name == name && vm.state == platform::VmState::kLeaving;
  });
}

class AgentRole : public Role {
 public:
  AgentRole(EventLoop& loop, const Settings& settings)
      : state(loop, settings), holds(MakeHolds(settings, loop)) {}

  Result<void> Start() {
    const Settings& settings = this->state.settings;
    claims::ClaimRegistry& claims = this->state.calls.claims;
    this->state.admission.settings.slots = settings.target_slots;
    claims.agent = settings.name;
    claims.incarnation = RandomBits();
    claims.secret = RandomHex(kSecretBytes);
    claims.started = EventLoop::Now();
    this->server = TRY(http::Server::Listen(
        this->state.loop, {settings.ip, settings.caller_port},
        {.guard =
             GuardClients("operators", this->holds, SharesOf(settings).callers),
         .refusal = RefusalForRoom()},
        [this](const http::Request& request,
               const std::shared_ptr<http::Exchange>& exchange) {
          this->HandleRequest(request, exchange);
        }));
    this->door = TRY(LinkDoor::Open(this->state.loop, settings,
                                    [this](h2o_socket_t* socket) {
                                      return this->AcceptConnection(socket);
                                    }));
    this->state.feed.on_in_force = [this] { this->SendRevision(); };
    this->RemoveExpiredEpochsPeriodically();
    CheckDeadlinesPeriodically(this->state);
    this->PollVmList();
    this->RunAntiEntropy();
    return Succeed();
  }

  void StartDrain() override {
    if (std::exchange(this->is_draining, true)) {
      return;
    }
    this->StartLeaving("planned stop");
    this->stop.Start();
  }

  void Close() override {
    this->server.reset();
    this->door.reset();
  }

 private:
  std::shared_ptr<wire::Connection> AcceptConnection(h2o_socket_t* socket) {
    wire::ConnectionEvents events;
    events.holds = this->holds;
    events.on_frame = [this](wire::Connection& connection,
                             const wire::FrameT& frame) {
      HandleEntryFrame(this->state, connection, frame);
    };
    events.on_closed = [this](wire::Connection& connection, const Error&) {
      HandleLostEntry(this->state, connection);
      this->state.connections.erase(connection.shared_from_this());
    };
    auto connection = wire::Connection::Accept(socket, std::move(events));
    wire::HelloT hello;
    hello.process = this->state.settings.name;
    hello.role = this->state.settings.role;
    hello.zone = this->state.settings.zone;
    hello.incarnation = this->state.calls.claims.incarnation;
    hello.revision = this->state.feed.revision();
    hello.change = this->state.feed.newest_change().id;
    connection->Send(wire::Encode(std::move(hello)));
    if (this->state.is_leaving) {
      SendLeaving(*connection, "planned stop");
    }
    this->state.connections.insert(connection);
    return connection;
  }

  // Makes the agent itself refuse new calls, whether or not the entries have
  // received the Leaving frame.
  void StartLeaving(const std::string& reason) {
    if (std::exchange(this->state.is_leaving, true)) {
      return;
    }
    this->state.calls.is_leaving = true;
    Log(LogLevel::kInfo, "drain", "drain_started",
        {{"reason", reason},
         {"in_flight", std::to_string(this->state.calls.forwarded.size())}});
    for (const auto& connection : this->state.connections) {
      SendLeaving(*connection, reason);
    }
  }

  // Polls the VM list, where the platform may announce that the VM leaves
  // before it stops the process.
  void PollVmList() {
    platform::FetchVmList(
        this->state.client, this->state.settings.vm_list,
        [this](const Result<std::vector<platform::Vm>>& vms) {
          if (vms.has_value() &&
              is_leaving(vms.value(), this->state.settings.name)) {
            this->StartLeaving("the VM list says so");
            return;
          }
          this->state.loop.RunAfter(kVmListInterval,
                                    [this] { this->PollVmList(); });
        });
  }

  // Repeats messages that may have been lost: requests for shards, and the
  // revision that shows an entry that this agent lags.
  void RunAntiEntropy() {
    this->SendRevision();
    for (const auto& connection : this->state.connections) {
      this->state.feed.RequestPendingShards(*connection);
    }
    this->state.loop.RunAfter(kAntiEntropyInterval,
                              [this] { this->RunAntiEntropy(); });
  }

  void SendRevision() {
    for (const auto& connection : this->state.connections) {
      this->state.feed.SendInForce(*connection);
    }
  }

  void HandleRequest(const http::Request& request,
                     const std::shared_ptr<http::Exchange>& exchange) {
    if (request.path.starts_with("/v1/operator/") &&
        !is_from_operator(this->state.settings, request)) {
      exchange->Respond(
          ToResponse({.error = {ErrorCode::kUnauthenticated, "operator",
                                "show a valid key"}}));
      return;
    }
    if (request.path == "/healthz") {
      exchange->Respond({.status = 200, .body = "ok\n"});
    } else if (request.path == "/metrics") {
      exchange->Respond(MetricsResponse(
          telemetry::Render(this->metrics_text, EventLoop::Now(),
                            [this] { this->UpdateGauges(); })));
    } else if (request.path == "/readyz") {
      const bool is_ready =
          this->state.feed.revision() > 0 && !this->state.is_leaving;
      exchange->Respond({.status = is_ready ? 200 : 503,
                         .body = is_ready ? "ready\n" : "not ready\n"});
    } else if (request.path == "/v1/operator/dump") {
      exchange->Respond(JsonResponse(200, DumpOf(this->state)));
    } else {
      exchange->Respond(ToResponse(
          {.error = {ErrorCode::kNotFound, request.path, "no such path"}}));
    }
  }

  void UpdateGauges() {
    using namespace metric_names;
    const AgentState& now = this->state;
    telemetry::SetGauge(kOpenCalls, {},
                        static_cast<double>(now.calls.forwarded.size()));
    telemetry::SetGauge(kLinks, {},
                        static_cast<double>(now.connections.size()));
    telemetry::SetGauge(kRememberedClaims, {},
                        static_cast<double>(now.calls.claims.record_count));
    UpdateSharedGauges(now.feed);
    UpdateHeldGauges(*this->holds);
  }

  void RemoveExpiredEpochsPeriodically() {
    claims::RemoveExpiredEpochs(this->state.calls.claims, EventLoop::Now());
    this->state.loop.RunAfter(kEpochCheckInterval, [this] {
      this->RemoveExpiredEpochsPeriodically();
    });
  }

  AgentState state;
  // What is held for clients of the agent's ports.
  std::shared_ptr<memory::HoldTable> holds;
  AgentStop stop{this->state};
  telemetry::RenderedMetrics metrics_text;
  bool is_draining = false;
  std::unique_ptr<http::Server> server;
  std::unique_ptr<LinkDoor> door;
};

const PluginRegistration<StartRole> kRegistration("agent",
                                                  StartRoleOf<AgentRole>);

}  // namespace

}  // namespace bramleyspan::agent
