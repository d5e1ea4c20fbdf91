// Orders from a rank's agent: to the server beside it, and to servers whose own
// agents have fallen silent.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "Services/bramleyspand/Rank/RankState.h"

namespace bramleyspan::rankd {

class Orders {
 public:
  // `on_own_ended` is called once an order to the own server has ended.
  Orders(RankState& state, std::function<void()> on_own_ended)
      : state(state), on_own_ended(std::move(on_own_ended)) {}
  Orders(const Orders&) = delete;
  Orders& operator=(const Orders&) = delete;

  // Sends the own server an order, unless one is under way or the same one went
  // out a moment ago. One that the group would wait for if this machine froze
  // goes by way of a gateway where one answers.
  void SendOwn(const mapswitch::Order& order, TimePoint now);

  // Sends another agent's server an order.
  void SendFar(const Address& server, const mapswitch::Order& order);

  // The group waits for a rank whose agent is gone: its server is asked and
  // ordered from here, which costs more and works.
  void OrderSilentRanks(TimePoint now);

  // Whether an order to the own server was lost a moment ago.
  bool is_losing(TimePoint now) const;

 private:
  using OnEnded = std::function<void(bool is_taken, bool is_answered)>;

  bool is_repeat(const mapswitch::Order& order, TimePoint now);
  void HandleOwnEnded(bool is_taken, bool is_answered);
  void Send(const Address& server,
            const mapswitch::Order& order,
            Duration timeout,
            OnEnded on_ended);
  bool is_relayed(const mapswitch::Order& order, TimePoint now) const;
  // A gateway to send an order through, another one each time; none if none is
  // known.
  std::optional<Address> PickRelay();
  void SendOwnByRelay(const Address& relay, const mapswitch::Order& order);
  void HandleFarReport(const Address& server, const std::string& body);

  RankState& state;
  std::function<void()> on_own_ended;
  bool is_underway = false;
  std::string last_order;
  TimePoint last_order_at;
  TimePoint last_lost;
  bool is_last_taken = false;
  TimePoint last_far_order;
  size_t relays_tried = 0;
  // Gateways in a row that passed nothing on.
  int relays_failed = 0;
  // Until then no gateway is tried.
  TimePoint no_relay_until;
};

}  // namespace bramleyspan::rankd
