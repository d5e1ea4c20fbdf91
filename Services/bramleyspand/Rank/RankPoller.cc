#include "Services/bramleyspand/Rank/RankPoller.h"

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

void RankPoller::CallServer(const std::string& path,
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
          on_done(Fail(end == CallEnd::kNotSent ? ErrorCode::kConnectionFailed
                                                : ErrorCode::kTargetFailed,
                       "engine", std::string(http::NameOf(end))));
          return;
        }
        on_done(response.body);
      });
}

void RankPoller::PollReport() {
  if (std::exchange(this->is_polling_report, true)) {
    return;
  }
  this->CallServer(
      this->state.adapter.report_path, [this](Result<std::string> body) {
        this->is_polling_report = false;
        if (body.has_error()) {
          if (body.error().code == ErrorCode::kConnectionFailed) {
            admission::RecordServerEnd(this->state.rank_admission);
          }
          this->RecordEngineState(false, Describe(body.error()));
          return;
        }
        auto status = this->state.adapter.parse_report(body.value());
        if (status.has_value()) {
          this->RecordEngineState(true, "");
          this->events.on_status(std::move(status).assume_value());
        }
      });
}

void RankPoller::RecordEngineState(bool is_reachable,
                                   const std::string& reason) {
  if (std::exchange(this->is_engine_reachable, is_reachable) != is_reachable) {
    Log(is_reachable ? LogLevel::kInfo : LogLevel::kWarning, "rank",
        is_reachable ? "engine_regained" : "engine_lost", {{"reason", reason}});
  }
}

void RankPoller::PollLists() {
  if (std::exchange(this->is_polling_lists, true)) {
    return;
  }
  const auto version = this->state.own->map;
  const auto epoch = this->state.own->epoch;
  this->CallServer(this->state.adapter.lists_path,
                   [this, version, epoch](const Result<std::string>& body) {
                     this->is_polling_lists = false;
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

void RankPoller::PollCounts() {
  if (std::exchange(this->is_polling_counts, true)) {
    return;
  }
  this->CallServer(this->state.adapter.counts_path,
                   [this](const Result<std::string>& body) {
                     this->is_polling_counts = false;
                     if (body.has_value()) {
                       this->HandleCounts(body.value());
                       this->events.on_counts();
                     }
                   });
}

bool RankPoller::is_reporter(mapswitch::Step step) const {
  const mapswitch::Tree tree = this->state.tree();
  return mapswitch::CountLeaders(tree) == 0
             ? placement::is_reporter(this->state.own->rank, tree.size, step)
             : mapswitch::is_reporter(tree, this->state.own->rank, step);
}

bool RankPoller::is_counts_pass(mapswitch::Step step) const {
  return mapswitch::CountLeaders(this->state.tree()) == 0 ||
         this->is_reporter(step) || this->is_reporter(step + 1);
}

void RankPoller::HandleCounts(const std::string& body) {
  auto parsed = this->state.adapter.parse_counts(body);
  if (parsed.has_error()) {
    return;
  }
  auto& last = this->state.last_counts;
  const auto& counts = parsed.value().counts;
  const auto& own = this->state.own;
  // If passes in between were not read, their counts would be added to this
  // one.
  const bool is_next =
      last && (parsed.value().step <= last->step + 1 ||
               mapswitch::CountLeaders(this->state.tree()) == 0);
  const bool is_continuous = is_next && last->epoch == parsed.value().epoch &&
                             last->counts.size() == counts.size();
  // Counts of an earlier pass that were not sent must not be added to this one.
  this->state.new_counts.clear();
  if (is_continuous && own && this->is_reporter(parsed.value().step)) {
    this->state.new_counts.resize(counts.size(), 0);
    for (size_t i = 0; i < counts.size(); ++i) {
      // Counters restart from zero with the rank.
      if (counts[i] >= last->counts[i]) {
        this->state.new_counts[i] =
            static_cast<uint32_t>(counts[i] - last->counts[i]);
      }
    }
  }
  last = std::move(parsed).assume_value();
}

}  // namespace bramleyspan::rankd
