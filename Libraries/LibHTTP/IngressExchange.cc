#include <utility>

#include "LibHTTP/AnswerText.h"
#include "LibHTTP/Ingress.h"
#include "LibHTTP/IngressConnection.h"

namespace bramleyspan::http {

bool IngressExchange::MayPerform(AnswerStep step) {
  if (this->is_closed()) {
    return false;
  }
  const StepOutcome outcome = Advance(this->phase, step);
  if (outcome == StepOutcome::kCut) {
    this->disconnect_callback = nullptr;
    this->connection->ResetOnClose(!this->is_chunked);
    this->connection->Close();
  }
  return outcome == StepOutcome::kPerform;
}

std::shared_ptr<IngressConnection> IngressExchange::Detach() {
  auto channel = this->connection->shared_from_this();
  this->disconnect_callback = nullptr;
  this->connection = nullptr;
  channel->exchange = nullptr;
  channel->is_answered = true;
  return channel;
}

void IngressExchange::Respond(int status,
                              const HeaderList& headers,
                              std::string body,
                              memory::Hold hold) {
  if (!this->MayPerform(AnswerStep::kRespond)) {
    return;
  }
  const auto channel = this->Detach();
  channel->is_last = channel->is_last || channel->server.is_draining;
  Append(
      channel->outgoing,
      SerializeHead(status, headers,
                    "content-length: " + std::to_string(body.size()) + "\r\n",
                    channel->is_last));
  if (hold.is_counted()) {
    channel->delivery_hold = std::move(hold);
    channel->delivery_hold.SetStage(
        memory::Stage::kDelivering,
        channel->CallLater(&IngressConnection::HandleDeliveryEnded));
  }
  channel->Send(std::move(body));
  if (!channel->CountOutgoing()) {
    channel->TurnAway(TurnedAwayCause::kAnswerNotTaken);
    channel->Close();
  }
}

void IngressExchange::StartStream(int status, const HeaderList& headers) {
  if (!this->MayPerform(AnswerStep::kStartStream)) {
    return;
  }
  IngressConnection& channel = *this->connection;
  channel.is_last =
      channel.is_last || channel.server.is_draining || !this->is_chunked;
  channel.ResetOnClose(!this->is_chunked);
  channel.Send(SerializeHead(
      status, headers, this->is_chunked ? "transfer-encoding: chunked\r\n" : "",
      channel.is_last));
}

void IngressExchange::Write(std::string_view bytes) {
  if (bytes.empty() || !this->MayPerform(AnswerStep::kWrite)) {
    return;
  }
  IngressConnection& channel = *this->connection;
  channel.Send(this->is_chunked ? ChunkOf(bytes) : std::string(bytes));
  // Bounds the memory that a caller can use by reading more slowly than the
  // back end writes. The caller's answer is truncated.
  if (channel.outgoing.waiting_bytes >
          channel.server.limits.max_pending_bytes ||
      !channel.CountOutgoing()) {
    channel.TurnAway(TurnedAwayCause::kAnswerNotTaken);
    channel.Close();
  }
}

void IngressExchange::Finish() {
  if (!this->MayPerform(AnswerStep::kFinish)) {
    return;
  }
  const auto channel = this->Detach();
  if (this->is_chunked) {
    channel->Send("0\r\n\r\n");
  } else {
    channel->EndAnswer();
  }
}

void IngressExchange::Abort() {
  this->MayPerform(AnswerStep::kAbort);
}

}  // namespace bramleyspan::http
