#include "StandIns/EarlyAnswers.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "Kernel/SocketBytes.h"

namespace bramleyspan::standins {

namespace {

// What is a little later.
constexpr Duration kResetDelay = std::chrono::milliseconds(20);

constexpr std::array<std::pair<std::string_view, AfterAnswer>, 7> kNames{{
    {"reset", AfterAnswer::kReset},
    {"reset-later", AfterAnswer::kResetLater},
    {"end-then-reset", AfterAnswer::kEndThenReset},
    {"end-then-take", AfterAnswer::kEndThenTake},
    {"end-then-keep", AfterAnswer::kEndThenKeep},
    {"close", AfterAnswer::kClose},
    {"keep", AfterAnswer::kKeep},
}};

void Reset(h2o_socket_t* socket) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset,
             sizeof reset);
  h2o_socket_close(socket);
}

void TakeUpload(h2o_socket_t* source, const char* failure) {
  ConsumeInput(source, source->input->size);
  if (failure != nullptr) {
    h2o_socket_close(source);
  }
}

}  // namespace

std::optional<AfterAnswer> ParseAfterAnswer(std::string_view name) {
  const auto* found = std::ranges::find(
      kNames, name, &std::pair<std::string_view, AfterAnswer>::first);
  return found == kNames.end() ? std::nullopt : std::optional(found->second);
}

void AnswerEarly(EventLoop& loop,
                 h2o_socket_t* socket,
                 const std::string& answer,
                 AfterAnswer after) {
  const int descriptor = h2o_socket_get_fd(socket);
  ConsumeInput(socket, socket->input->size);
  send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
  if (after == AfterAnswer::kKeep) {
    return;
  }
  h2o_socket_read_stop(socket);
  switch (after) {
    case AfterAnswer::kReset:
      Reset(socket);
      return;
    case AfterAnswer::kEndThenReset:
      shutdown(descriptor, SHUT_WR);
      [[fallthrough]];
    case AfterAnswer::kResetLater:
      loop.RunAfter(kResetDelay, [socket] { Reset(socket); });
      return;
    case AfterAnswer::kEndThenTake:
      shutdown(descriptor, SHUT_WR);
      h2o_socket_read_start(socket, TakeUpload);
      return;
    case AfterAnswer::kEndThenKeep:
      shutdown(descriptor, SHUT_WR);
      return;
    case AfterAnswer::kClose:
      h2o_socket_close(socket);
      return;
    case AfterAnswer::kKeep:
      return;
  }
}

}  // namespace bramleyspan::standins
