#include "Services/bramleyspand/Rank/Orders.h"

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

constexpr Duration kFarCallTimeout = std::chrono::milliseconds(700);
// An agent that has said nothing for so long while the group is held is left
// aside: its server gets its order from here.
constexpr Duration kSilentAgent = std::chrono::milliseconds(300);
// An order that was not answered may be lost, and the whole group may wait for
// it: it is sent again soon. One that was accepted takes its time.
constexpr Duration kRepeatLostAfter = std::chrono::milliseconds(40);
constexpr Duration kRepeatTakenAfter = std::chrono::milliseconds(1500);
constexpr Duration kLossRemembered = std::chrono::seconds(2);
constexpr Duration kOwnOrderTimeout = std::chrono::milliseconds(40);
constexpr Duration kRelayedOrderTimeout = std::chrono::milliseconds(60);
// Orders are given from here after so many gateways in a row passed none on.
constexpr int kRelaysTried = 3;
constexpr Duration kRelayPause = std::chrono::milliseconds(500);
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr Duration kFarOrderInterval = std::chrono::milliseconds(500);

}  // namespace

void Orders::SendOwn(const Order& order, TimePoint now) {
  if (this->is_underway || this->is_repeat(order, now)) {
    return;
  }
  this->is_underway = true;
  const auto relay =
      this->is_relayed(order, now) ? this->PickRelay() : std::nullopt;
  if (relay) {
    this->SendOwnByRelay(*relay, order);
    return;
  }
  this->Send(*this->state.fleet().engine, order, kOwnOrderTimeout,
             [this](bool is_taken, bool is_answered) {
               this->HandleOwnEnded(is_taken, is_answered);
             });
}

void Orders::HandleOwnEnded(bool is_taken, bool is_answered) {
  this->is_last_taken = is_taken;
  if (!is_answered) {
    this->last_lost = EventLoop::Now();
  }
  this->is_underway = false;
  this->on_own_ended();
}

// The holder's hold and arm, and the owner's arm: if the machine froze right
// after giving one, nobody could reach the rank or know how it stands.
bool Orders::is_relayed(const Order& order, TimePoint now) const {
  if (now < this->no_relay_until) {
    return false;
  }
  const mapswitch::RankStatus& own = *this->state.own;
  return std::holds_alternative<mapswitch::Hold>(order.body) ||
         (std::holds_alternative<mapswitch::Arm>(order.body) &&
          (own.held != 0 || own.rank == 0));
}

std::optional<Address> Orders::PickRelay() {
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

void Orders::SendOwnByRelay(const Address& relay, const Order& order) {
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
        // A gateway that says that the server did not answer has done its part.
        const bool is_relayed =
            end == CallEnd::kWhole && response.status != kNotFound;
        Log(LogLevel::kInfo, "rank", "relayed_order_ended",
            {{"order", kind},
             {"relay", Format(relay)},
             {"end", std::string(http::NameOf(end))},
             {"status", std::to_string(response.status)}});
        this->relays_failed = is_relayed ? 0 : this->relays_failed + 1;
        if (this->relays_failed >= kRelaysTried) {
          this->relays_failed = 0;
          this->no_relay_until = EventLoop::Now() + kRelayPause;
        }
        this->HandleOwnEnded(
            is_relayed && (response.status == 200 || response.status == 202),
            response.status != kBadGateway);
      });
}

void Orders::SendFar(const Address& server, const Order& order) {
  this->Send(server, order, kFarCallTimeout, [](bool, bool) {});
}

// A rank that copies reports neither that it is busy nor that the map is
// prepared, and would be ordered again at each reading.
bool Orders::is_repeat(const Order& order, TimePoint now) {
  const std::string written = this->state.adapter.write_order(order);
  const Duration wait =
      this->is_last_taken ? kRepeatTakenAfter : kRepeatLostAfter;
  if (written == this->last_order && now - this->last_order_at < wait) {
    return true;
  }
  this->last_order = written;
  this->last_order_at = now;
  this->is_last_taken = false;
  return false;
}

void Orders::Send(const Address& server,
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
        const bool is_taken =
            is_answered && (response.status == 200 || response.status == 202);
        on_ended(is_taken, is_answered);
      });
}

void Orders::OrderSilentRanks(TimePoint now) {
  if (now - this->last_far_order < kFarOrderInterval) {
    return;
  }
  this->last_far_order = now;
  for (const auto& [rank, info] : this->state.ranks) {
    const auto& heard = this->state.map_switch.ranks.at(rank);
    if (heard && now - heard->heard < kSilentAgent) {
      continue;
    }
    http::DirectCall::Fetch(
        this->state.loop,
        {.target = info.server,
         .path = this->state.adapter.report_path,
         .headers = {{"host", Format(info.server)}},
         .timeout = kFarCallTimeout},
        [this, server = info.server](CallEnd end,
                                     const http::Response& response) {
          if (end == CallEnd::kWhole && response.status == 200) {
            this->HandleFarReport(server, response.body);
          }
        });
  }
}

void Orders::HandleFarReport(const Address& server, const std::string& body) {
  const auto status = this->state.adapter.parse_report(body);
  if (status.has_error()) {
    return;
  }
  mapswitch::HandleStatus(this->state.map_switch, status.value(),
                          EventLoop::Now());
  const auto order =
      mapswitch::NextOrder(this->state.map_switch.wish, status.value());
  if (order) {
    this->SendFar(server, *order);
  }
}

bool Orders::is_losing(TimePoint now) const {
  return now - this->last_lost < kLossRemembered;
}

}  // namespace bramleyspan::rankd
