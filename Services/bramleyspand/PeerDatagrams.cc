#include "Services/bramleyspand/PeerDatagrams.h"

#include <utility>

#include "LibTelemetry/Log.h"
#include "LibTelemetry/Metrics.h"

namespace bramleyspan {

namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr telemetry::MetricName kDatagrams{
    "bramleyspan_datagrams_total",
    "Datagrams between processes of the system, by direction and kind."};
constexpr telemetry::MetricName kDatagramBytes{
    "bramleyspan_datagram_bytes_total",
    "Bytes of these datagrams, without headers, by direction and kind."};
constexpr Duration kUnreadableLogInterval = std::chrono::seconds(5);

void CountDatagram(const char* direction, std::string_view kind, size_t bytes) {
  const telemetry::Labels labels{{"direction", direction},
                                 {"kind", std::string(kind)}};
  telemetry::Count(kDatagrams, labels);
  telemetry::Count(kDatagramBytes, labels, static_cast<double>(bytes));
}

}  // namespace

Result<std::unique_ptr<PeerDatagrams>> PeerDatagrams::Bind(
    EventLoop& loop,
    const Address& address,
    OnMessage on_message) {
  std::unique_ptr<PeerDatagrams> peers(new PeerDatagrams(address.port));
  peers->on_message = std::move(on_message);
  peers->datagrams =
      TRY(Datagrams::Bind(loop, address,
                          [peers = peers.get()](const std::string& from_ip,
                                                std::string_view bytes) {
                            peers->Receive(from_ip, bytes);
                          }));
  return peers;
}

void PeerDatagrams::Send(const std::string& ip, std::string_view bytes) {
  const auto* message = membership::wire::GetMessage(bytes.data());
  CountDatagram("sent", membership::wire::EnumNameBody(message->body_type()),
                bytes.size());
  this->datagrams->Send({ip, this->port}, bytes);
}

void PeerDatagrams::Receive(const std::string& from_ip,
                            std::string_view bytes) {
  const auto message = membership::Decode(bytes);
  if (message.has_error()) {
    CountDatagram("received", "unreadable", bytes.size());
    const TimePoint now = EventLoop::Now();
    if (now - this->logged_unreadable > kUnreadableLogInterval) {
      this->logged_unreadable = now;
      Log(LogLevel::kWarning, "members", "datagram_unreadable",
          {{"from", from_ip}, {"bytes", std::to_string(bytes.size())}});
    }
    return;
  }
  CountDatagram("received",
                membership::wire::EnumNameBody(message.value().body.type),
                bytes.size());
  this->on_message(from_ip, message.value());
}

}  // namespace bramleyspan
