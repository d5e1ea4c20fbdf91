// Measures over simulated days after how many ends the part under which servers
// end is found, and how often a sound part is held back.
#include <algorithm>
#include <cstdio>

#include "Tests/LibGateway/SimulatedDays.h"
#include "Tests/LibGateway/SimulatedRequests.h"

namespace bramleyspan::gateway {

namespace {

constexpr uint64_t kDays = 40;

void Measure(const char* name, SimulatedDay day) {
  DayResult sum;
  size_t most_until_known = 0;
  size_t most_under_part = 0;
  size_t late_days = 0;
  for (uint64_t seed = 1; seed <= kDays; ++seed) {
    day.seed = seed;
    const DayResult result = RunDay(day);
    sum.sound += result.sound;
    sum.sound_rejected += result.sound_rejected;
    sum.sound_parts.merge(std::set<std::string>(result.sound_parts));
    sum.bad += result.bad;
    sum.ends_until_known += result.ends_until_known;
    sum.ends_under_part += result.ends_under_part;
    sum.other_ends += result.other_ends;
    late_days += result.late > 3 ? 1 : 0;
    most_until_known = std::max(most_until_known, result.ends_until_known);
    most_under_part = std::max(most_under_part, result.ends_under_part);
  }
  std::printf("| %s | %.1f | %zu | %.1f | %zu | %zu | %.1f | %zu | %.4f |\n",
              name, static_cast<double>(sum.ends_until_known) / kDays,
              most_until_known,
              static_cast<double>(sum.ends_under_part) / kDays, most_under_part,
              late_days, static_cast<double>(sum.other_ends) / kDays,
              sum.sound_parts.size(),
              100.0 * static_cast<double>(sum.sound_rejected) /
                  static_cast<double>(std::max<size_t>(1, sum.sound)));
}

void MeasureAll() {
  std::puts(
      "| days | ends until known | most | ends under the part | most | days "
      "over "
      "the bound | other ends | sound parts held back in 40 days | sound "
      "requests rejected, % |\n|---|---|---|---|---|---|---|---|---|");
  Measure("calm, 3 bad requests a second", {.bad = 3});
  Measure("0.2 bad requests a second", {.bad = 0.2});
  Measure("10 bad requests a second", {.bad = 10});
  Measure("3 bad, random ends 0.5 a second", {.bad = 3, .random_ends = 0.5});
  Measure("3 bad, 42 gateways, 64 servers, 300 requests a second",
          {.gateways = 42, .servers = 64, .sound = 300, .bad = 3});
  Measure("3 bad, gateways restarted one by one",
          {.bad = 3, .is_rolling = true});
  Measure("no bad, random ends 0.2 a second", {.random_ends = 0.2});
  Measure("no bad, random ends 1 a second", {.random_ends = 1});
  Measure("no bad, 3 zone failures", {.zone_failures = 3});
  Measure("no bad, 3 zone failures over 2 s",
          {.zone_failures = 3, .spread = std::chrono::seconds(2)});
  Measure("no bad, random ends 1 from the first second",
          {.random_ends = 1, .calm = Duration(0)});
  Measure("3 bad from the first second", {.bad = 3, .calm = Duration(0)});
  Measure("no bad, random ends 1, 3 zones, restarts",
          {.random_ends = 1, .zone_failures = 3, .is_rolling = true});
  Measure("no bad, one document a request, random ends 1",
          {.with_document = 1, .documents = 3000, .random_ends = 1});
}

void MeasureRequests(const char* name, RequestDay day, uint64_t days = kDays) {
  RequestDayResult sum;
  for (uint64_t seed = 1; seed <= days; ++seed) {
    day.seed = seed;
    const RequestDayResult result = RunRequestDay(day);
    sum.sound += result.sound;
    sum.sound_lost += result.sound_lost;
    sum.sound_held += result.sound_held;
    sum.late += result.late;
    sum.all_ends += result.all_ends;
    sum.messages += result.messages;
    sum.most_ends = std::max(sum.most_ends, result.most_ends);
    sum.most_records = std::max(sum.most_records, result.most_records);
  }
  const auto number = static_cast<double>(days);
  std::printf("| %s | %zu | %zu | %.1f | %.0f | %zu | %.4f | %zu | %.0f |\n",
              name, sum.most_ends, sum.late,
              static_cast<double>(sum.all_ends) / number,
              static_cast<double>(sum.sound_lost) / number, sum.sound_held,
              100.0 * static_cast<double>(sum.sound_held) /
                  static_cast<double>(std::max<size_t>(1, sum.sound)),
              sum.most_records, static_cast<double>(sum.messages) / number);
}

void MeasureAllRequests() {
  std::puts(
      "\n| days of single requests | most ends under one | later than the "
      "third "
      "end | all ends | sound attempts lost | sound requests held back in 40 "
      "days | of all, % | most records | messages a day |\n"
      "|---|---|---|---|---|---|---|---|---|");
  MeasureRequests("1 killing request", {.killing = 1});
  MeasureRequests("5, three of them at once, 32 servers",
                  {.servers = 32, .killing = 5});
  MeasureRequests("3, servers end after 2 ms",
                  {.killing = 3, .kills = std::chrono::milliseconds(2)});
  MeasureRequests("3, servers end after 0.7 s",
                  {.killing = 3, .kills = std::chrono::milliseconds(700)});
  MeasureRequests("3, sent to two gateways at once",
                  {.killing = 3, .is_doubled = true});
  MeasureRequests("3, random ends 0.5 a second",
                  {.killing = 3, .random_ends = 0.5});
  MeasureRequests("3, gateways restarted one by one",
                  {.killing = 3, .is_rolling = true});
  MeasureRequests("5, 42 gateways, 64 servers, 300 requests a second",
                  {.gateways = 42, .servers = 64, .sound = 300, .killing = 5},
                  /*days=*/8);
  MeasureRequests("none, random ends 0.2 a second", {.random_ends = 0.2});
  MeasureRequests("none, random ends 1 a second", {.random_ends = 1});
  MeasureRequests("none, 3 zone failures", {.zone_failures = 3});
  MeasureRequests(
      "none, 3 zone failures within 10 ms",
      {.zone_failures = 3, .spread = std::chrono::milliseconds(10)});
  MeasureRequests("none, 3 zone failures over 2 s",
                  {.zone_failures = 3, .spread = std::chrono::seconds(2)});
  MeasureRequests("none, random ends 1, 3 zones, restarts",
                  {.random_ends = 1, .zone_failures = 3, .is_rolling = true});
}

}  // namespace

}  // namespace bramleyspan::gateway

int main() {
  bramleyspan::gateway::MeasureAll();
  bramleyspan::gateway::MeasureAllRequests();
  return 0;
}
