#include "Services/bramleyspand/CatalogueFeed.h"

#include "LibTelemetry/Log.h"

namespace bramleyspan {

namespace {

using catalogue::OfferOutcome;
using telemetry::Log;
using telemetry::LogLevel;

constexpr std::string_view kModule = "catalogue";

}  // namespace

void CatalogueFeed::OfferHead(const catalogue::Head& head,
                              const FetchShards& fetch) {
  const auto effects = catalogue::OfferHead(this->follower, head);
  if (effects.outcome == OfferOutcome::kNeedsShards) {
    fetch(effects.missing_shards);
  }
  this->HandleOutcome(effects.outcome);
}

void CatalogueFeed::OfferShard(const std::string& document) {
  this->HandleOutcome(catalogue::OfferShard(this->follower, document).outcome);
}

void CatalogueFeed::AnnounceTo(wire::Connection& connection) const {
  wire::HeadAnnouncementT announcement;
  announcement.revision = this->revision();
  announcement.head = catalogue::SerializeHead(this->head());
  connection.Send(wire::Encode(std::move(announcement)));
}

bool CatalogueFeed::HandleFrame(wire::Connection& connection,
                                const wire::FrameT& frame) {
  if (const auto* announced = frame.body.AsHeadAnnouncement()) {
    const auto head = catalogue::ParseHead(announced->head);
    if (head.has_error()) {
      Log(LogLevel::kError, kModule, "malformed_announcement",
          {{"error", Describe(head.error())}});
      return true;
    }
    this->OfferHead(head.value(), [&](const auto& missing) {
      wire::ShardRequestT request;
      request.names = missing;
      connection.Send(wire::Encode(std::move(request)));
    });
    wire::InForceT in_force;
    in_force.revision = this->revision();
    connection.Send(wire::Encode(in_force));
    return true;
  }
  if (const auto* request = frame.body.AsShardRequest()) {
    for (const std::string& digest : request->names) {
      const auto& shards = this->follower.in_force.shards;
      const auto found = shards.find(digest);
      if (found != shards.end()) {
        wire::ShardT shard;
        shard.name = digest;
        shard.document = found->second;
        connection.Send(wire::Encode(std::move(shard)));
      }
    }
    return true;
  }
  if (const auto* shard = frame.body.AsShard()) {
    this->OfferShard(shard->document);
    return true;
  }
  return false;
}

void CatalogueFeed::HandleOutcome(OfferOutcome outcome) {
  const std::string revision = std::to_string(this->revision());
  switch (outcome) {
    case OfferOutcome::kInForce:
      Log(LogLevel::kInfo, kModule, "in_force", {{"revision", revision}});
      if (this->on_in_force) {
        this->on_in_force();
      }
      return;
    case OfferOutcome::kOlder:
      Log(LogLevel::kWarning, kModule, "older_head_not_followed",
          {{"revision", revision}});
      return;
    case OfferOutcome::kDiverged:
      Log(LogLevel::kError, kModule, "diverged_head_not_followed",
          {{"revision", revision}});
      return;
    case OfferOutcome::kMalformed:
      Log(LogLevel::kError, kModule, "malformed_head_not_followed",
          {{"revision", revision}});
      return;
    case OfferOutcome::kKnown:
    case OfferOutcome::kNeedsShards:
      return;
  }
}

}  // namespace bramleyspan
