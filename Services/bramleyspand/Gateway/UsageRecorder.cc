#include "Services/bramleyspand/Gateway/UsageRecorder.h"

#include <utility>
#include <vector>

#include "LibTelemetry/Log.h"
#include "Services/bramleyspand/Gateway/GatewayMetrics.h"

namespace bramleyspan::gatewayd {

namespace {

using telemetry::Log;
using telemetry::LogLevel;
using usage::Counts;
using usage::DocumentWrite;

// Documents older than this are removed.
constexpr std::chrono::hours kRetention{24 * 40};
constexpr Duration kRemovalInterval = std::chrono::hours(1);

usage::Window WindowNow(usage::Ledger& ledger) {
  return usage::CurrentWindow(ledger, std::chrono::system_clock::now());
}

}  // namespace

void UsageRecorder::Start() {
  const std::string& name = this->state.settings.name;
  this->ledger.agent = name;
  this->ledger.incarnation = this->state.incarnation;
  this->aggregator.process = name;
  this->aggregator.incarnation = this->state.incarnation;
  // The first write is at a random time, because all gateways start together
  // and should not write together.
  const Duration interval = this->state.fleet().usage_interval;
  const Duration first = Duration(std::uniform_int_distribution<int64_t>(
      interval.count() / 2, interval.count())(this->state.random));
  this->state.loop.RunAfter(first, [this] { this->WritePeriodically(); });
}

void UsageRecorder::Count(const usage::Cause& cause,
                          const usage::Counts& work) {
  usage::CountWork(this->ledger, cause, WindowNow(this->ledger), work);
}

void UsageRecorder::WritePeriodically() {
  if (this->open_writes == 0) {
    this->Write([] {});
  }
  this->RemoveOldDocuments();
  this->state.loop.RunAfter(this->state.fleet().usage_interval,
                            [this] { this->WritePeriodically(); });
}

void UsageRecorder::Write(std::function<void()> on_done) {
  if (this->open_writes > 0) {
    // Usage counted since the open writes started needs another write.
    this->on_all_written = [this, on_done = std::move(on_done)] {
      this->Write(on_done);
    };
    return;
  }
  usage::ApplyReport(this->aggregator, this->ledger.rows);
  const auto writes = usage::DueWrites(this->aggregator);
  if (writes.empty()) {
    on_done();
    return;
  }
  this->on_all_written = std::move(on_done);
  this->open_writes = writes.size();
  for (const DocumentWrite& write : writes) {
    this->WriteOne(write);
  }
}

void UsageRecorder::WriteOne(const DocumentWrite& write) {
  this->documents.Write(
      write.key, write.text, [this, write](const Result<void>& written) {
        telemetry::Count(
            kUsageWrites,
            {{"outcome", written.has_value() ? "done" : "failed"}});
        if (written.has_value()) {
          usage::HandleWritten(this->aggregator, write);
          usage::HandleStored(this->ledger, write.rows,
                              WindowNow(this->ledger));
        }
        Counts total;
        for (const auto& [source, counts] : write.rows) {
          usage::Add(total, counts);
        }
        Log(written.has_value() ? LogLevel::kInfo : LogLevel::kWarning, "usage",
            written.has_value() ? "usage_written" : "usage_not_written",
            {{"key", write.key},
             {"rows", std::to_string(write.rows.size())},
             {"requests", std::to_string(total.requests)},
             {"answered", std::to_string(total.answered)},
             {"error", written.has_value() ? "" : Describe(written.error())}});
        this->HandleWriteEnd();
      });
}

void UsageRecorder::HandleWriteEnd() {
  if (--this->open_writes > 0) {
    return;
  }
  if (usage::RemoveWindows(this->aggregator, WindowNow(this->ledger))) {
    this->documents.DropRevisions();
  }
  std::exchange(this->on_all_written, [] {})();
}

// Keys start with the number of the window, so that the oldest documents are on
// the first page. Any gateway may remove them.
void UsageRecorder::RemoveOldDocuments() {
  const TimePoint now = EventLoop::Now();
  if (this->removed_at != TimePoint{} &&
      now - this->removed_at < kRemovalInterval) {
    return;
  }
  this->removed_at = now;
  const usage::Window oldest =
      WindowNow(this->ledger) -
      static_cast<usage::Window>(kRetention / usage::kWindowLength);
  this->state.store.range(
      {.prefix = std::string(usage::kDocumentPrefix), .may_be_stale = true},
      [this, oldest](const Result<platform::RangePage>& page) {
        std::vector<std::string> old;
        if (page.has_value()) {
          for (const auto& item : page.value().items) {
            const auto window = usage::WindowOfKey(item.key);
            if (window && *window < oldest &&
                old.size() < platform::kMaxRemovedKeys) {
              old.push_back(item.key);
            }
          }
        }
        if (!old.empty()) {
          Log(LogLevel::kInfo, "usage", "usage_removed",
              {{"documents", std::to_string(old.size())},
               {"first", old.front()}});
          this->state.store.remove(std::move(old), [](const Result<void>&) {});
        }
      });
}

std::string UsageRecorder::Serialize() const {
  return usage::SerializeDocument(this->ledger.rows);
}

}  // namespace bramleyspan::gatewayd
