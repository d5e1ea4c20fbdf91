// Limits per owner in virtual time: the keepers' and the entries' very
// functions, with asks that take a millisecond there and back.

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
constexpr Duration kNoticed = seconds(1);
constexpr Duration kLength = seconds(60);
constexpr Duration kStrike = seconds(20);
constexpr Duration kMend = seconds(40);

enum class Trouble { kNone, kAllocatorDies, kRolling, kParted };

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
      this->nodes[i].seen.insert(i);
    }
    this->counts.resize(kLength / kSlice);
  }

  void Measure() {
    for (size_t i = 0; i < this->run.entries; ++i) {
      this->UpdateView(i);
    }
    this->Arrive();
    this->Trouble();
    this->events.RunUntil(TimePoint{} + kLength);
    this->Print();
  }

 private:
  static constexpr Duration kSlice = milliseconds(100);

  struct Node {
    std::string name;
    bool is_alive = true;
    bool is_cut = false;
    // The entries that this one believes to reach.
    std::set<size_t> seen;
    limits::Share share;
    limits::Allocator allocator;
    size_t pending = 0;
  };

  bool CanReach(size_t from, size_t to) const {
    return this->nodes[to].is_alive &&
           this->nodes[from].is_cut == this->nodes[to].is_cut;
  }

  void UpdateView(size_t index) {
    Node& node = this->nodes[index];
    node.seen.clear();
    for (size_t other = 0; other < this->run.entries; ++other) {
      if (this->CanReach(index, other)) {
        node.seen.insert(other);
      }
    }
  }

  void UpdateViewsLater() {
    for (size_t i = 0; i < this->run.entries; ++i) {
      // Entries notice at different times, the last after a second.
      const Duration delay = kNoticed * static_cast<int64_t>(i + 1) /
                             static_cast<int64_t>(this->run.entries);
      this->events.After(delay, [this, i] { this->UpdateView(i); });
    }
  }

  size_t AllocatorFor(size_t index) const {
    std::vector<std::string> names;
    std::vector<size_t> indices;
    for (const size_t other : this->nodes[index].seen) {
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
    const TimePoint begin = TimePoint{} + kStrike;
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
      case Trouble::kParted:
        this->events.At(begin, [this] { this->CutZone(true); });
        this->events.At(TimePoint{} + kMend, [this] { this->CutZone(false); });
        return;
    }
  }

  void CutZone(bool is_cut) {
    for (size_t i = 0; i < this->run.entries / 3; ++i) {
      this->nodes[i].is_cut = is_cut;
    }
    this->UpdateViewsLater();
  }

  void Arrive() {
    std::exponential_distribution<double> gap(this->run.limit * this->run.load);
    const Duration wait(static_cast<int64_t>(1e6 * gap(this->random)));
    this->events.After(wait, [this] {
      // A caller whose entry died goes to the next one that it was named.
      size_t index = this->random() % this->run.used;
      while (!this->nodes[index].is_alive) {
        index = (index + 1) % this->run.entries;
      }
      this->Request(index, false);
      this->Arrive();
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
      this->Ask(index);
    }
  }

  // What waited for the reply gets its decision.
  void Release(size_t index) {
    const size_t pending = std::exchange(this->nodes[index].pending, 0);
    for (size_t i = 0; i < pending; ++i) {
      this->Request(index, true);
    }
  }

  void Ask(size_t index) {
    Node& node = this->nodes[index];
    if (node.share.is_requesting) {
      return;
    }
    ++this->asks;
    const TimePoint now = this->events.now();
    const double wanted =
        limits::StartGrantRequest(node.share, this->settings, 1, now);
    const uint64_t number = node.share.request_number;
    const size_t allocator = this->AllocatorFor(index);
    const std::string name = node.name;
    this->events.After(kOneWay, [this, index, allocator, wanted, number, name] {
      this->AnswerAsk(index, allocator, wanted, number, name);
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

  void AnswerAsk(size_t index,
                 size_t allocator_index,
                 double wanted,
                 uint64_t number,
                 const std::string& name) {
    if (!this->CanReach(index, allocator_index)) {
      return;
    }
    Node& node = this->nodes[allocator_index];
    limits::SetLimit(node.allocator, this->settings, this->run.limit,
                     node.seen.size(), this->run.entries, this->events.now());
    const double granted = limits::HandleGrantRequest(
        node.allocator, wanted, std::min(this->run.used, node.seen.size()),
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

  // Extremes of what was admitted in `window`, as shares of what was due.
  std::pair<double, double> Extremes(Duration window) const {
    const auto slices = static_cast<size_t>(window / kSlice);
    const double due = this->run.limit * std::min(1.0, this->run.load) *
                       std::chrono::duration<double>(window).count();
    const double most_due =
        this->run.limit * std::chrono::duration<double>(window).count();
    double least = 1e9;
    double most = 0;
    // After a second of start.
    for (size_t i = seconds(2) / kSlice; i + slices <= this->counts.size();
         ++i) {
      double sum = 0;
      for (size_t k = 0; k < slices; ++k) {
        sum += this->counts[i + k];
      }
      least = std::min(least, sum / due);
      most = std::max(most, sum / most_due);
    }
    return {least, most};
  }

  void Print() const {
    const auto [least_1, most_1] = this->Extremes(seconds(1));
    const auto [least_10, most_10] = this->Extremes(seconds(10));
    std::printf(
        "| %s | %zu | %zu | %.0f | %.1fx | %.2f / %.2f | %.2f / %.2f | %.0f "
        "|\n",
        this->run.name, this->run.entries, this->run.used, this->run.limit,
        this->run.load, least_1, most_1, least_10, most_10,
        static_cast<double>(this->asks) /
            std::chrono::duration<double>(kLength).count());
  }

  Run run;
  limits::GrantSettings settings;
  EventQueue events;
  std::mt19937_64 random{1};
  std::vector<Node> nodes;
  std::vector<uint32_t> counts;
  uint64_t asks = 0;
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
      {"a third parted 20 s", 9, 1, 90, 3, Trouble::kParted},
      {"a third parted 20 s", 9, 9, 90, 3, Trouble::kParted},
      {"steady", 340, 1, 300, 3},
      {"steady", 340, 8, 300, 3},
      {"steady", 340, 340, 300, 3},
      {"steady, small owner", 340, 8, 3, 3},
      {"keeper dies", 340, 8, 300, 3, Trouble::kAllocatorDies},
      {"nine entries replaced, one in 2 s", 340, 8, 300, 3, Trouble::kRolling},
      {"a third parted 20 s", 340, 8, 300, 3, Trouble::kParted},
      {"a third parted 20 s", 340, 340, 300, 3, Trouble::kParted},
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
