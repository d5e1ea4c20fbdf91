#include "SimulatedGroup.h"

#include <algorithm>
#include <utility>

namespace bramleyspan::expertmap::tests {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(500);

template <typename Queue>
void Repeat(Queue& queue) {
  if (!queue.empty()) {
    queue.push_back(queue.front());
  }
}

template <typename Queue>
void Lose(Queue& queue) {
  if (!queue.empty()) {
    queue.pop_front();
  }
}

}  // namespace

SimulatedGroup::SimulatedGroup(size_t rank_count, Step window)
    : ranks(rank_count), window(window) {
  for (size_t rank = 0; rank < rank_count; ++rank) {
    this->KillRank(rank);
  }
}

void SimulatedGroup::Perform(OwnerEffects effects) {
  for (OwnerEffect& effect : effects) {
    if (auto* send = std::get_if<SendOrder>(&effect)) {
      this->ranks[send->rank].orders.push_back(std::move(send->order));
    } else if (!std::holds_alternative<RaiseAlarm>(effect)) {
      this->log_calls.push_back(std::move(effect));
    }
  }
}

void SimulatedGroup::Perform(size_t rank, RankEffects effects) {
  SimulatedRank& simulated = this->ranks[rank];
  if (effects.engine_order) {
    simulated.wire.push_back({*effects.engine_order, simulated.start_count});
  }
  if (effects.report) {
    this->reports.push_back(*effects.report);
  }
}

void SimulatedGroup::StartOwnerProcess() {
  this->owner = MapOwner{};
  this->owner.window = this->window;
  this->Perform(StartOwner(this->owner, "g", this->ranks.size(),
                           std::to_string(++this->owner_start_count),
                           this->now));
}

// Rank 0's agent and the owner are one process. Messages to a process are lost
// with its connections; orders that it sent to its engine are not.
void SimulatedGroup::KillRank(size_t rank) {
  SimulatedRank& simulated = this->ranks[rank];
  simulated.agent = MapRank{};
  simulated.agent.group = "g";
  simulated.agent.rank = static_cast<Rank>(rank);
  simulated.is_frozen = false;
  ++simulated.start_count;
  simulated.orders.clear();
  if (rank == 0) {
    this->reports.clear();
    this->log_calls.clear();
    this->StartOwnerProcess();
  }
  this->Perform(rank, StartRank(simulated.agent));
}

void SimulatedGroup::DeliverOrder(size_t rank) {
  SimulatedRank& simulated = this->ranks[rank];
  if (simulated.orders.empty() || simulated.is_frozen) {
    return;
  }
  const MapOrder order = simulated.orders.front();
  simulated.orders.pop_front();
  this->Perform(rank, HandleMapOrder(simulated.agent, order));
}

bool SimulatedGroup::ApplyOrder(SimulatedEngine& engine,
                                const EngineOrder& order) const {
  EngineStatus& status = engine.status;
  if (const auto* load = std::get_if<LoadWeights>(&order)) {
    status.loaded.insert(load->map.version);
  } else if (const auto* set = std::get_if<SetMap>(&order)) {
    if (!status.loaded.contains(set->version) ||
        set->from_step <= status.step) {
      return engine.schedule.contains(set->from_step);
    }
    engine.schedule[set->from_step] = set->version;
    if (engine.schedule.size() > 2) {
      engine.schedule.erase(engine.schedule.begin());
    }
    status.from_step = engine.schedule.rbegin()->first;
    status.version = engine.schedule.rbegin()->second;
  } else if (const auto* grant = std::get_if<GrantSteps>(&order)) {
    status.granted_until = std::max(status.granted_until, grant->until);
  } else if (const auto* drop = std::get_if<DropWeights>(&order)) {
    if (drop->version != status.version) {
      status.loaded.erase(drop->version);
    }
  }
  return true;
}

void SimulatedGroup::DeliverToEngine(size_t rank) {
  SimulatedRank& simulated = this->ranks[rank];
  if (simulated.wire.empty()) {
    return;
  }
  const WireOrder wire = simulated.wire.front();
  const bool is_own_order = wire.sender == simulated.start_count;
  // The answer to a frozen agent is delivered when it resumes.
  if (is_own_order && simulated.is_frozen) {
    return;
  }
  simulated.wire.pop_front();
  const bool is_applied = this->ApplyOrder(simulated.engine, wire.order);
  if (is_own_order) {
    this->Perform(rank,
                  HandleEngineStatus(simulated.agent, simulated.engine.status,
                                     !is_applied));
  }
}

// The connection to the engine breaks while the order is in flight.
void SimulatedGroup::LoseAnswer(size_t rank) {
  SimulatedRank& simulated = this->ranks[rank];
  if (simulated.is_frozen || !simulated.agent.is_order_in_flight) {
    return;
  }
  for (WireOrder& wire : simulated.wire) {
    wire.sender = 0;
  }
  this->Perform(rank, HandleEngineLost(simulated.agent));
}

void SimulatedGroup::DeliverReport() {
  if (this->reports.empty() || this->ranks[0].is_frozen) {
    return;
  }
  const MapReport report = this->reports.front();
  this->reports.pop_front();
  this->Perform(HandleMapReport(this->owner, report, this->now));
}

// A rank begins a step if it is granted and all ranks have begun the previous
// one.
void SimulatedGroup::BeginStep(size_t rank) {
  EngineStatus& status = this->ranks[rank].engine.status;
  const Step step = status.step + 1;
  const bool is_group_ready = std::all_of(
      this->ranks.begin(), this->ranks.end(), [&](const SimulatedRank& other) {
        return other.engine.status.step + 1 >= step;
      });
  const auto& schedule = this->ranks[rank].engine.schedule;
  const auto after = schedule.upper_bound(step);
  if (!is_group_ready || step > status.granted_until ||
      after == schedule.begin()) {
    return;
  }
  const MapVersion version = std::prev(after)->second;
  if (!status.loaded.contains(version)) {
    return;
  }
  status.step = step;
  this->ranks[rank].engine.map_by_step[step] = version;
  const auto first = this->first_map_by_step.emplace(step, version).first;
  this->is_split = this->is_split || first->second != version;
}

void SimulatedGroup::AnswerLog(bool is_reply_lost) {
  if (this->log_calls.empty() || this->ranks[0].is_frozen) {
    return;
  }
  const OwnerEffect call = this->log_calls.front();
  this->log_calls.pop_front();
  if (const auto* swap = std::get_if<SwapLog>(&call)) {
    const bool is_written = swap->expected_version == this->stored.version;
    if (is_written) {
      this->stored = {this->stored.version + 1, swap->text};
    }
    this->Perform(HandleLogSwapped(
        this->owner,
        is_reply_lost
            ? Result<bool>(Fail(ErrorCode::kOutcomeUnknown, "log", "lost"))
            : Result<bool>(is_written)));
    return;
  }
  this->Perform(HandleLogRead(
      this->owner,
      is_reply_lost
          ? Result<StoredLog>(Fail(ErrorCode::kTimeout, "log", "lost"))
          : Result<StoredLog>(this->stored),
      this->now));
}

void SimulatedGroup::Apply(EventKind event, size_t rank) {
  SimulatedRank& simulated = this->ranks[rank];
  switch (event) {
    case EventKind::kDeliverOrder:
      return this->DeliverOrder(rank);
    case EventKind::kDeliverToEngine:
      return this->DeliverToEngine(rank);
    case EventKind::kDeliverReport:
      return this->DeliverReport();
    case EventKind::kBeginStep:
      return this->BeginStep(rank);
    case EventKind::kAnswerLog:
      return this->AnswerLog(false);
    case EventKind::kLoseOrder:
      return Lose(simulated.orders);
    case EventKind::kRepeatOrder:
      return Repeat(simulated.orders);
    case EventKind::kReorderOnWire:
      // An order of a failed agent arrives after those of its successor.
      if (simulated.wire.size() > 1) {
        std::rotate(simulated.wire.begin(), simulated.wire.begin() + 1,
                    simulated.wire.end());
      }
      return;
    case EventKind::kLoseReport:
      return Lose(this->reports);
    case EventKind::kRepeatReport:
      return Repeat(this->reports);
    case EventKind::kLoseLogReply:
      return this->AnswerLog(true);
    case EventKind::kFreeze:
      simulated.is_frozen = true;
      return;
    case EventKind::kResume:
      simulated.is_frozen = false;
      return;
    case EventKind::kKillRank:
      return this->KillRank(rank);
    case EventKind::kTick:
      this->now += kTickInterval;
      if (!this->ranks[0].is_frozen) {
        this->Perform(HandleOwnerTick(this->owner, this->now));
      }
      if (!simulated.is_frozen) {
        this->Perform(rank, HandleRankTick(simulated.agent));
      }
      return;
    case EventKind::kLoseAnswer:
      return this->LoseAnswer(rank);
    case EventKind::kPropose:
      ++this->proposal_count;
      this->Perform(ProposeMap(
          this->owner, PlaceRoundRobin(this->proposal_count, this->ranks.size(),
                                       this->proposal_count)));
      return;
  }
}

void SimulatedGroup::RunWithoutFaults(int rounds) {
  for (SimulatedRank& rank : this->ranks) {
    rank.is_frozen = false;
  }
  for (int round = 0; round < rounds; ++round) {
    for (size_t rank = 0; rank < this->ranks.size(); ++rank) {
      this->Apply(EventKind::kTick, rank);
      while (!this->log_calls.empty()) {
        this->Apply(EventKind::kAnswerLog, 0);
      }
      while (!this->ranks[rank].orders.empty()) {
        this->Apply(EventKind::kDeliverOrder, rank);
      }
      while (!this->ranks[rank].wire.empty()) {
        this->Apply(EventKind::kDeliverToEngine, rank);
      }
      while (!this->reports.empty()) {
        this->Apply(EventKind::kDeliverReport, 0);
      }
      this->Apply(EventKind::kBeginStep, rank);
    }
  }
}

}  // namespace bramleyspan::expertmap::tests
