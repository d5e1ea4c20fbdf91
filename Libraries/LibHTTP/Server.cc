#include "LibHTTP/Server.h"

#include <memory>
#include <new>
#include <set>
#include <utility>

#include "Kernel/SocketBytes.h"

namespace bramleyspan::http {

namespace {

// Status for a request whose caller disconnected, as nginx uses it in its logs.
constexpr int kCallerClosedRequest = 499;
constexpr Duration kHeldCheckInterval = std::chrono::milliseconds(20);
// A request is held by h2o and as a copy, with its head.
constexpr size_t kHeadBytes = 4096;
// What each exchange may hold besides what is counted.
constexpr size_t kUncountedAnswerBytes = 8192;

// Allocated in the memory pool of a request. Keeps the exchange alive until h2o
// frees the request.
struct Generator {
  h2o_generator_t super;
  std::shared_ptr<Exchange>* exchange;
};

// An h2o handler with a pointer to its server.
struct HandlerSlot {
  h2o_handler_t super;
  void* server;
};

const char* ReasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

// Whether the caller can detect a truncated stream. h2o uses chunks only for
// HTTP/1.1 answers with status 200 or 206. Other HTTP/1 streams end with the
// connection, complete or not. HTTP/2 resets a truncated stream.
bool can_show_truncation(const h2o_req_t& request, int status) {
  constexpr int kHttp11 = 0x101;
  if (request.version > kHttp11) {
    return true;
  }
  return request.version == kHttp11 && (status == 200 || status == 206);
}

// The bytes of an answer behind which a connection ends.
std::string SerializeLast(const Response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     ReasonOf(response.status) + "\r\n";
  for (const auto& [name, value] : response.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append("content-length: " + std::to_string(response.body.size()));
  return text + "\r\nconnection: close\r\n\r\n" + response.body;
}

Response TruncatedAnswer() {
  return {.status = 502,
          .headers = {{"content-type", "application/json"}},
          .body =
              "{\"error\":{\"code\":\"truncated\",\"message\":\"the answer "
              "broke off\",\"run\":\"unknown\"}}\n"};
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

bool Exchange::MayPerform(AnswerStep step) {
  if (this->is_closed()) {
    return false;
  }
  const StepOutcome outcome = Advance(this->phase, step);
  if (outcome == StepOutcome::kCut) {
    this->Cut();
  }
  return outcome == StepOutcome::kPerform;
}

void Exchange::Cut() {
  const bool is_head_sent = this->request->_generator != nullptr;
  if (is_head_sent) {
    this->EndAs(End::kTruncated);
  } else {
    this->buffered_answer.reset();
    this->SendWhole(TruncatedAnswer());
  }
}

void Exchange::SendWhole(const Response& response) {
  this->SetHead(response.status, response.headers);
  this->request->res.content_length = response.body.size();
  this->StartGenerator();
  this->pending = response.body;
  if (this->CountAnswer()) {
    this->EndAs(End::kWhole);
  } else {
    // Its room can't be had: the answer is cut.
    this->pending.clear();
    this->EndAs(End::kTruncated);
  }
}

void Exchange::EndAs(End kind) {
  this->end = kind;
  this->Flush();
}

void Exchange::Respond(const Response& response) {
  if (this->MayPerform(AnswerStep::kRespond)) {
    this->SendWhole(response);
  }
}

void Exchange::StartStream(int status, const HeaderList& headers) {
  if (!this->MayPerform(AnswerStep::kStartStream)) {
    return;
  }
  if (!can_show_truncation(*this->request, status)) {
    this->buffered_answer =
        Response{.status = status, .headers = headers, .body = ""};
    return;
  }
  this->SetHead(status, headers);
  this->StartGenerator();
  // Sends the head immediately. It shows the caller that the request was
  // accepted, long before a slow back end writes its first byte.
  this->is_sending = true;
  h2o_send(this->request, nullptr, 0, H2O_SEND_STATE_IN_PROGRESS);
}

void Exchange::Write(std::string_view bytes) {
  if (bytes.empty() || !this->MayPerform(AnswerStep::kWrite)) {
    return;
  }
  if (this->buffered_answer) {
    this->buffered_answer->body.append(bytes);
    if (this->buffered_answer->body.size() > this->max_pending_bytes) {
      this->Abandon();
    }
    return;
  }
  this->pending.append(bytes);
  this->Flush();
  // Bounds the memory that a caller can use by reading more slowly than the
  // back end writes. The caller's answer is truncated.
  if (this->pending.size() > this->max_pending_bytes || !this->CountAnswer()) {
    this->Abandon();
  }
}

bool Exchange::CountRequest(size_t bytes) {
  this->request_hold =
      memory::Hold(this->holds, memory::Stage::kAtWork, nullptr);
  return this->request_hold.Resize(bytes);
}

bool Exchange::CountAnswer() {
  const size_t waiting = this->pending.size() + this->in_flight.size();
  if (waiting <= kUncountedAnswerBytes) {
    this->answer_hold.Release();
    return true;
  }
  if (!this->answer_hold.is_counted()) {
    this->answer_hold =
        memory::Hold(this->holds, memory::Stage::kDelivering,
                     [weak = this->weak_from_this()] {
                       const auto exchange = weak.lock();
                       if (exchange != nullptr && exchange->close &&
                           exchange->answer_hold.is_ended()) {
                         exchange->close();
                       }
                     });
  }
  return this->answer_hold.Resize(waiting);
}

void Exchange::Finish() {
  if (!this->MayPerform(AnswerStep::kFinish)) {
    return;
  }
  if (this->buffered_answer) {
    this->SendWhole(*std::exchange(this->buffered_answer, std::nullopt));
  } else {
    this->EndAs(End::kWhole);
  }
}

void Exchange::Abort() {
  this->MayPerform(AnswerStep::kAbort);
}

void Exchange::OnDisconnect(std::function<void()> callback) {
  this->disconnect_callback = std::move(callback);
}

void Exchange::SetHead(int status, const HeaderList& headers) {
  this->request->res.status = status;
  this->request->res.reason = ReasonOf(status);
  for (const auto& [name, value] : headers) {
    const h2o_iovec_t name_copy =
        h2o_strdup(&this->request->pool, name.data(), name.size());
    const h2o_iovec_t value_copy =
        h2o_strdup(&this->request->pool, value.data(), value.size());
    h2o_add_header_by_str(&this->request->pool, &this->request->res.headers,
                          name_copy.base, name_copy.len, 1, nullptr,
                          value_copy.base, value_copy.len);
  }
}

void Exchange::StartGenerator() {
  auto* generator = static_cast<Generator*>(
      h2o_mem_alloc_pool(&this->request->pool, sizeof(Generator)));
  generator->super.proceed = [](h2o_generator_t* self, h2o_req_t*) {
    (*reinterpret_cast<Generator*>(self)->exchange)->HandleProceed();
  };
  generator->super.stop = nullptr;
  generator->exchange = new (h2o_mem_alloc_shared(
      &this->request->pool, sizeof(std::shared_ptr<Exchange>),
      [](void* memory) {
        std::destroy_at(static_cast<std::shared_ptr<Exchange>*>(memory));
      })) std::shared_ptr<Exchange>(this->shared_from_this());
  h2o_start_response(this->request, &generator->super);
}

void Exchange::Flush() {
  if (this->is_closed() || this->is_sending) {
    return;
  }
  if (this->pending.empty() && this->end == End::kNone) {
    return;
  }
  this->in_flight = std::exchange(this->pending, {});
  this->is_sending = true;
  h2o_iovec_t buffer =
      h2o_iovec_init(this->in_flight.data(), this->in_flight.size());
  h2o_req_t* sent_on = this->request;
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  if (this->end != End::kNone) {
    state =
        this->end == End::kWhole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
    this->request = nullptr;
    this->disconnect_callback = nullptr;
  }
  h2o_send(sent_on, &buffer, this->in_flight.empty() ? 0 : 1, state);
}

void Exchange::HandleProceed() {
  this->is_sending = false;
  std::exchange(this->in_flight, {});
  this->Flush();
  this->CountAnswer();
}

void Exchange::HandleDisposal() {
  this->request = nullptr;
  this->close = nullptr;
  this->request_hold.Release();
  this->answer_hold.Release();
  if (this->disconnect_callback) {
    std::exchange(this->disconnect_callback, nullptr)();
  }
}

bool Exchange::has_caller_disconnected() const {
  if (this->is_closed()) {
    return false;
  }
  h2o_conn_t* connection = this->request->conn;
  h2o_socket_t* socket = connection->callbacks->get_socket(connection);
  return socket != nullptr && has_peer_closed(h2o_socket_get_fd(socket));
}

void Exchange::Abandon() {
  auto keep_until_return = this->shared_from_this();
  auto callback = std::exchange(this->disconnect_callback, nullptr);
  const bool is_complete =
      this->phase == AnswerPhase::kEnded && this->pending.empty();
  this->pending.clear();
  if (this->phase == AnswerPhase::kNotBegun) {
    this->Respond({.status = kCallerClosedRequest, .headers = {}, .body = ""});
  } else if (!is_complete && !this->is_closed()) {
    // Also an answer that was finished, but whose last bytes were not sent.
    this->phase = AnswerPhase::kEnded;
    this->Cut();
  }
  if (callback) {
    callback();
  }
}

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
