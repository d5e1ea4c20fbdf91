#include "StandIns/AnswerServer.h"

#include <optional>
#include <utility>

#include "LibHTTP/Parser.h"

namespace bramleyspan::standins {

namespace {

// Time between two writes, in which the receiver reads the first one.
constexpr Duration kPause = std::chrono::milliseconds(3);

// Returns the target of a request that has come as a whole.
std::optional<std::string> TargetOf(std::string_view input) {
  const auto parsed = http::ParseRequestHead(input);
  if (parsed.has_error() || !parsed.value()) {
    return std::nullopt;
  }
  const http::RequestHead& head = *parsed.value();
  const auto framing = http::FramingOfRequest(head);
  const bool is_whole = framing.has_value() &&
                        input.size() >= head.bytes + framing.value().length;
  return is_whole ? std::optional(head.target) : std::nullopt;
}

}  // namespace

Result<std::unique_ptr<AnswerServer>>
AnswerServer::Listen(EventLoop& loop, const Address& address, Choose choose) {
  std::unique_ptr<AnswerServer> server(
      new AnswerServer(loop, address, std::move(choose)));
  server->listener = TRY(Listener::Listen(
      loop, address, [self = server.get()](h2o_socket_t* socket) {
        socket->data = self;
        h2o_socket_read_start(socket,
                              [](h2o_socket_t* source, const char* failure) {
                                static_cast<AnswerServer*>(source->data)
                                    ->HandleReadable(source, failure);
                              });
      }));
  return server;
}

Address AnswerServer::address() const {
  return {this->ip, this->listener->port()};
}

void AnswerServer::HandleReadable(h2o_socket_t* socket, const char* failure) {
  if (failure != nullptr) {
    h2o_socket_close(socket);
    return;
  }
  const auto target = TargetOf({socket->input->bytes, socket->input->size});
  if (!target) {
    return;
  }
  h2o_buffer_consume(&socket->input, socket->input->size);
  h2o_socket_read_stop(socket);
  this->answers[socket] = this->choose(*target);
  this->Write(socket);
}

void AnswerServer::Write(h2o_socket_t* socket) {
  RawAnswer& answer = this->answers.at(socket);
  const size_t length =
      answer.border == 0 ? answer.bytes.size() : answer.border;
  h2o_iovec_t bytes = h2o_iovec_init(answer.bytes.data(), length);
  h2o_socket_write(socket, &bytes, 1,
                   [](h2o_socket_t* source, const char* failure) {
                     static_cast<AnswerServer*>(source->data)
                         ->HandleWritten(source, failure);
                   });
}

void AnswerServer::HandleWritten(h2o_socket_t* socket, const char* failure) {
  RawAnswer& answer = this->answers.at(socket);
  const size_t written = std::exchange(answer.border, 0);
  if (failure != nullptr || written == 0) {
    this->answers.erase(socket);
    h2o_socket_close(socket);
    return;
  }
  answer.bytes.erase(0, written);
  this->loop.RunAfter(kPause, [this, socket] { this->Write(socket); });
}

}  // namespace bramleyspan::standins
