#include "LibPlacement/Popularity.h"

#include <cmath>
#include <numeric>

namespace bramleyspan::placement {

void ObserveStep(Popularity& popularity,
                 const std::vector<uint32_t>& routed_tokens,
                 Duration half_life,
                 TimePoint now) {
  if (popularity.total > 0 && now < popularity.updated) {
    return;
  }
  const double half_lives =
      std::chrono::duration<double>(now - popularity.updated) / half_life;
  const double decay = std::exp2(-half_lives);
  popularity.updated = now;
  popularity.tokens.resize(routed_tokens.size());
  for (size_t expert = 0; expert < routed_tokens.size(); ++expert) {
    popularity.tokens[expert] =
        popularity.tokens[expert] * decay + routed_tokens[expert];
  }
  const double step =
      std::accumulate(routed_tokens.begin(), routed_tokens.end(), 0.0);
  popularity.total = popularity.total * decay + step;
  popularity.squared_total = popularity.squared_total * decay * decay + step;
}

Shares EstimateShares(const Popularity& popularity) {
  Shares shares = popularity.tokens;
  for (double& share : shares) {
    share = popularity.total > 0 ? share / popularity.total
                                 : 1.0 / static_cast<double>(shares.size());
  }
  return shares;
}

double EffectiveTokens(const Popularity& popularity) {
  if (popularity.squared_total <= 0) {
    return 0;
  }
  return popularity.total * popularity.total / popularity.squared_total;
}

}  // namespace bramleyspan::placement
