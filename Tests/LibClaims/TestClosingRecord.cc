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

ClosingRecordDecision Decide(const ClosingRecords& book,
                             const std::string& key) {
  return DecideByClosingRecord(book, ParseClaimKey(key).value());
}

}  // namespace

// An agent is stopped for a new release. Callers that hold its keys would hear
// "unknown" from then on, also those whose calls surely never ran; and a caller
// whose invoice was issued must not hear "not run".
TEST_CASE("a seal tells which keys of a stopped agent never ran") {
  ClaimRegistry registry;
  registry.agent = "t5";
  registry.incarnation = 1;
  const TimePoint now = registry.started;
  const std::string forgotten = IssueAndAdmit(registry, "01", now);
  FinishClaim(registry, forgotten, {.status = 200});
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

  ClosingRecords book;
  CHECK(Decide(book, unused) == ClosingRecordDecision::kNoClosingRecord);
  CHECK(AddClosingRecord(book, MakeClosingRecord(registry), later));
  CHECK_FALSE(AddClosingRecord(book, MakeClosingRecord(registry), later));
  CHECK(Decide(book, unused) == ClosingRecordDecision::kNotRun);
  CHECK(Decide(book, refused) == ClosingRecordDecision::kNotRun);
  CHECK(Decide(book, forgotten) == ClosingRecordDecision::kMayHaveRun);
  CHECK(Decide(book, done) == ClosingRecordDecision::kMayHaveRun);
  CHECK(Decide(book, lost) == ClosingRecordDecision::kMayHaveRun);
  CHECK(Decide(book, running) == ClosingRecordDecision::kMayHaveRun);
  RemoveOldClosingRecords(book, later + book.keep);
  CHECK(Decide(book, unused) == ClosingRecordDecision::kNoClosingRecord);
}

}  // namespace bramleyspan::claims
