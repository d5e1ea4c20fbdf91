// Tells whether the process that answers a request still runs when its answer
// has ended.
//
// Failure: a server dies in the middle of an answer that has no length, behind
// a network partition, and starts again. When the partition heals, its system's
// close of the connection arrives like the end of a whole answer, and its
// address accepts connections. A connection that was accepted by the process
// that died is closed as well, whoever has the address since; so a witness is a
// second connection, opened beside the request's, on which that process has to
// answer after the end.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "LibHTTP/DirectCall.h"

namespace bramleyspan::http {

enum class WitnessVerdict {
  // The process that accepted the witness runs.
  kRuns,
  // It has ended, or was not heard in time.
  kEnded,
  // The connection was refused, so that there is no witness.
  kNone,
};

class Witness : public std::enable_shared_from_this<Witness> {
 public:
  // Opens the connection; it has to be accepted within `connect_timeout`, or
  // another process may have accepted it.
  static std::shared_ptr<Witness> Open(EventLoop& loop,
                                       const Address& server,
                                       const std::string& path,
                                       Duration connect_timeout);
  ~Witness();
  Witness(const Witness&) = delete;
  Witness& operator=(const Witness&) = delete;

  // Sends the request for `path`; whatever is answered shows that the process
  // runs. To be asked once. `on_verdict` is called later.
  void Ask(Duration timeout, std::function<void(WitnessVerdict)> on_verdict);

 private:
  explicit Witness(EventLoop& loop) : loop(loop) {}
  void HandleEnd(CallEnd end);
  void Conclude(WitnessVerdict verdict);

  EventLoop& loop;
  std::shared_ptr<DirectCall> call;
  TimePoint opened_at;
  Duration connect_timeout{};
  // Set once the connection has failed or was closed.
  std::optional<WitnessVerdict> known;
  std::function<void(WitnessVerdict)> on_verdict;
  TimerId timer = 0;
};

}  // namespace bramleyspan::http
