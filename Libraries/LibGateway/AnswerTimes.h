// How long answers take lately, by which a process that stops judges what it
// can still finish.
#pragma once

#include <cstddef>

#include "Kernel/Time.h"

namespace bramleyspan::gateway {

// The course of one answer. An answer that is no stream has one event.
struct AnswerRun {
  // From the first sending of its request to the first event.
  Duration first{};
  size_t events = 1;
  // From the first event to the last.
  Duration rest{};
  // The longest pause between two events, such as one in which its group stood.
  Duration longest_pause{};
};

// The longest of lately, in two spans: the present one, and the one before it.
struct AnswerTimes {
  struct Span {
    Duration first{};
    // Mean pause of an answer, without its longest one.
    Duration pause{};
    Duration longest_pause{};
    size_t most_events = 0;
    // Whether a stream was long enough to show its pauses.
    bool has_pause = false;
    // Whole answers.
    size_t answers = 0;
  };
  TimePoint began;
  Span present;
  Span before;
};

// Records an answer that has ended as a whole.
void RecordWhole(AnswerTimes& times, const AnswerRun& run, TimePoint now);

// Records an answer that goes on, or whose end is not known.
void RecordPart(AnswerTimes& times, const AnswerRun& run, TimePoint now);

// What is known of an answer before it begins.
struct AnswerOutlook {
  // How many events it has at most; 0 if that is unknown.
  size_t events = 1;
  // The longest until the first event, and between two, that are on time.
  Duration objective{};
  Duration longest_pause{};
  // The time after which the request is given up, by its caller or its route.
  Duration allowed{};
};

// Returns how long the answer is expected to take, at most. Without enough
// answers of lately it is expected to be on time, or as late as they are; a
// stream without a pause of lately, to take what it is allowed to.
Duration ExpectedRun(const AnswerTimes& times,
                     const AnswerOutlook& outlook,
                     TimePoint now);

}  // namespace bramleyspan::gateway
