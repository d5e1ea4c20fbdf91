// Answers that a server gives before it has taken a long upload.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Kernel/EventLoop.h"

namespace bramleyspan::standins {

// What a server does with the connection once it has sent its answer.
enum class AfterAnswer {
  // Resets it.
  kReset,
  // Resets it a little later.
  kResetLater,
  // Closes its sending side, and resets the connection a little later.
  kEndThenReset,
  // Closes its sending side, takes the upload, and closes the connection.
  kEndThenTake,
  // Closes its sending side, and neither reads nor closes the connection.
  kEndThenKeep,
  // Closes the connection, which resets it if there are unread bytes, or as
  // soon as further ones come.
  kClose,
  // Keeps it as it is; further bytes come to whoever reads it.
  kKeep,
};

// Returns what "reset", "reset-later", "end-then-reset", "end-then-take",
// "end-then-keep", "close" or "keep" stand for; nullopt for other names.
std::optional<AfterAnswer> ParseAfterAnswer(std::string_view name);

// Sends an answer of a few KB on a connection whose request is still coming,
// and takes the connection over, except with kKeep.
void AnswerEarly(EventLoop& loop,
                 h2o_socket_t* socket,
                 const std::string& answer,
                 AfterAnswer after);

}  // namespace bramleyspan::standins
