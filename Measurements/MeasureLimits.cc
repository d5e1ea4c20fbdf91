// Measures the limits per owner in virtual time: runs the code of allocators
// and entries, with grant requests whose round trip takes 1 ms.

#include <cstdio>
#include <random>
#include <set>
#include <string>

#include "LibLimits/Grants.h"
#include "Measurements/EventQueue.h"

namespace bramleyspan::measurements {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kOneWay = std::chrono::microseconds(500);
constexpr Duration kNoticeTime = seconds(1);
constexpr Duration kRunTime = seconds(60);
constexpr Duration kTroubleBegin = seconds(20);
constexpr Duration kTroubleEnd = seconds(40);

enum class Trouble { kNone, kAllocatorDies, kRolling, kPartitioned };

struct Run {
  const char* name;
  size_t entries;
  // Entries that the owner's callers use.
  size_t used;
  double limit;
  // Offered load as a share of the limit.
  double load;
  Trouble trouble = Trouble::kNone;
};

class Bench {
 public:
  explicit Bench(const Run& run) : run(run), nodes(run.entries) {
    for (size_t i = 0; i < run.entries; ++i) {
      this->nodes[i].name = "entry-" + std::to_string(i);
      this->nodes[i].reachable.insert(i);
    }
    this->counts.resize(kRunTime / kSlice);
  }

  void Measure() {
    for (size_t i = 0; i < this->run.entries; ++i) {
      this->UpdateView(i);
    }
    this->ScheduleArrivals();
    this->Trouble();
    this->events.RunUntil(TimePoint{} + kRunTime);
    this->Print();
  }

 private:
  static constexpr Duration kSlice = milliseconds(100);

  struct Node {
    std::string name;
    bool is_alive = true;
    bool is_partitioned = false;
    // The entries that this one can reach in its view.
    std::set<size_t> reachable;
    limits::Share share;
    limits::Allocator allocator;
    size_t pending = 0;
  };

  bool CanReach(size_t from, size_t to) const {
    return this->nodes[to].is_alive &&
           this->nodes[from].is_partitioned == this->nodes[to].is_partitioned;
  }

  void UpdateView(size_t index) {
    Node& node = this->nodes[index];
    node.reachable.clear();
    for (size_t other = 0; other < this->run.entries; ++other) {
      if (this->CanReach(index, other)) {
        node.reachable.insert(other);
      }
    }
  }

  void UpdateViewsLater() {
    for (size_t i = 0; i < this->run.entries; ++i) {
      // Entries notice a change at different times, the last after 1 s.
      const Duration delay = kNoticeTime * static_cast<int64_t>(i + 1) /
                             static_cast<int64_t>(this->run.entries);
      this->events.After(delay, [this, i] { this->UpdateView(i); });
    }
  }

  size_t AllocatorFor(size_t index) const {
    std::vector<std::string> names;
    std::vector<size_t> indices;
    for (const size_t other : this->nodes[index].reachable) {
      names.push_back(this->nodes[other].name);
      indices.push_back(other);
    }
    const std::string allocator = limits::AllocatorOf("owner", names);
    return indices[std::ranges::find(names, allocator) - names.begin()];
  }

  void Replace(size_t index) {
    Node& node = this->nodes[index];
    node.is_alive = false;
    this->UpdateViewsLater();
    this->events.After(seconds(2), [this, index] {
      Node fresh;
      fresh.name = this->nodes[index].name + "+";
      this->nodes[index] = fresh;
      this->UpdateView(index);
      this->UpdateViewsLater();
    });
  }

  void Trouble() {
    const TimePoint begin = TimePoint{} + kTroubleBegin;
    switch (this->run.trouble) {
      case Trouble::kNone:
        return;
      case Trouble::kAllocatorDies:
        this->events.At(begin,
                        [this] { this->Replace(this->AllocatorFor(0)); });
        return;
      case Trouble::kRolling:
        for (size_t i = 0; i < std::min<size_t>(this->run.entries, 9); ++i) {
          this->events.At(begin + i * seconds(2),
                          [this, i] { this->Replace(i); });
        }
        return;
      case Trouble::kPartitioned:
        this->events.At(begin, [this] { this->SetPartition(true); });
        this->events.At(TimePoint{} + kTroubleEnd,
                        [this] { this->SetPartition(false); });
        return;
    }
  }

  void SetPartition(bool is_partitioned) {
    for (size_t i = 0; i < this->run.entries / 3; ++i) {
      this->nodes[i].is_partitioned = is_partitioned;
    }
    this->UpdateViewsLater();
  }

  void ScheduleArrivals() {
    std::exponential_distribution<double> gap(this->run.limit * this->run.load);
    const Duration wait(static_cast<int64_t>(1e6 * gap(this->random)));
    this->events.After(wait, [this] {
      // A caller whose entry is dead uses the next one.
      size_t index = this->random() % this->run.used;
      while (!this->nodes[index].is_alive) {
        index = (index + 1) % this->run.entries;
      }
      this->Request(index, false);
      this->ScheduleArrivals();
    });
  }

  void Admit() {
    const auto slice = (this->events.now() - TimePoint{}) / kSlice;
    ++this->counts[slice];
  }

  void Request(size_t index, bool is_second) {
    Node& node = this->nodes[index];
    const TimePoint now = this->events.now();
    const auto decision = limits::Spend(node.share, this->settings, 1, now);
    if (decision.outcome == limits::SpendOutcome::kAdmit) {
      this->Admit();
    } else if (decision.outcome == limits::SpendOutcome::kRequestGrant &&
               !is_second) {
      ++node.pending;
      this->RequestGrant(index);
    }
  }

  // Decides the requests that waited for the reply.
  void Release(size_t index) {
    const size_t pending = std::exchange(this->nodes[index].pending, 0);
    for (size_t i = 0; i < pending; ++i) {
      this->Request(index, true);
    }
  }

  void RequestGrant(size_t index) {
    Node& node = this->nodes[index];
    if (node.share.is_requesting) {
      return;
    }
    ++this->grant_requests;
    const TimePoint now = this->events.now();
    const double wanted =
        limits::StartGrantRequest(node.share, this->settings, 1, now);
    const uint64_t number = node.share.request_number;
    const size_t allocator = this->AllocatorFor(index);
    const std::string name = node.name;
    this->events.After(kOneWay, [this, index, allocator, wanted, number, name] {
      this->AnswerGrantRequest(index, allocator, wanted, number, name);
    });
    this->events.After(this->settings.request_timeout, [this, index, number] {
      limits::Share& share = this->nodes[index].share;
      if (share.is_requesting && share.request_number == number) {
        limits::HandleGrantRequestTimeout(share, this->settings,
                                          this->run.limit, this->run.entries,
                                          this->events.now());
        this->Release(index);
      }
    });
  }

  void AnswerGrantRequest(size_t index,
                          size_t allocator_index,
                          double wanted,
                          uint64_t number,
                          const std::string& name) {
    if (!this->CanReach(index, allocator_index)) {
      return;
    }
    Node& node = this->nodes[allocator_index];
    limits::SetLimit(node.allocator, this->settings, this->run.limit,
                     node.reachable.size(), this->run.entries,
                     this->events.now());
    const double granted = limits::HandleGrantRequest(
        node.allocator, wanted, std::min(this->run.used, node.reachable.size()),
        this->events.now());
    const Duration retry_after = limits::RetryAfterOf(node.allocator);
    this->events.After(
        kOneWay, [this, index, granted, retry_after, number, name] {
          Node& requester = this->nodes[index];
          if (requester.name == name) {
            limits::HandleGrant(requester.share, this->settings, number,
                                granted, retry_after, this->events.now());
            this->Release(index);
          }
        });
  }

  // Returns the smallest and the largest number of requests admitted in any
  // window of this length: the smallest as a share of the offered load up to
  // the limit, the largest as a share of the limit.
  std::pair<double, double> Extremes(Duration window) const {
    const auto slices = static_cast<size_t>(window / kSlice);
    const double due = this->run.limit * std::min(1.0, this->run.load) *
                       std::chrono::duration<double>(window).count();
    const double max_due =
        this->run.limit * std::chrono::duration<double>(window).count();
    double min_share = 1e9;
    double max_share = 0;
    // Skips the first 2 s, the start.
    for (size_t i = seconds(2) / kSlice; i + slices <= this->counts.size();
         ++i) {
      double sum = 0;
      for (size_t k = 0; k < slices; ++k) {
        sum += this->counts[i + k];
      }
      min_share = std::min(min_share, sum / due);
      max_share = std::max(max_share, sum / max_due);
    }
    return {min_share, max_share};
  }

  void Print() const {
    const auto [min_share_1, max_share_1] = this->Extremes(seconds(1));
    const auto [min_share_10, max_share_10] = this->Extremes(seconds(10));
    std::printf(
        "| %s | %zu | %zu | %.0f | %.1fx | %.2f / %.2f | %.2f / %.2f | %.0f "
        "|\n",
        this->run.name, this->run.entries, this->run.used, this->run.limit,
        this->run.load, min_share_1, max_share_1, min_share_10, max_share_10,
        static_cast<double>(this->grant_requests) /
            std::chrono::duration<double>(kRunTime).count());
  }

  Run run;
  limits::GrantSettings settings;
  EventQueue events;
  std::mt19937_64 random{1};
  std::vector<Node> nodes;
  std::vector<uint32_t> counts;
  uint64_t grant_requests = 0;
};

void MeasureAll() {
  std::printf(
      "| case | entries | used | limit/s | offered | least / most in 1 s, of "
      "what was due | in 10 s | asks/s |\n| --- | --- | --- | --- | --- | --- "
      "| --- | --- |\n");
  const Run runs[] = {
      {"steady", 9, 1, 90, 3},
      {"steady", 9, 9, 90, 0.5},
      {"steady", 9, 9, 90, 3},
      {"steady, small owner", 9, 9, 5, 3},
      {"keeper dies", 9, 1, 90, 3, Trouble::kAllocatorDies},
      {"keeper dies", 9, 9, 90, 3, Trouble::kAllocatorDies},
      {"all entries replaced, one in 2 s", 9, 9, 90, 3, Trouble::kRolling},
      {"a third parted 20 s", 9, 1, 90, 3, Trouble::kPartitioned},
      {"a third parted 20 s", 9, 9, 90, 3, Trouble::kPartitioned},
      {"steady", 340, 1, 300, 3},
      {"steady", 340, 8, 300, 3},
      {"steady", 340, 340, 300, 3},
      {"steady, small owner", 340, 8, 3, 3},
      {"keeper dies", 340, 8, 300, 3, Trouble::kAllocatorDies},
      {"nine entries replaced, one in 2 s", 340, 8, 300, 3, Trouble::kRolling},
      {"a third parted 20 s", 340, 8, 300, 3, Trouble::kPartitioned},
      {"a third parted 20 s", 340, 340, 300, 3, Trouble::kPartitioned},
  };
  for (const Run& run : runs) {
    Bench(run).Measure();
  }
}

}  // namespace

}  // namespace bramleyspan::measurements

int main() {
  bramleyspan::measurements::MeasureAll();
}
