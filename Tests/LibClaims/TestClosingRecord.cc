#include <doctest/doctest.h>

#include "LibClaims/ClosingRecord.h"

namespace bramleyspan::claims {

namespace {

using std::chrono::minutes;

std::string IssueAndAdmit(ClaimRegistry& registry,
                          const std::string& nonce,
                          TimePoint now) {
  std::string key = IssueClaim(registry, "huber", "issue", nonce, now);
  REQUIRE(AdmitClaim(registry, {key, "huber", "issue", ""}, now) ==
          ClaimDecision::kRun);
  return key;
}

ClosingRecordDecision Decide(const ClosingRecords& records,
                             const std::string& key) {
  return DecideByClosingRecord(records, ParseClaimKey(key).value());
}

}  // namespace

// Failure: an agent is stopped for a new release, and callers that hold its
// keys get only "unknown", even for calls that never ran. A caller whose call
// may have run must not get "not run".
TEST_CASE("a closing record tells which keys of a stopped agent never ran") {
  ClaimRegistry registry;
  registry.agent = "t5";
  registry.incarnation = 1;
  const TimePoint now = registry.started;
  const std::string removed = IssueAndAdmit(registry, "01", now);
  FinishClaim(registry, removed, {.status = 200});
  const TimePoint later = now + minutes(30);
  RemoveExpiredEpochs(registry, later);
  const std::string unused =
      IssueClaim(registry, "huber", "issue", "02", later);
  const std::string done = IssueAndAdmit(registry, "03", later);
  FinishClaim(registry, done, {.status = 200});
  const std::string lost = IssueAndAdmit(registry, "04", later);
  MarkClaimUnknown(registry, lost);
  const std::string running = IssueAndAdmit(registry, "05", later);
  const std::string refused = IssueAndAdmit(registry, "06", later);
  RefuseClaim(registry, refused);

  ClosingRecords records;
  CHECK(Decide(records, unused) == ClosingRecordDecision::kNoClosingRecord);
  CHECK(AddClosingRecord(records, MakeClosingRecord(registry), later));
  CHECK_FALSE(AddClosingRecord(records, MakeClosingRecord(registry), later));
  CHECK(Decide(records, unused) == ClosingRecordDecision::kNotRun);
  CHECK(Decide(records, refused) == ClosingRecordDecision::kNotRun);
  CHECK(Decide(records, removed) == ClosingRecordDecision::kMayHaveRun);
  CHECK(Decide(records, done) == ClosingRecordDecision::kMayHaveRun);
  CHECK(Decide(records, lost) == ClosingRecordDecision::kMayHaveRun);
  CHECK(Decide(records, running) == ClosingRecordDecision::kMayHaveRun);
  RemoveOldClosingRecords(records, later + records.keep);
  CHECK(Decide(records, unused) == ClosingRecordDecision::kNoClosingRecord);
}

}  // namespace bramleyspan::claims
