// Estimates the time to the first token of a prompt as a fixed cost plus a cost
// per token, by least squares over decayed sums of past prompts.
#pragma once

#include <cstdint>

#include "Kernel/Time.h"

namespace bramleyspan::admission {

// Decayed sums over the samples, in tokens and microseconds.
struct PrefillModel {
  double weight = 0;
  double tokens = 0;
  double time = 0;
  double tokens_squared = 0;
  double tokens_time = 0;
};

// Adds a sample: a prompt of `tokens` uncached tokens took `time`.
void AddSample(PrefillModel& model, uint32_t tokens, Duration time);

// Returns the expected time of a prompt of `tokens` uncached tokens; zero
// without samples. Prompts of one length reveal no cost per token, so none is
// assumed then.
Duration Predict(const PrefillModel& model, uint32_t tokens);

}  // namespace bramleyspan::admission
