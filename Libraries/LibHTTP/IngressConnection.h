// A caller's connection to an Ingress.
#pragma once

#include <memory>
#include <string>

#include "LibHTTP/Ingress.h"
#include "LibHTTP/OutgoingBytes.h"
#include "LibHTTP/RequestReader.h"
#include "LibMemory/Connections.h"
#include "LibMemory/Hold.h"

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

  // Reports that a request is refused, or this connection closed.
  void TurnAway(TurnedAwayCause cause);

  // What it is busy with.
  ConnectionWork work() const;

  // What it is used for, and since when.
  memory::ConnectionUse use() const;
  TimePoint used_since() const { return this->since; }

  int descriptor() const { return h2o_socket_get_fd(this->socket); }

 private:
  friend class IngressExchange;
  enum class Phase { kHead, kBody, kAnswer, kLingering, kClosed };

  void HandleReadable(const char* failure);
  // Drops what a caller goes on to send after its last answer.
  void Discard(size_t bytes);
  void ReadMore();
  void ReadHead();
  void ReadBody();
  void HandleUnreadable(ReadOutcome outcome);
  void DispatchRequest();
  void DropRequest();

  // Counts what the request takes that is coming. Returns whether it may.
  bool CountRequest();
  void RefuseForRoom(TurnedAwayCause cause);
  // Stops reading while an answer is pending, and counts what was sent ahead.
  void HoldAhead();
  void DropAhead();
  // What came of the request was given up for others.
  void HandleRequestEnded();

  void Send(std::string bytes);
  void Flush();
  void HandleWritten(const char* failure);
  // Counts what waits for the caller. Returns whether it may.
  bool CountOutgoing();
  void HandleDeliveryEnded();
  // Returns for how long the caller has taken nothing of what waits for it.
  Duration CheckDelivery(TimePoint now);
  void CheckLingering(TimePoint now);
  Duration longest_idle_time() const;

  void EndAnswer();
  void Linger();
  // From now on the connection is reset when it is closed, by whomever, until
  // its answer is written as a whole. The caller of an answer without length or
  // chunks takes an orderly close for its end.
  void ResetOnClose(bool is_reset);
  // Returns the bytes that the system has and the caller's machine has not
  // acknowledged.
  size_t unacknowledged_bytes() const;
  std::function<void()> CallLater(void (IngressConnection::*method)());

  Ingress& server;
  uint64_t number = 0;
  h2o_socket_t* socket = nullptr;
  Phase phase = Phase::kHead;
  RequestReader reader;
  // Counts the request that is coming, or what was sent ahead of an answer.
  memory::Hold request_hold;
  OutgoingBytes outgoing;
  memory::Hold delivery_hold;
  // The caller's last progress in taking what waits for it.
  std::optional<uint64_t> taken_bytes;
  TimePoint taken_at;
  bool is_writing = false;
  // Whether the connection closes after the current answer.
  bool is_last = false;
  bool is_answered = false;
  bool is_reset_on_close = false;
  size_t discarded_bytes = 0;
  std::shared_ptr<IngressExchange> exchange;
  // Start of the current phase, or arrival of the first bytes of a request's
  // head.
  TimePoint since;
  // Start of the phase in which it is idle or a head comes.
  TimePoint idle_since;
};

}  // namespace bramleyspan::http
