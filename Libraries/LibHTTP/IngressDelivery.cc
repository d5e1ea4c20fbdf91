// Writes the answers of an IngressConnection, and ends it once its caller has
// taken the last one or takes nothing of it.
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "Kernel/SocketBytes.h"
#include "LibHTTP/IngressConnection.h"

namespace bramleyspan::http {

namespace {

// What each connection may hold of answers besides what is counted; the limit
// on connections covers it.
constexpr size_t kUncountedAnswerBytes = 8192;
// How long a closing connection waits for its caller to close it.
constexpr Duration kLingerTime = std::chrono::seconds(1);

}  // namespace

void IngressConnection::Send(std::string bytes) {
  Append(this->outgoing, std::move(bytes));
  this->Flush();
}

void IngressConnection::Flush() {
  if (this->is_writing || this->outgoing.waiting.empty() ||
      this->socket == nullptr) {
    return;
  }
  std::vector<h2o_iovec_t> places = TakeNext(this->outgoing);
  this->is_writing = true;
  this->taken_at = EventLoop::Now();
  h2o_socket_write(
      this->socket, places.data(), places.size(),
      [](h2o_socket_t* target, const char* failure) {
        auto connection =
            static_cast<IngressConnection*>(target->data)->shared_from_this();
        connection->HandleWritten(failure);
      });
}

void IngressConnection::HandleWritten(const char* failure) {
  this->is_writing = false;
  DropWritten(this->outgoing);
  if (failure != nullptr) {
    this->Close();
    return;
  }
  this->Flush();
  this->CountOutgoing();
  if (this->is_answered && !this->is_writing && this->phase == Phase::kAnswer) {
    this->EndAnswer();
  }
}

bool IngressConnection::CountOutgoing() {
  const size_t pending = this->outgoing.bytes();
  if (pending <= kUncountedAnswerBytes) {
    this->delivery_hold.Release();
    return true;
  }
  if (!this->delivery_hold.is_counted()) {
    this->delivery_hold =
        memory::Hold(this->server.guard.holds, memory::Stage::kDelivering,
                     this->CallLater(&IngressConnection::HandleDeliveryEnded));
  }
  return this->delivery_hold.Resize(pending);
}

void IngressConnection::HandleDeliveryEnded() {
  if (this->delivery_hold.is_ended()) {
    this->TurnAway(TurnedAwayCause::kAnswerNotTaken);
    this->Close();
  }
}

// Marks the answer as complete. Once its last byte is written, continues with
// the next request or closes the connection.
void IngressConnection::EndAnswer() {
  this->is_answered = true;
  if (this->is_writing || this->phase != Phase::kAnswer) {
    return;
  }
  if (this->is_last) {
    this->Linger();
    return;
  }
  this->phase = Phase::kHead;
  this->since = EventLoop::Now();
  this->idle_since = this->since;
  if (h2o_socket_is_reading(this->socket) == 0) {
    this->Start();
  }
  this->ReadMore();
}

// Closing a socket with unread input resets the connection, and the caller may
// receive the reset before the answer. So only the sending side is closed, and
// further input is read and discarded.
void IngressConnection::Linger() {
  this->phase = Phase::kLingering;
  this->since = EventLoop::Now();
  this->taken_at = this->since;
  this->exchange = nullptr;
  this->ResetOnClose(false);
  shutdown(this->descriptor(), SHUT_WR);
  if (h2o_socket_is_reading(this->socket) == 0) {
    this->Start();
  }
}

void IngressConnection::ResetOnClose(bool is_reset) {
  if (std::exchange(this->is_reset_on_close, is_reset) == is_reset) {
    return;
  }
  const linger option{.l_onoff = is_reset ? 1 : 0, .l_linger = 0};
  setsockopt(this->descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

Duration IngressConnection::CheckDelivery(TimePoint now) {
  const auto taken = AcknowledgedBytes(this->descriptor());
  if (taken != this->taken_bytes) {
    this->delivery_hold.RecordProgress(
        taken.value_or(0) -
        std::min(this->taken_bytes.value_or(0), taken.value_or(0)));
    this->taken_bytes = taken;
    this->taken_at = now;
  }
  return now - this->taken_at;
}

void IngressConnection::CheckLingering(TimePoint now) {
  // A caller that reads slowly has taken no more than a part by then.
  const bool is_taken =
      now - this->since > kLingerTime && this->unacknowledged_bytes() == 0;
  const bool is_given_up = this->CheckDelivery(now) > this->longest_idle_time();
  if (is_taken || is_given_up) {
    this->Close();
  }
}

}  // namespace bramleyspan::http
