#include <memory>
#include <new>
#include <utility>

#include "Kernel/SocketBytes.h"
#include "LibHTTP/AnswerText.h"
#include "LibHTTP/Server.h"

namespace bramleyspan::http {

namespace {

// Status for a request whose caller disconnected, as nginx uses it in its logs.
constexpr int kCallerClosedRequest = 499;
// What each exchange may hold besides what is counted.
constexpr size_t kUncountedAnswerBytes = 8192;

// Allocated in the memory pool of a request. Keeps the exchange alive until h2o
// frees the request.
struct Generator {
  h2o_generator_t super;
  std::shared_ptr<Exchange>* exchange;
};

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

Response TruncatedAnswer() {
  return {.status = 502,
          .headers = {{"content-type", "application/json"}},
          .body =
              "{\"error\":{\"code\":\"truncated\",\"message\":\"the answer "
              "broke off\",\"run\":\"unknown\"}}\n"};
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

}  // namespace bramleyspan::http
