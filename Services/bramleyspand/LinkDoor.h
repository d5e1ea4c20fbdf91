// Accepts connections of the system's own processes.
#pragma once

#include <functional>
#include <list>
#include <memory>

#include "Kernel/Listener.h"
#include "LibWire/Connection.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// A connection is a stranger's until its first frame has come. Strangers have
// little time and are few, so that they can't use up the descriptors: the one
// that has been here longest leaves for the next one.
class LinkDoor {
 public:
  // Returns the connection that was made of an accepted socket.
  using Accept =
      std::function<std::shared_ptr<wire::Connection>(h2o_socket_t*)>;

  // Listens at the link port. Fails with kConnectionFailed.
  static Result<std::unique_ptr<LinkDoor>> Open(EventLoop& loop,
                                                const Settings& settings,
                                                Accept accept);
  ~LinkDoor();
  LinkDoor(const LinkDoor&) = delete;
  LinkDoor& operator=(const LinkDoor&) = delete;

 private:
  struct Stranger {
    std::shared_ptr<wire::Connection> connection;
    TimePoint since;
  };

  LinkDoor(EventLoop& loop, size_t max_strangers, Accept accept)
      : loop(loop), max_strangers(max_strangers), accept(std::move(accept)) {}
  void HandleAccepted(h2o_socket_t* socket);
  // Forgets those that have left or introduced themselves.
  void Prune();
  void TurnAway(const Stranger& stranger, const std::string& cause);
  void CheckPeriodically();

  EventLoop& loop;
  size_t max_strangers;
  Accept accept;
  // The one that has been here longest first.
  std::list<Stranger> strangers;
  TimerId timer = 0;
  std::unique_ptr<Listener> listener;
};

}  // namespace bramleyspan
