#include "Services/bramleyspand/LinkDoor.h"

#include <algorithm>
#include <utility>

#include "LibHTTP/CallerGuard.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan {

namespace {

constexpr Duration kLongestStay = std::chrono::seconds(5);
constexpr Duration kCheckInterval = std::chrono::seconds(1);
// The part of the descriptors that strangers may have.
constexpr uint64_t kStrangersDivisor = 8;
constexpr size_t kMinStrangers = 8;

}  // namespace

Result<std::unique_ptr<LinkDoor>> LinkDoor::Open(EventLoop& loop,
                                                 const Settings& settings,
                                                 Accept accept) {
  const size_t max_strangers = std::max<size_t>(
      kMinStrangers, settings.max_descriptors / kStrangersDivisor);
  std::unique_ptr<LinkDoor> door(
      new LinkDoor(loop, max_strangers, std::move(accept)));
  door->listener = TRY(Listener::Listen(
      loop, {settings.ip, settings.link_port},
      [self = door.get()](h2o_socket_t* socket) {
        self->HandleAccepted(socket);
      },
      http::kReceiveBytes));
  door->CheckPeriodically();
  return door;
}

LinkDoor::~LinkDoor() {
  this->loop.Cancel(this->timer);
}

void LinkDoor::HandleAccepted(h2o_socket_t* socket) {
  if (this->strangers.size() >= this->max_strangers) {
    this->Prune();
  }
  if (this->strangers.size() >= this->max_strangers) {
    this->TurnAway(this->strangers.front(), "too_many_connections");
    this->strangers.pop_front();
  }
  this->strangers.push_back({this->accept(socket), EventLoop::Now()});
}

void LinkDoor::Prune() {
  this->strangers.remove_if([](const Stranger& stranger) {
    return !stranger.connection->is_open() ||
           stranger.connection->has_received();
  });
}

void LinkDoor::TurnAway(const Stranger& stranger, const std::string& cause) {
  telemetry::Log(telemetry::LogLevel::kWarning, "clients", "turned_away",
                 {{"port", "links"}, {"cause", cause}});
  stranger.connection->ShutDown();
}

void LinkDoor::CheckPeriodically() {
  this->Prune();
  const TimePoint now = EventLoop::Now();
  while (!this->strangers.empty() &&
         now - this->strangers.front().since > kLongestStay) {
    this->TurnAway(this->strangers.front(), "too_slow");
    this->strangers.pop_front();
  }
  this->timer = this->loop.RunAfter(kCheckInterval,
                                    [this] { this->CheckPeriodically(); });
}

}  // namespace bramleyspan
