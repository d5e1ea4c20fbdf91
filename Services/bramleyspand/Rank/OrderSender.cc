#include "Services/bramleyspand/Rank/OrderSender.h"

#include <utility>
#include <variant>
#include <vector>

#include "LibTelemetry/Log.h"

namespace bramleyspan::rankd {

namespace {

using http::CallEnd;
using mapswitch::Order;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kRemoteCallTimeout = std::chrono::milliseconds(700);
// If an agent has sent nothing for so long while the group is held, its server
// gets its orders from here.
constexpr Duration kAgentUnresponsiveAfter = std::chrono::milliseconds(300);
// An order that was not answered may be lost while the whole group waits for
// it, so it is repeated soon. An accepted one takes time to be carried out.
constexpr Duration kRepeatLostAfter = std::chrono::milliseconds(40);
constexpr Duration kRepeatAcceptedAfter = std::chrono::milliseconds(1500);
constexpr Duration kLossWindow = std::chrono::seconds(2);
constexpr Duration kOwnOrderTimeout = std::chrono::milliseconds(40);
constexpr Duration kRelayedOrderTimeout = std::chrono::milliseconds(60);
// After so many consecutive failures to relay, orders are sent directly.
constexpr int kMaxFailedRelays = 3;
constexpr Duration kRelayCooldown = std::chrono::milliseconds(500);
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr Duration kRemotePollInterval = std::chrono::milliseconds(500);

}  // namespace

void OrderSender::SendOwn(const Order& order, TimePoint now) {
  if (this->is_order_pending || this->is_repeat(order, now)) {
    return;
  }
  this->is_order_pending = true;
  const auto relay =
      this->is_relayed(order, now) ? this->PickRelay() : std::nullopt;
  if (relay) {
    this->SendOwnByRelay(*relay, order);
    return;
  }
  this->Send(*this->state.fleet().engine, order, kOwnOrderTimeout,
             [this](bool is_accepted, bool is_answered) {
               this->HandleOwnOrderEnded(is_accepted, is_answered);
             });
}

void OrderSender::HandleOwnOrderEnded(bool is_accepted, bool is_answered) {
  this->is_last_accepted = is_accepted;
  if (!is_answered) {
    this->last_lost_at = EventLoop::Now();
  }
  this->is_order_pending = false;
  this->on_own_order_ended();
}

// Whether the order is relayed: the holder's hold and arm, and the owner's arm.
// If the machine froze right after sending one itself, no other agent could
// reach the rank or know its state.
bool OrderSender::is_relayed(const Order& order, TimePoint now) const {
  if (now < this->no_relay_until) {
    return false;
  }
  const mapswitch::RankStatus& own = *this->state.own;
  return std::holds_alternative<mapswitch::Hold>(order.body) ||
         (std::holds_alternative<mapswitch::Arm>(order.body) &&
          (own.held != 0 || own.rank == 0));
}

std::optional<Address> OrderSender::PickRelay() {
  std::vector<std::string> ips;
  for (const auto& [name, known] : this->state.members.known) {
    if (known.member.is_entry) {
      ips.push_back(known.member.ip);
    }
  }
  if (ips.empty()) {
    return std::nullopt;
  }
  return Address{ips[++this->relays_tried % ips.size()],
                 this->state.fleet().peer_port};
}

void OrderSender::SendOwnByRelay(const Address& relay, const Order& order) {
  const std::string kind = mapswitch::NameOf(order.body);
  http::DirectCall::Fetch(
      this->state.loop,
      {.target = relay,
       .method = "POST",
       .path = "/v1/orders?address=" + Format(*this->state.fleet().engine),
       .headers = {{"host", Format(relay)},
                   {"content-type", "application/json"}},
       .body = this->state.adapter.write_order(order),
       .timeout = kRelayedOrderTimeout},
      [this, kind, relay](CallEnd end, const http::Response& response) {
        // A gateway that answers that the server did not respond has relayed
        // the order.
        const bool is_relayed =
            end == CallEnd::kWhole && response.status != kNotFound;
        Log(LogLevel::kInfo, "rank", "relayed_order_ended",
            {{"order", kind},
             {"relay", Format(relay)},
             {"end", std::string(http::NameOf(end))},
             {"status", std::to_string(response.status)}});
        this->relays_failed = is_relayed ? 0 : this->relays_failed + 1;
        if (this->relays_failed >= kMaxFailedRelays) {
          this->relays_failed = 0;
          this->no_relay_until = EventLoop::Now() + kRelayCooldown;
        }
        this->HandleOwnOrderEnded(
            is_relayed && (response.status == 200 || response.status == 202),
            response.status != kBadGateway);
      });
}

void OrderSender::SendRemote(const Address& server, const Order& order) {
  this->Send(server, order, kRemoteCallTimeout, [](bool, bool) {});
}

// A rank that copies experts reports neither that it is busy nor that the map
// is prepared; it would get the same order again after each poll.
bool OrderSender::is_repeat(const Order& order, TimePoint now) {
  const std::string written = this->state.adapter.write_order(order);
  const Duration wait =
      this->is_last_accepted ? kRepeatAcceptedAfter : kRepeatLostAfter;
  if (written == this->last_order && now - this->last_order_at < wait) {
    return true;
  }
  this->last_order = written;
  this->last_order_at = now;
  this->is_last_accepted = false;
  return false;
}

void OrderSender::Send(const Address& server,
                       const Order& order,
                       Duration timeout,
                       OnEnded on_ended) {
  const std::string kind = mapswitch::NameOf(order.body);
  const bool is_own = server == *this->state.fleet().engine;
  http::DirectCall::Fetch(
      this->state.loop,
      {.target = server,
       .method = "POST",
       .path = this->state.adapter.order_path,
       .headers = {{"host", Format(server)},
                   {"content-type", "application/json"}},
       .body = this->state.adapter.write_order(order),
       .timeout = timeout,
       .connection_pool = is_own ? &this->state.connection_pool : nullptr},
      [kind, server, order, on_ended = std::move(on_ended)](
          CallEnd end, const http::Response& response) {
        const bool is_answered = end == CallEnd::kWhole;
        Log(LogLevel::kInfo, "rank", "order_ended",
            {{"order", kind},
             {"server", Format(server)},
             {"expected_sequence", std::to_string(order.expected_sequence)},
             {"end", std::string(http::NameOf(end))},
             {"status", std::to_string(is_answered ? response.status : 0)}});
        const bool is_accepted =
            is_answered && (response.status == 200 || response.status == 202);
        on_ended(is_accepted, is_answered);
      });
}

void OrderSender::OrderUnresponsiveRanks(TimePoint now) {
  if (now - this->last_remote_poll < kRemotePollInterval) {
    return;
  }
  this->last_remote_poll = now;
  for (const auto& [rank, info] : this->state.ranks) {
    const auto& known = this->state.map_switch.ranks.at(rank);
    if (known && now - known->received_at < kAgentUnresponsiveAfter) {
      continue;
    }
    http::DirectCall::Fetch(
        this->state.loop,
        {.target = info.server,
         .path = this->state.adapter.report_path,
         .headers = {{"host", Format(info.server)}},
         .timeout = kRemoteCallTimeout},
        [this, server = info.server](CallEnd end,
                                     const http::Response& response) {
          if (end == CallEnd::kWhole && response.status == 200) {
            this->HandleRemoteReport(server, response.body);
          }
        });
  }
}

void OrderSender::HandleRemoteReport(const Address& server,
                                     const std::string& body) {
  const auto status = this->state.adapter.parse_report(body);
  if (status.has_error()) {
    return;
  }
  mapswitch::HandleStatus(this->state.map_switch, status.value(),
                          EventLoop::Now());
  const auto order =
      mapswitch::NextOrder(this->state.map_switch.desired_map, status.value());
  if (order) {
    this->SendRemote(server, *order);
  }
}

bool OrderSender::has_lost_order(TimePoint now) const {
  return now - this->last_lost_at < kLossWindow;
}

}  // namespace bramleyspan::rankd
