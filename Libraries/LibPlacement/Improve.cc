#include "LibPlacement/Improve.h"

#include <algorithm>
#include <numeric>

namespace bramleyspan::placement {

namespace {

// Ranks tried as the destination of a copy, the least loaded first.
constexpr size_t kDestinationsTried = 6;
// The search ends when its best change lowers the potential by less than this
// fraction; such a change has no visible effect on step time.
constexpr double kMinReduction = 0.002;

struct Search {
  const Shares& shares;
  const Shape& shape;
  const SearchLimits& limits;
  LayerPlacement layer;
  std::vector<std::vector<Expert>> experts_on;
  std::vector<double> loads;
  std::vector<uint32_t> staged;
};

struct Candidate {
  Change change;
  double score = 0;
};

// Returns the sum of the eighth powers of the loads. The slowest rank dominates
// it, yet it also falls when one of several equally slow ranks improves.
double Potential(const std::vector<double>& loads) {
  double sum = 0;
  for (const double load : loads) {
    const double square = load * load;
    sum += square * square * square * square;
  }
  return sum;
}

bool is_on(const Search& search, Expert expert, Rank rank) {
  const auto& ranks = search.layer.ranks_of[expert];
  return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

bool is_spare(const Search& search, Expert expert) {
  return search.layer.ranks_of[expert].size() > 1;
}

bool has_free_slot(const Search& search, Rank rank) {
  return search.experts_on[rank].size() < search.shape.slots_per_rank;
}

bool has_staging_room(const Search& search, Rank rank) {
  return search.staged[rank] < search.limits.staging_slots;
}

std::vector<Rank> FindLeastLoaded(const std::vector<double>& loads) {
  std::vector<Rank> ranks(loads.size());
  std::iota(ranks.begin(), ranks.end(), 0);
  const size_t count = std::min(kDestinationsTried, ranks.size());
  std::partial_sort(
      ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count),
      ranks.end(),
      [&](Rank left, Rank right) { return loads[left] < loads[right]; });
  ranks.resize(count);
  return ranks;
}

// Adds `factor` times the load of each copy of an expert to the ranks that hold
// it.
void AddLoadOf(Search& search, Expert expert, double factor) {
  const auto& ranks = search.layer.ranks_of[expert];
  const double load = factor * search.shares[expert] * search.shape.ranks /
                      static_cast<double>(ranks.size());
  for (const Rank rank : ranks) {
    search.loads[rank] += load;
  }
}

std::vector<Expert> ExpertsOf(const Change& change) {
  std::vector<Expert> experts;
  for (const auto* copies : {&change.loads, &change.drops}) {
    for (const auto& [expert, rank] : *copies) {
      if (std::find(experts.begin(), experts.end(), expert) == experts.end()) {
        experts.push_back(expert);
      }
    }
  }
  return experts;
}

void ApplyWithLoads(Search& search, const Change& change) {
  const std::vector<Expert> experts = ExpertsOf(change);
  for (const Expert expert : experts) {
    AddLoadOf(search, expert, -1);
  }
  Apply(search.layer, change);
  for (const Expert expert : experts) {
    AddLoadOf(search, expert, 1);
  }
}

void Consider(Search& search, Candidate& best, Change change) {
  const double before = Potential(search.loads);
  const std::vector<double> loads = search.loads;
  ApplyWithLoads(search, change);
  const double reduction = (before - Potential(search.loads)) / before;
  Apply(search.layer, {.loads = change.drops, .drops = change.loads});
  search.loads = loads;
  if (reduction < kMinReduction) {
    return;
  }
  const double score = reduction / PriceInLoads(change, search.limits);
  if (score > best.score) {
    best = {std::move(change), score};
  }
}

// Tries to load `expert` from the slowest rank onto another rank: as an
// additional copy, as a move, in place of a spare copy held there, and as a
// swap with an expert that has no other copy.
void ConsiderDestination(Search& search,
                         Candidate& best,
                         Expert expert,
                         Rank from,
                         Rank to) {
  const Copy load{expert, to};
  const Copy source{expert, from};
  if (has_free_slot(search, to)) {
    Consider(search, best, {.loads = {load}, .drops = {}});
    Consider(search, best, {.loads = {load}, .drops = {source}});
  }
  const std::vector<Expert> others = search.experts_on[to];
  for (const Expert other : others) {
    const Copy displaced{other, to};
    if (is_spare(search, other)) {
      Consider(search, best, {.loads = {load}, .drops = {displaced}});
      Consider(search, best, {.loads = {load}, .drops = {source, displaced}});
    } else if (!is_on(search, other, from) && has_staging_room(search, from)) {
      Consider(search, best,
               {.loads = {load, {other, from}}, .drops = {source, displaced}});
    }
  }
}

Candidate FindBestChange(Search& search) {
  Candidate best;
  const auto slowest = static_cast<Rank>(
      std::max_element(search.loads.begin(), search.loads.end()) -
      search.loads.begin());
  const std::vector<Expert> experts = search.experts_on[slowest];
  for (const Rank to : FindLeastLoaded(search.loads)) {
    if (to == slowest || !has_staging_room(search, to)) {
      continue;
    }
    for (const Expert expert : experts) {
      if (!is_on(search, expert, to)) {
        ConsiderDestination(search, best, expert, slowest, to);
      }
    }
  }
  return best;
}

void Commit(Search& search, const Change& change) {
  ApplyWithLoads(search, change);
  for (const auto& [expert, rank] : change.drops) {
    std::erase(search.experts_on[rank], expert);
  }
  for (const auto& [expert, rank] : change.loads) {
    search.experts_on[rank].push_back(expert);
    ++search.staged[rank];
  }
}

}  // namespace

double PriceInLoads(const Change& change, const SearchLimits& limits) {
  double price = 0;
  for (const Copy& load : change.loads) {
    price += limits.recent.contains(load) ? limits.undo_price : 1;
  }
  // Dropping a copy transfers no bytes, but a recent copy was paid for and is
  // lost.
  for (const Copy& drop : change.drops) {
    price += limits.recent.contains(drop) ? limits.undo_price : 0;
  }
  return price;
}

void Apply(LayerPlacement& layer, const Change& change) {
  for (const auto& [expert, rank] : change.loads) {
    layer.ranks_of[expert].push_back(rank);
  }
  for (const auto& [expert, rank] : change.drops) {
    std::erase(layer.ranks_of[expert], rank);
  }
}

std::vector<Change> ImproveLayer(LayerPlacement layer,
                                 const Shares& shares,
                                 const Shape& shape,
                                 const SearchLimits& limits) {
  Search search{.shares = shares,
                .shape = shape,
                .limits = limits,
                .layer = std::move(layer),
                .experts_on = std::vector<std::vector<Expert>>(shape.ranks),
                .loads = {},
                .staged = std::vector<uint32_t>(shape.ranks, 0)};
  for (Expert expert = 0; expert < shares.size(); ++expert) {
    for (const Rank rank : search.layer.ranks_of[expert]) {
      search.experts_on[rank].push_back(expert);
    }
  }
  search.loads = RankLoads(search.layer, shares, shape.ranks);
  std::vector<Change> changes;
  size_t loaded = 0;
  while (loaded < limits.max_loads) {
    Candidate best = FindBestChange(search);
    loaded += best.change.loads.size();
    if (best.score <= 0 || loaded > limits.max_loads) {
      break;
    }
    Commit(search, best.change);
    changes.push_back(std::move(best.change));
  }
  return changes;
}

}  // namespace bramleyspan::placement
