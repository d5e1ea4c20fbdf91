// How long a prompt takes to its first token, learnt from those that came
// before: a fixed cost and a cost per token, by least squares over decayed
// sums.
#pragma once

#include <cstdint>

#include "Kernel/Time.h"

namespace bramleyspan::admission {

// Decayed sums over what was measured, in tokens and microseconds.
struct PrefillModel {
  double weight = 0;
  double tokens = 0;
  double time = 0;
  double tokens_squared = 0;
  double tokens_time = 0;
};

// Takes in that a prompt of `tokens` uncached tokens took `time`.
void AddSample(PrefillModel& model, uint32_t tokens, Duration time);

// The time that a prompt of `tokens` uncached tokens is expected to take; zero
// while nothing was measured. Prompts of one length show no cost per token,
// and none is assumed then.
Duration Predict(const PrefillModel& model, uint32_t tokens);

}  // namespace bramleyspan::admission
