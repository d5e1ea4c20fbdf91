#include "Services/bramleyspand/CatalogueFeed.h"

#include "Kernel/EventLoop.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan {

namespace {

using catalogue::OfferOutcome;
using telemetry::Log;
using telemetry::LogLevel;

constexpr std::string_view kModule = "catalogue";

}  // namespace

std::string_view NameOf(CatalogueAlarm alarm) {
  switch (alarm) {
    case CatalogueAlarm::kStoreUnavailable:
      return "store_unavailable";
    case CatalogueAlarm::kStoreBehind:
      return "store_behind";
    case CatalogueAlarm::kStoreDiverged:
      return "store_diverged";
    case CatalogueAlarm::kPeerDiverged:
      return "peer_diverged";
    case CatalogueAlarm::kMalformed:
      return "malformed";
  }
  return "";
}

OfferOutcome CatalogueFeed::OfferHead(const catalogue::Head& head,
                                      const FetchShards& fetch) {
  const auto effects = catalogue::OfferHead(this->follower, head);
  if (effects.outcome == OfferOutcome::kNeedsShards) {
    fetch(effects.missing_shards);
  }
  this->HandleOutcome(effects.outcome);
  return effects.outcome;
}

void CatalogueFeed::OfferShard(const std::string& document) {
  this->HandleOutcome(catalogue::OfferShard(this->follower, document).outcome);
}

void CatalogueFeed::OfferSnapshot(const catalogue::Snapshot& snapshot) {
  this->OfferHead(snapshot.head, [](const auto&) {});
  for (const auto& [digest, document] : snapshot.shards) {
    this->OfferShard(document);
  }
}

void CatalogueFeed::AnnounceHead(wire::Connection& connection) const {
  wire::HeadAnnouncementT announcement;
  announcement.revision = this->revision();
  announcement.head = catalogue::SerializeHead(this->head());
  connection.Send(wire::Encode(std::move(announcement)));
}

void CatalogueFeed::SendInForce(wire::Connection& connection) const {
  wire::InForceT in_force;
  in_force.revision = this->revision();
  in_force.change = this->newest_change().id;
  connection.Send(wire::Encode(std::move(in_force)));
}

void CatalogueFeed::RequestPendingShards(wire::Connection& connection) const {
  wire::ShardRequestT request;
  request.names = this->pending_shards();
  if (!request.names.empty()) {
    connection.Send(wire::Encode(std::move(request)));
  }
}

bool CatalogueFeed::HandleFrame(wire::Connection& connection,
                                const wire::FrameT& frame) {
  if (const auto* announced = frame.body.AsHeadAnnouncement()) {
    this->HandleAnnouncement(connection, *announced);
    return true;
  }
  if (const auto* request = frame.body.AsShardRequest()) {
    this->HandleShardRequest(connection, *request);
    return true;
  }
  if (const auto* shard = frame.body.AsShard()) {
    this->OfferShard(shard->document);
    return true;
  }
  if (const auto* in_force = frame.body.AsInForce()) {
    this->HandlePeerRevision(connection,
                             {in_force->change, in_force->revision});
    return true;
  }
  if (const auto* hello = frame.body.AsHello()) {
    this->HandlePeerRevision(connection, {hello->change, hello->revision});
  }
  return false;
}

void CatalogueFeed::HandleAnnouncement(
    wire::Connection& connection,
    const wire::HeadAnnouncementT& announced) {
  const auto head = catalogue::ParseHead(announced.head);
  if (head.has_error()) {
    this->Raise(CatalogueAlarm::kMalformed, Describe(head.error()));
    return;
  }
  const OfferOutcome outcome =
      this->OfferHead(head.value(), [&](const auto& missing) {
        wire::ShardRequestT request;
        request.names = missing;
        connection.Send(wire::Encode(std::move(request)));
      });
  if (outcome == OfferOutcome::kDiverged) {
    this->Raise(
        CatalogueAlarm::kPeerDiverged,
        "a peer announced change " + catalogue::NewestChange(head.value()).id);
  }
  // Nothing is sent while shards are missing: the peer would see the older
  // revision and announce its head again, endlessly.
  if (outcome == OfferOutcome::kKnown || outcome == OfferOutcome::kInForce) {
    this->SendInForce(connection);
  }
}

void CatalogueFeed::HandleShardRequest(
    wire::Connection& connection,
    const wire::ShardRequestT& request) const {
  const auto& shards = this->follower.in_force.shards;
  for (const std::string& digest : request.names) {
    const auto found = shards.find(digest);
    if (found == shards.end()) {
      continue;
    }
    wire::ShardT shard;
    shard.name = digest;
    shard.document = found->second;
    connection.Send(wire::Encode(std::move(shard)));
  }
}

// Sends the head to a peer that missed an announcement because it was down,
// disconnected or started later. Otherwise it would use the old revision until
// the next change.
void CatalogueFeed::HandlePeerRevision(
    wire::Connection& connection,
    const catalogue::AcceptedChange& in_force) {
  if (in_force.revision < this->revision()) {
    this->AnnounceHead(connection);
    return;
  }
  const bool is_diverged = in_force.revision == this->revision() &&
                           in_force != this->newest_change();
  if (is_diverged) {
    this->Raise(CatalogueAlarm::kPeerDiverged,
                "a peer has change " + in_force.id + " in force");
  }
}

void CatalogueFeed::HandleOutcome(OfferOutcome outcome) {
  const std::string revision = std::to_string(this->revision());
  switch (outcome) {
    case OfferOutcome::kInForce:
      this->in_force_since = EventLoop::Now();
      this->Clear(CatalogueAlarm::kPeerDiverged);
      this->Clear(CatalogueAlarm::kMalformed);
      Log(LogLevel::kInfo, kModule, "in_force",
          {{"revision", revision}, {"change", this->newest_change().id}});
      if (this->on_in_force) {
        this->on_in_force();
      }
      return;
    case OfferOutcome::kMalformed:
      this->Raise(CatalogueAlarm::kMalformed, "after revision " + revision);
      return;
    case OfferOutcome::kOlder:
    case OfferOutcome::kDiverged:
    case OfferOutcome::kKnown:
    case OfferOutcome::kNeedsShards:
      return;
  }
}

void CatalogueFeed::Raise(CatalogueAlarm alarm, const std::string& detail) {
  const auto [raised, is_new] =
      this->alarms.try_emplace(alarm, RaisedAlarm{EventLoop::Now(), detail});
  raised->second.detail = detail;
  if (is_new) {
    Log(LogLevel::kError, kModule, "alarm_raised",
        {{"alarm", std::string(NameOf(alarm))}, {"detail", detail}});
  }
}

void CatalogueFeed::Clear(CatalogueAlarm alarm) {
  if (this->alarms.erase(alarm) > 0) {
    Log(LogLevel::kInfo, kModule, "alarm_cleared",
        {{"alarm", std::string(NameOf(alarm))}});
  }
}

}  // namespace bramleyspan
