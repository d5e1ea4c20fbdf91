// A caller's connection to an Ingress.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "LibHTTP/Ingress.h"

namespace bramleyspan::http {

class IngressConnection
    : public std::enable_shared_from_this<IngressConnection> {
 public:
  IngressConnection(Ingress& server, uint64_t number, h2o_socket_t* socket);

  void Start();
  void Close();
  void CheckTimeout(TimePoint now);

  // Closes the connection if it has been idle since then and no bytes of a
  // request have come.
  void CloseIfIdle(TimePoint since);

  // Answers a request without reading the rest of it, and ends the connection.
  void Refuse(int status, const HeaderList& headers);

  // What it is busy with.
  ConnectionWork work() const;

 private:
  friend class IngressExchange;
  enum class Phase { kHead, kBody, kAnswer, kLingering, kClosed };

  void HandleReadable(const char* failure);
  void ReadMore();
  void ReadHead();
  void ReadBody();
  void DispatchRequest();
  void Send(std::string_view bytes);
  void Flush();
  void HandleWritten(const char* failure);
  void EndAnswer();
  void Linger();
  // From now on the connection is reset when it is closed, by whomever, until
  // its answer is written as a whole. The caller of an answer without length or
  // chunks takes an orderly close for its end.
  void ResetOnClose(bool is_reset);
  // Returns the bytes that the system has and the caller's machine has not
  // acknowledged.
  size_t unacknowledged_bytes() const;
  std::string SerializeHead(int status,
                            const HeaderList& headers,
                            std::string_view framing) const;

  Ingress& server;
  uint64_t number = 0;
  h2o_socket_t* socket = nullptr;
  Phase phase = Phase::kHead;
  std::string input;
  std::string outgoing;
  std::string in_flight;
  bool is_writing = false;
  // Whether the connection closes after the current answer.
  bool is_last = false;
  bool is_answered = false;
  bool is_reset_on_close = false;
  std::optional<RequestHead> head;
  BodyReader body_reader;
  std::string body;
  std::shared_ptr<IngressExchange> exchange;
  // Start of the current phase, or arrival of the first bytes of a request's
  // head.
  TimePoint since;
};

}  // namespace bramleyspan::http
