#include "Services/bramleyspand/Rank/PermitOffers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bramleyspan::rankd {

namespace {

using scheduling::ClassCount;
using scheduling::ClassRate;
using scheduling::StreamClass;

// Offers that gateways may still take; a gateway decides within milliseconds.
constexpr size_t kMaxOffered = 128;

std::vector<ClassCount> CountsIn(const membership::wire::PlaceProbeT& probe) {
  std::vector<ClassCount> counts;
  for (const auto& waiting : probe.waiting) {
    counts.push_back({.stream_class = {.priority = waiting.priority(),
                                       .is_late = waiting.is_late()},
                      .count = waiting.count()});
  }
  return counts;
}

void AddCounts(membership::wire::PlaceOfferT& wire,
               const std::vector<ClassCount>& waiting) {
  for (const ClassCount& item : waiting) {
    const auto count =
        static_cast<uint16_t>(std::min<uint32_t>(item.count, UINT16_MAX));
    wire.waiting.emplace_back(item.stream_class.priority, count,
                              item.stream_class.is_late);
  }
}

// Adds the rates of a rank, and one of zero for the class if it granted
// nothing: an offer without rates says that they are not known.
void AddRates(membership::wire::PlaceOfferT& wire,
              std::vector<ClassRate> granted,
              const StreamClass& stream_class) {
  if (granted.empty()) {
    granted.push_back({.stream_class = stream_class});
  }
  for (const ClassRate& item : granted) {
    wire.granted.emplace_back(item.stream_class.priority,
                              static_cast<float>(item.per_second),
                              item.stream_class.is_late);
  }
}

}  // namespace

admission::PermitOffer PermitOffers::Schedule(
    const std::string& gateway_ip,
    const membership::wire::PlaceProbeT& probe,
    TimePoint now) {
  scheduling::RecordQueue(this->queue, gateway_ip, CountsIn(probe), now);
  const StreamClass stream_class{.priority = probe.priority,
                                 .is_late = probe.is_late};
  const admission::RankAdmission& admission = this->state.rank_admission;
  admission::PermitOffer offer =
      admission::OfferOf(admission, probe.is_late, now);
  // The permits that late streams leave are for those in time of their own
  // priority, not for less urgent ones.
  if (!offer.is_admitting && probe.is_late && !offer.is_slow &&
      scheduling::has_less_urgent(this->queue, probe.priority, now)) {
    offer = admission::OfferOf(admission, /*is_late=*/false, now);
  }
  offer.is_admitting =
      offer.is_admitting &&
      !scheduling::is_held_back(this->denied, stream_class, now);
  if (offer.is_admitting) {
    this->RecordOffer({.gateway = gateway_ip, .number = probe.number},
                      stream_class);
  } else {
    scheduling::RecordDenial(this->denied, stream_class, now);
  }
  return offer;
}

void PermitOffers::RecordOffer(admission::Reservation reservation,
                               const StreamClass& stream_class) {
  if (this->offered.size() == kMaxOffered) {
    this->offered.pop_front();
  }
  this->offered.push_back(
      {.reservation = std::move(reservation), .stream_class = stream_class});
}

void PermitOffers::HandleProbe(const std::string& gateway_ip,
                               const membership::wire::PlaceProbeT& probe) {
  const TimePoint now = EventLoop::Now();
  const bool has_priority = probe.priority >= 0;
  const admission::PermitOffer offer =
      has_priority
          ? this->Schedule(gateway_ip, probe, now)
          : admission::OfferOf(this->state.rank_admission, probe.is_late, now);
  if (offer.is_admitting) {
    admission::RecordOffer(this->state.rank_admission, now);
  }
  membership::wire::PlaceOfferT wire;
  wire.number = probe.number;
  wire.address = Format(*this->state.fleet().engine);
  wire.is_admitting = offer.is_admitting;
  wire.is_slow = offer.is_slow;
  wire.load = offer.load;
  wire.limit = offer.limit;
  wire.pass_microseconds = static_cast<uint64_t>(offer.pass.count());
  const auto report_age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - this->state.own_received_at);
  wire.report_age_milliseconds = static_cast<uint32_t>(
      std::clamp<int64_t>(report_age.count(), 0, UINT32_MAX));
  // Only a gateway that has to wait needs to know what else waits.
  if (has_priority && !offer.is_admitting) {
    AddCounts(wire, scheduling::SumOf(this->queue, now));
    const auto rates = scheduling::RatesOf(this->rates, now);
    if (rates) {
      AddRates(wire, *rates,
               {.priority = probe.priority, .is_late = probe.is_late});
    }
  }
  this->state.datagrams->Send(gateway_ip, membership::Encode(std::move(wire)));
}

void PermitOffers::HandleTaken(const std::string& gateway_ip,
                               const membership::wire::PlaceTakenT& taken) {
  const TimePoint now = EventLoop::Now();
  admission::Reservation reservation{.gateway = gateway_ip,
                                     .number = taken.number};
  if (taken.is_settled) {
    admission::RemoveReservation(this->state.rank_admission, reservation);
    return;
  }
  this->RecordGrantOf(reservation, now);
  admission::RecordReservation(this->state.rank_admission,
                               std::move(reservation), now);
}

void PermitOffers::RecordGrantOf(const admission::Reservation& reservation,
                                 TimePoint now) {
  const auto found =
      std::ranges::find(this->offered, reservation, &Offered::reservation);
  if (found == this->offered.end()) {
    return;
  }
  scheduling::RecordGrant(this->denied, found->stream_class, now);
  scheduling::RecordGrant(this->rates, found->stream_class, now);
  this->offered.erase(found);
}

void PermitOffers::HandleGroupChange(bool is_open, TimePoint now) {
  if (is_open) {
    scheduling::HandleOpened(this->rates, now);
  } else {
    scheduling::HandleClosed(this->rates);
  }
}

}  // namespace bramleyspan::rankd
