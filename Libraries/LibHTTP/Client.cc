#include "LibHTTP/Client.h"

#include <utility>

namespace bramleyspan::http {

namespace {

ErrorCode CodeOf(CallEnd end, bool has_head) {
  switch (end) {
    case CallEnd::kNotSent:
      return ErrorCode::kConnectionFailed;
    case CallEnd::kTimeout:
      return ErrorCode::kTimeout;
    case CallEnd::kTooLong:
      return ErrorCode::kTooLarge;
    case CallEnd::kWhole:
    case CallEnd::kClosed:
    case CallEnd::kMalformed:
    case CallEnd::kTruncated:
      break;
  }
  return has_head ? ErrorCode::kTruncated : ErrorCode::kConnectionClosed;
}

}  // namespace

DirectRequest Client::ToDirectRequest(ClientRequest request) {
  HeaderList headers{{"host", Format(request.target)}};
  headers.insert(headers.end(),
                 std::make_move_iterator(request.headers.begin()),
                 std::make_move_iterator(request.headers.end()));
  const bool is_shared = request.connection_use == ConnectionUse::kShared;
  return {.target = request.target,
          .method = std::move(request.method),
          .path = std::move(request.path),
          .headers = std::move(headers),
          .body = std::move(request.body),
          .connect_timeout = request.timeout,
          .timeout = request.timeout,
          .connection_pool = is_shared ? &this->connections : nullptr};
}

std::shared_ptr<ClientCall> Client::Start(DirectRequest request,
                                          ClientEvents events) {
  auto has_head = std::make_shared<bool>(false);
  DirectEvents direct;
  direct.on_head = [has_head, on_head = std::move(events.on_head)](
                       const AnswerHead& head, const MessageFraming&) {
    *has_head = true;
    on_head({.status = head.status, .headers = head.headers});
  };
  direct.on_bytes = std::move(events.on_bytes);
  direct.on_end = [has_head, on_end = std::move(events.on_end),
                   target = Format(request.target)](CallEnd end) {
    if (end == CallEnd::kWhole) {
      on_end(Succeed());
    } else {
      on_end(Fail(CodeOf(end, *has_head), target, std::string(NameOf(end))));
    }
  };
  return DirectCall::Start(this->loop, std::move(request), std::move(direct));
}

std::shared_ptr<ClientCall> Client::Stream(ClientRequest request,
                                           ClientEvents events) {
  return this->Start(this->ToDirectRequest(std::move(request)),
                     std::move(events));
}

std::shared_ptr<ClientCall> Client::Fetch(
    ClientRequest request,
    std::function<void(Result<Response>)> on_done) {
  auto response = std::make_shared<Response>();
  ClientEvents events;
  events.on_head = [response](ResponseHead head) {
    response->status = head.status;
    response->headers = std::move(head.headers);
  };
  events.on_bytes = [response](std::string_view bytes) {
    response->body.append(bytes);
  };
  events.on_end = [response,
                   on_done = std::move(on_done)](const Result<void>& outcome) {
    if (outcome.has_error()) {
      on_done(boost::outcome_v2::failure(outcome.error()));
      return;
    }
    on_done(std::move(*response));
  };
  DirectRequest direct = this->ToDirectRequest(std::move(request));
  direct.max_body_bytes = kMaxFetchedBytes;
  return this->Start(std::move(direct), std::move(events));
}

}  // namespace bramleyspan::http
