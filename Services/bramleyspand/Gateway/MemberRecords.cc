#include "Services/bramleyspand/Gateway/MemberRecords.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "LibMembership/Gossip.h"

namespace bramleyspan::gatewayd {

namespace {

constexpr std::string_view kPrefix = "bramleyspan/members/";
constexpr Duration kShortestInterval = std::chrono::seconds(3);
constexpr int kMostTimesLonger = 5;
// Renewals that may fail in a row before the record ends.
constexpr int kIntervalsPerLease = 3;

}  // namespace

void MemberRecords::Start() {
  this->ReadAll();
  this->KeepOwn();
}

Duration MemberRecords::Interval() const {
  const size_t gateways =
      membership::CountGateways(this->state.members, EventLoop::Now());
  const auto times = static_cast<int>(gateways / membership::kMaxFullMeshPeers);
  return kShortestInterval * std::clamp(times, 1, kMostTimesLonger);
}

void MemberRecords::ReadAll() {
  this->state.store.range(
      {.prefix = std::string(kPrefix), .may_be_stale = true},
      [this](const Result<platform::RangePage>& page) {
        if (page.has_value()) {
          for (const auto& item : page.value().items) {
            if (item.value != this->state.settings.ip) {
              membership::AddSeedAddress(this->state.members, item.value,
                                  EventLoop::Now());
            }
          }
        }
        this->state.loop.RunAfter(this->Interval(),
                                  [this] { this->ReadAll(); });
      });
}

void MemberRecords::KeepOwn() {
  this->state.loop.RunAfter(this->Interval(), [this] { this->KeepOwn(); });
  if (std::exchange(this->is_keeping, true)) {
    return;
  }
  if (this->lease == 0) {
    // It holds also where the fleet grows before the next renewal.
    this->state.store.grant_lease(
        kIntervalsPerLease * kMostTimesLonger * kShortestInterval,
        [this](const Result<uint64_t>& granted) {
          this->is_keeping = false;
          if (granted.has_value()) {
            this->lease = granted.value();
            this->PutOwn();
          }
        });
    return;
  }
  this->state.store.renew_lease(
      this->lease, [this](const Result<void>& renewed) {
        this->is_keeping = false;
        const bool is_ended =
            renewed.has_error() && renewed.error().code == ErrorCode::kNotFound;
        if (is_ended) {
          this->lease = 0;
        }
      });
}

void MemberRecords::PutOwn() {
  this->state.store.put(
      {.key = std::string(kPrefix) + this->state.settings.name,
       .value = this->state.settings.ip,
       .lease = this->lease},
      [this](const Result<uint64_t>& written) {
        if (written.has_error()) {
          this->lease = 0;
        }
      });
}

}  // namespace bramleyspan::gatewayd
