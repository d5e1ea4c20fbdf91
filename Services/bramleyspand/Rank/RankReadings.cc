#include "Services/bramleyspand/Rank/RankReadings.h"

#include <utility>

#include "LibHTTP/DirectCall.h"
#include "LibTelemetry/Log.h"

namespace bramleyspan::rankd {

namespace {

using http::CallEnd;
using telemetry::Log;
using telemetry::LogLevel;

constexpr Duration kOwnCallTimeout = std::chrono::milliseconds(700);

}  // namespace

void RankReadings::CallServer(
    const std::string& path,
    std::function<void(Result<std::string>)> on_done) {
  http::DirectCall::Fetch(
      this->state.loop,
      {.target = *this->state.fleet().engine,
       .path = path,
       .headers = {{"host", Format(*this->state.fleet().engine)}},
       .connect_timeout = kOwnCallTimeout,
       .timeout = kOwnCallTimeout,
       .connection_pool = &this->state.connection_pool},
      [on_done = std::move(on_done)](CallEnd end,
                                     const http::Response& response) {
        if (end != CallEnd::kWhole || response.status != 200) {
          on_done(Fail(ErrorCode::kTargetFailed, "engine",
                       std::string(http::NameOf(end))));
          return;
        }
        on_done(response.body);
      });
}

void RankReadings::ReadReport() {
  if (std::exchange(this->is_reading_report, true)) {
    return;
  }
  this->CallServer(
      this->state.adapter.report_path, [this](Result<std::string> body) {
        this->is_reading_report = false;
        if (body.has_error()) {
          this->NoteEngine(false, Describe(body.error()));
          return;
        }
        auto status = this->state.adapter.parse_report(body.value());
        if (status.has_value()) {
          this->NoteEngine(true, "");
          this->events.on_status(std::move(status).assume_value());
        }
      });
}

void RankReadings::NoteEngine(bool is_reached, const std::string& reason) {
  if (std::exchange(this->is_engine_reached, is_reached) != is_reached) {
    Log(is_reached ? LogLevel::kInfo : LogLevel::kWarning, "rank",
        is_reached ? "engine_regained" : "engine_lost", {{"reason", reason}});
  }
}

void RankReadings::ReadLists() {
  if (std::exchange(this->is_reading_lists, true)) {
    return;
  }
  const auto version = this->state.own->map;
  const auto epoch = this->state.own->epoch;
  this->CallServer(this->state.adapter.lists_path,
                   [this, version, epoch](const Result<std::string>& body) {
                     this->is_reading_lists = false;
                     if (body.has_error() || !this->state.own ||
                         this->state.own->map != version ||
                         this->state.own->epoch != epoch) {
                       return;
                     }
                     auto lists = this->state.adapter.parse_lists(body.value());
                     if (lists.has_value()) {
                       this->state.own_held = {
                           .version = version,
                           .sets = std::move(lists).assume_value()};
                     }
                   });
}

void RankReadings::ReadCounts() {
  if (std::exchange(this->is_reading_counts, true)) {
    return;
  }
  this->CallServer(this->state.adapter.counts_path,
                   [this](const Result<std::string>& body) {
                     this->is_reading_counts = false;
                     if (body.has_value()) {
                       this->HandleCounts(body.value());
                       this->events.on_counts();
                     }
                   });
}

bool RankReadings::is_teller(mapswitch::Step step) const {
  const mapswitch::Tree tree = this->state.tree();
  return mapswitch::CountLeaders(tree) == 0
             ? placement::is_teller(this->state.own->rank, tree.size, step)
             : mapswitch::is_teller(tree, this->state.own->rank, step);
}

bool RankReadings::is_counts_pass(mapswitch::Step step) const {
  return mapswitch::CountLeaders(this->state.tree()) == 0 ||
         this->is_teller(step) || this->is_teller(step + 1);
}

void RankReadings::HandleCounts(const std::string& body) {
  auto parsed = this->state.adapter.parse_counts(body);
  if (parsed.has_error()) {
    return;
  }
  auto& last = this->state.last_counts;
  const auto& counts = parsed.value().counts;
  const auto& own = this->state.own;
  // Where passes in between were not read, they would all count as this one.
  const bool is_next =
      last && (parsed.value().step <= last->step + 1 ||
               mapswitch::CountLeaders(this->state.tree()) == 0);
  const bool goes_on = is_next && last->epoch == parsed.value().epoch &&
                       last->counts.size() == counts.size();
  // What was not told of an earlier pass would mix with this one.
  this->state.new_counts.clear();
  if (goes_on && own && this->is_teller(parsed.value().step)) {
    this->state.new_counts.resize(counts.size(), 0);
    for (size_t i = 0; i < counts.size(); ++i) {
      // Counts start anew with the rank.
      if (counts[i] >= last->counts[i]) {
        this->state.new_counts[i] =
            static_cast<uint32_t>(counts[i] - last->counts[i]);
      }
    }
  }
  last = std::move(parsed).assume_value();
}

}  // namespace bramleyspan::rankd
