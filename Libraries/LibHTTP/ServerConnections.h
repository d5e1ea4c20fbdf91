// The connections of a server over h2o, which tells nothing of a request that
// is still coming, nor of an answer that its caller has not taken.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/H2o.h"
#include "Kernel/Time.h"
#include "LibHTTP/CallerGuard.h"

namespace bramleyspan::http {

// How many connections of a server are busy with what. A connection with an
// open exchange is none of these.
struct ServerWork {
  size_t idle = 0;
  // A request whose head or body is still coming.
  size_t reading = 0;
  // An answer that has ended, of which its caller's machine has not taken all.
  size_t delivering = 0;
};

class ServerConnections;

struct ServerConnection {
  ServerConnection(ServerConnections& owner, h2o_socket_t* socket)
      : owner(owner), socket(socket) {}
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  ServerConnections& owner;
  // Null once h2o has closed it.
  h2o_socket_t* socket;
  // A second descriptor, which keeps the connection when h2o closes its own; -1
  // before the drain.
  int kept = -1;
  // Exchanges that have not ended.
  size_t open = 0;
  bool has_had_exchange = false;
  bool is_http2 = false;
  // Bytes that h2o had read at the last check.
  size_t bytes_read = 0;
  // Counts what h2o holds of requests that are coming.
  memory::Hold hold;
  size_t bytes_read_by_hold = 0;
  // What is announced of the request that is coming, once its head has come.
  std::optional<size_t> announced_bytes;
  // Bytes of HTTP/2 that requests have used.
  size_t used_bytes = 0;
  // Whether it was shut down and h2o has yet to close it.
  bool is_shut = false;
  TimePoint busy_at;
  TimePoint closed_at;
};

class ServerConnections {
 public:
  // Adds a connection before h2o gets it.
  void Add(h2o_socket_t* socket);

  // Records that an exchange begins or ends on a connection.
  void BeginExchange(h2o_socket_t* socket, bool is_http2, size_t body_bytes);
  void EndExchange(h2o_socket_t* socket);

  // From now on a connection that h2o closes stays until its caller's machine
  // has taken its last answer.
  void StartDrain();

  ServerWork CountWork() const;

  // Closes the connections that have been idle for so long; those of HTTP/2
  // after two seconds at the earliest, since h2o hides the requests that come
  // there.
  void CloseIdle(Duration idle_for);

  // Answers the requests that are still coming with these bytes, without
  // reading the rest. Those of HTTP/2 stay.
  void RefuseReading(std::string_view answer);

  // Closes connections that are used for little, if there are as many as there
  // may be. Returns whether another one may be added.
  bool MakePlace();

  // Counts what is held of the requests that are coming, and refuses those for
  // which there is no room. To be called repeatedly.
  void CheckHeld();

  // Closes a connection whatever is open on it.
  void Close(h2o_socket_t* socket, TurnedAwayCause cause);

  // What bounds all callers together, and the answer to those that are refused.
  CallerGuard guard;
  std::string refusal;

  // Ends connections whose last answer is delivered. To be called repeatedly
  // from StartDrain on.
  void Check();

 private:
  void HandleClosed(h2o_socket_t* socket);
  void CheckHeld(ServerConnection& connection);
  // Answers the request that is coming without reading the rest.
  void Refuse(ServerConnection& connection, TurnedAwayCause cause);
  void HandleEnded(h2o_socket_t* socket);

  std::map<h2o_socket_t*, std::unique_ptr<ServerConnection>> connections;
  // Closed by h2o; they wait for their callers.
  std::vector<std::unique_ptr<ServerConnection>> lingering;
  bool is_draining = false;
};

}  // namespace bramleyspan::http
