#include "LibHTTP/Server.h"

#include <memory>
#include <new>
#include <set>
#include <utility>

#include "LibHTTP/AnswerText.h"

namespace bramleyspan::http {

namespace {

constexpr Duration kHeldCheckInterval = std::chrono::milliseconds(20);
// Bytes that a request is counted with besides its body.
constexpr size_t kHeadBytes = 4096;

// An h2o handler with a pointer to its server.
struct HandlerSlot {
  h2o_handler_t super;
  void* server;
};

// The bytes of an answer behind which a connection ends.
std::string SerializeLast(const Response& response) {
  const std::string framing =
      "content-length: " + std::to_string(response.body.size()) + "\r\n";
  return SerializeHead(response.status, response.headers, framing, true) +
         response.body;
}

std::string ToString(const h2o_iovec_t& bytes) {
  return {bytes.base, bytes.len};
}

Request ToRequest(const h2o_req_t& source) {
  Request request;
  request.method = ToString(source.method);
  const std::string full_path = ToString(source.path);
  const size_t question = full_path.find('?');
  request.path = full_path.substr(0, question);
  if (question != std::string::npos) {
    request.query = full_path.substr(question + 1);
  }
  for (size_t i = 0; i < source.headers.size; ++i) {
    const h2o_header_t& header = source.headers.entries[i];
    request.headers.emplace_back(ToString(*header.name),
                                 ToString(header.value));
  }
  request.body = ToString(source.entity);
  return request;
}

}  // namespace

struct Server::Internals {
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept_context{};
  std::unique_ptr<Listener> listener;
  Handler handler;
  ServerLimits limits;
  EventLoop* loop = nullptr;
  std::set<std::shared_ptr<Exchange>> exchanges;
  // The requests that have come whole, until h2o frees them.
  std::set<const h2o_req_t*> whole_requests;
  bool has_announced_http2_end = false;
  ServerConnections connections;

  void StopServing() {
    this->loop->Cancel(this->disconnect_timer);
    this->loop->Cancel(this->held_timer);
    this->listener = nullptr;
  }

  // h2o does not read from a connection while an answer is pending, so it
  // detects a closed connection only at the next write. Without this check,
  // back ends keep working for callers that have disconnected.
  void CheckForDisconnects() {
    const auto open = this->exchanges;
    for (const auto& exchange : open) {
      if (exchange->has_caller_disconnected()) {
        exchange->Abandon();
      }
    }
    this->disconnect_timer =
        this->loop->RunAfter(this->limits.disconnect_check_interval,
                             [this] { this->CheckForDisconnects(); });
  }

  // h2o tells nothing of a request that is still coming, so that what it holds
  // is looked at.
  void CheckHeld() {
    this->connections.CheckHeld();
    this->held_timer =
        this->loop->RunAfter(kHeldCheckInterval, [this] { this->CheckHeld(); });
  }

  // Returns how many requests of HTTP/2 are coming: those that h2o has and has
  // not passed on.
  size_t CountComingHttp2() {
    struct Count {
      const Internals* internals;
      size_t coming;
    } count{this, 0};
    this->config.http2.callbacks.foreach_request(
        &this->context,
        [](h2o_req_t* request, void* data) {
          auto* found = static_cast<Count*>(data);
          found->coming +=
              found->internals->whole_requests.contains(request) ? 0 : 1;
          return 0;
        },
        &count);
    return count.coming;
  }

  // h2o announces the end of a connection of HTTP/2 and ends the requests that
  // are coming a second later, so that it is told once none is.
  void AnnounceHttp2End() {
    if (!this->has_announced_http2_end && this->CountComingHttp2() == 0) {
      this->has_announced_http2_end = true;
      this->config.http2.callbacks.request_shutdown(&this->context);
    }
  }

  void StartDrain() {
    this->context.shutdown_requested = 1;
    if (this->config.http1.callbacks.request_shutdown != nullptr) {
      this->config.http1.callbacks.request_shutdown(&this->context);
    }
    this->AnnounceHttp2End();
    this->connections.StartDrain();
  }

  void Accept(h2o_socket_t* accepted) {
    if (!this->connections.MakePlace()) {
      const int descriptor = h2o_socket_get_fd(accepted);
      ReportTurnedAway(this->limits.guard, TurnedAwayCause::kTooManyConnections,
                       descriptor, 0);
      SendUnavailable(descriptor);
      h2o_socket_close(accepted);
      return;
    }
    this->connections.Add(accepted);
    h2o_accept(&this->accept_context, accepted);
  }

  TimerId disconnect_timer = 0;
  TimerId held_timer = 0;

  int HandleRequest(h2o_req_t* request) {
    struct DisposalHook {
      h2o_req_t* request;
      std::shared_ptr<Exchange> exchange;
      Internals* internals;
      h2o_socket_t* socket;
    };
    h2o_socket_t* const socket =
        request->conn->callbacks->get_socket(request->conn);
    auto exchange = std::make_shared<Exchange>(
        request, this->limits.max_pending_bytes, this->limits.guard.holds,
        [this, socket] {
          this->connections.Close(socket, TurnedAwayCause::kAnswerNotTaken);
        });
    // h2o reports no event if a connection closes before the answer has
    // started. The disposal of the request's memory pool always happens.
    new (h2o_mem_alloc_shared(
        &request->pool, sizeof(DisposalHook), [](void* memory) {
          auto* hook = static_cast<DisposalHook*>(memory);
          hook->internals->exchanges.erase(hook->exchange);
          hook->internals->whole_requests.erase(hook->request);
          hook->internals->connections.EndExchange(hook->socket);
          hook->exchange->HandleDisposal();
          std::destroy_at(hook);
        })) DisposalHook{request, exchange, this, socket};
    this->whole_requests.insert(request);
    constexpr int kHttp2 = 0x200;
    const size_t body_bytes = request->entity.len;
    this->connections.BeginExchange(socket, request->version >= kHttp2,
                                    body_bytes);
    this->exchanges.insert(exchange);
    if (!exchange->CountRequest(body_bytes + kHeadBytes)) {
      ReportTurnedAway(this->limits.guard, TurnedAwayCause::kNoRoom,
                       h2o_socket_get_fd(socket), body_bytes);
      exchange->Respond(this->limits.refusal);
      return 0;
    }
    this->handler(ToRequest(*request), exchange);
    return 0;
  }
};

Server::Server(std::unique_ptr<Internals> internals)
    : internals(std::move(internals)) {}

Result<std::unique_ptr<Server>> Server::Listen(EventLoop& loop,
                                               const Address& address,
                                               const ServerLimits& limits,
                                               Handler handler) {
  auto internals = std::make_unique<Internals>();
  Internals* state = internals.get();
  state->handler = std::move(handler);
  state->limits = limits;
  state->loop = &loop;
  h2o_config_init(&state->config);
  state->config.max_request_entity_size = limits.max_body_bytes;
  state->config.http1.req_timeout =
      static_cast<uint64_t>(limits.request_timeout.count());
  h2o_hostconf_t* host = h2o_config_register_host(
      &state->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  auto* slot = reinterpret_cast<HandlerSlot*>(
      h2o_create_handler(path, sizeof(HandlerSlot)));
  slot->server = state;
  slot->super.on_req = [](h2o_handler_t* self, h2o_req_t* request) {
    void* server = reinterpret_cast<HandlerSlot*>(self)->server;
    return static_cast<Internals*>(server)->HandleRequest(request);
  };
  h2o_context_init(&state->context, loop.raw(), &state->config);
  state->accept_context.ctx = &state->context;
  state->accept_context.hosts = state->config.hosts;
  state->listener = TRY(Listener::Listen(
      loop, address,
      [state](h2o_socket_t* accepted) { state->Accept(accepted); },
      kReceiveBytes));
  state->connections.guard = limits.guard;
  state->connections.refusal = SerializeLast(limits.refusal);
  state->CheckForDisconnects();
  state->CheckHeld();
  return std::unique_ptr<Server>(new Server(std::move(internals)));
}

Server::~Server() {
  this->internals->StopServing();
  // h2o's connections and timers refer to the context until the event loop is
  // destroyed, so the context is never freed.
  static_cast<void>(this->internals.release());
}

void Server::StartDrain() {
  this->internals->StartDrain();
}

void Server::StopListening() {
  if (this->internals->listener != nullptr) {
    this->internals->listener->AcceptPending();
    this->internals->listener = nullptr;
  }
}

void Server::CloseIdle(Duration idle_for) {
  this->internals->connections.CloseIdle(idle_for);
}

void Server::RefuseReading(const Response& response) {
  this->internals->connections.RefuseReading(SerializeLast(response));
}

ServerWork Server::CountWork() {
  this->internals->connections.Check();
  if (this->internals->context.shutdown_requested != 0) {
    this->internals->AnnounceHttp2End();
  }
  ServerWork work = this->internals->connections.CountWork();
  work.reading += this->internals->CountComingHttp2();
  return work;
}

uint16_t Server::port() const {
  return this->internals->listener->port();
}

size_t Server::open_exchanges() const {
  return this->internals->exchanges.size();
}

}  // namespace bramleyspan::http
