// Sends orders from a rank's agent to the model server beside it, and to
// servers whose own agents are unresponsive.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class OrderSender {
 public:
  // `on_own_order_ended` is called when an order to the own server has ended.
  OrderSender(RankState& state, std::function<void()> on_own_order_ended)
      : state(state), on_own_order_ended(std::move(on_own_order_ended)) {}
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  // Sends an order to the own server, unless one is pending or the same one was
  // sent recently. An order that the group would wait for if this machine froze
  // is relayed by a gateway if one answers.
  void SendOwn(const mapswitch::Order& order, TimePoint now);

  // Sends an order to another agent's server.
  void SendRemote(const Address& server, const mapswitch::Order& order);

  // Polls the servers of ranks whose agents are unresponsive and sends them
  // their orders, since the group waits for them. Remote calls cost more than
  // local ones.
  void OrderUnresponsiveRanks(TimePoint now);

  // Whether an order to the own server was lost recently.
  bool has_lost_order(TimePoint now) const;

 private:
  using OnEnded = std::function<void(bool is_accepted, bool is_answered)>;

  bool is_repeat(const mapswitch::Order& order, TimePoint now);
  void HandleOwnOrderEnded(bool is_accepted, bool is_answered);
  void Send(const Address& server,
            const mapswitch::Order& order,
            Duration timeout,
            OnEnded on_ended);
  bool is_relayed(const mapswitch::Order& order, TimePoint now) const;
  // Returns a gateway to relay an order, another one each time, or nothing if
  // none is known.
  std::optional<Address> PickRelay();
  void SendOwnByRelay(const Address& relay, const mapswitch::Order& order);
  void HandleRemoteReport(const Address& server, const std::string& body);

  RankState& state;
  std::function<void()> on_own_order_ended;
  bool is_order_pending = false;
  std::string last_order;
  TimePoint last_order_at;
  TimePoint last_lost_at;
  bool is_last_accepted = false;
  TimePoint last_remote_poll;
  size_t relays_tried = 0;
  // Number of consecutive orders that the chosen gateway did not relay.
  int relays_failed = 0;
  // No gateway is tried before this time.
  TimePoint no_relay_until;
};

}  // namespace bramleyspan::rankd
