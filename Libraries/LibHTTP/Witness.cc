#include "LibHTTP/Witness.h"

#include <utility>

namespace bramleyspan::http {

namespace {

// Longer than any answer; the owner of a witness drops it with the request.
constexpr Duration kLongestWait = std::chrono::minutes(10);

}  // namespace

std::shared_ptr<Witness> Witness::Open(EventLoop& loop,
                                       const Address& server,
                                       const std::string& path,
                                       Duration connect_timeout) {
  std::shared_ptr<Witness> witness(new Witness(loop));
  witness->opened_at = EventLoop::Now();
  witness->connect_timeout = connect_timeout;
  const std::weak_ptr<Witness> weak = witness;
  DirectEvents events;
  events.on_head = [weak](const AnswerHead&, const MessageFraming&) {
    if (const auto self = weak.lock()) {
      self->Conclude(WitnessVerdict::kRuns);
    }
  };
  events.on_end = [weak](CallEnd end) {
    if (const auto self = weak.lock()) {
      self->HandleEnd(end);
    }
  };
  witness->call = DirectCall::Start(loop,
                                    {.target = server,
                                     .path = path,
                                     .headers = {{"host", Format(server)}},
                                     .connect_timeout = connect_timeout,
                                     .timeout = kLongestWait,
                                     .is_sent_later = true},
                                    std::move(events));
  return witness;
}

Witness::~Witness() {
  this->loop.Cancel(this->timer);
  if (this->call != nullptr) {
    this->call->Cancel();
  }
}

void Witness::Ask(Duration timeout,
                  std::function<void(WitnessVerdict)> on_verdict) {
  this->on_verdict = std::move(on_verdict);
  if (this->known) {
    this->timer = this->loop.RunAfter(
        Duration(0),
        [self = this->shared_from_this()] { self->Conclude(*self->known); });
    return;
  }
  this->timer = this->loop.RunAfter(timeout, [self = this->shared_from_this()] {
    self->Conclude(WitnessVerdict::kEnded);
  });
  this->call->Send();
}

void Witness::HandleEnd(CallEnd end) {
  const bool is_refused =
      end == CallEnd::kNotSent &&
      EventLoop::Now() - this->opened_at < this->connect_timeout;
  this->known = is_refused ? WitnessVerdict::kNone : WitnessVerdict::kEnded;
  this->call = nullptr;
  this->Conclude(*this->known);
}

void Witness::Conclude(WitnessVerdict verdict) {
  const auto conclude = std::exchange(this->on_verdict, nullptr);
  if (!conclude) {
    return;
  }
  auto keep_until_return = this->shared_from_this();
  this->loop.Cancel(std::exchange(this->timer, 0));
  if (this->call != nullptr) {
    std::exchange(this->call, nullptr)->Cancel();
  }
  conclude(verdict);
}

}  // namespace bramleyspan::http
