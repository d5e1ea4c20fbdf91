#include "Services/bramleyspand/Gateway/MemberRecords.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "LibMembership/Gossip.h"

namespace bramleyspan::gatewayd {

namespace {

constexpr std::string_view kPrefix = "bramleyspan/members/";
constexpr Duration kMinInterval = std::chrono::seconds(3);
constexpr int kMaxIntervalFactor = 5;
// The lease lasts this many of the longest intervals, so that failed renewals
// do not end it at once.
constexpr int kIntervalsPerLease = 3;

}  // namespace

void MemberRecords::Start() {
  this->ReadAll();
  this->MaintainOwnRecord();
}

Duration MemberRecords::Interval() const {
  const size_t gateways =
      membership::CountGateways(this->state.members, EventLoop::Now());
  const auto factor =
      static_cast<int>(gateways / membership::kMaxFullMeshPeers);
  return kMinInterval * std::clamp(factor, 1, kMaxIntervalFactor);
}

void MemberRecords::ReadAll() {
  this->state.store.range(
      {.prefix = std::string(kPrefix), .may_be_stale = true},
      [this](const Result<platform::RangePage>& page) {
        if (page.has_value()) {
          this->state.listed_gateways.clear();
          for (const auto& item : page.value().items) {
            this->state.listed_gateways.insert(
                item.key.substr(std::min(kPrefix.size(), item.key.size())));
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

void MemberRecords::MaintainOwnRecord() {
  this->state.loop.RunAfter(this->Interval(),
                            [this] { this->MaintainOwnRecord(); });
  if (std::exchange(this->is_lease_call_open, true)) {
    return;
  }
  if (this->lease == 0) {
    // The lease is long enough for the longest interval, in case the fleet
    // grows before the next renewal.
    this->state.store.grant_lease(
        kIntervalsPerLease * kMaxIntervalFactor * kMinInterval,
        [this](const Result<uint64_t>& granted) {
          this->is_lease_call_open = false;
          if (granted.has_value()) {
            this->lease = granted.value();
            this->WriteOwnRecord();
          }
        });
    return;
  }
  this->state.store.renew_lease(
      this->lease, [this](const Result<void>& renewed) {
        this->is_lease_call_open = false;
        const bool is_ended =
            renewed.has_error() && renewed.error().code == ErrorCode::kNotFound;
        if (is_ended) {
          this->lease = 0;
        }
      });
}

void MemberRecords::WriteOwnRecord() {
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
