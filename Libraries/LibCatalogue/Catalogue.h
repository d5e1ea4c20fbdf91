// Plain values of the catalogue: the owners, entries and groups that operators
// declare and processes apply.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::catalogue {

// Priority class of an entry's requests; a lower value is served first.
enum class ServiceClass : uint8_t { kInteractive, kStandard, kBatch };

// Kind of back end that answers an entry's requests.
enum class BackEndKind : uint8_t { kModel, kService };

// Whether a request may run more than once.
enum class Repetition : uint8_t { kRepeatable, kAtMostOnce };

// Limits of an owner or an entry; zero means unlimited.
struct Limits {
  uint32_t requests_per_second = 0;
  uint32_t tokens_per_second = 0;
  uint32_t concurrent = 0;

  bool operator==(const Limits&) const = default;
};

// A customer. Its callers authenticate with a key, of which only the SHA-256
// digest is stored.
struct Owner {
  std::string name;
  std::string key_sha256;
  Limits limits;

  bool operator==(const Owner&) const = default;
};

// One kind of request of an owner: its back end, priority, deadline and limits.
struct Entry {
  std::string name;
  std::string owner;
  ServiceClass service_class = ServiceClass::kStandard;
  BackEndKind kind = BackEndKind::kModel;
  // Name of the model or plain service that answers.
  std::string back_end;
  Repetition repetition = Repetition::kRepeatable;
  // Maximum time to the first byte of an answer.
  std::chrono::milliseconds deadline{2000};
  Limits limits;

  bool operator==(const Entry&) const = default;
};

// Targets that serve one back end: the ranks of a model group in rank order, or
// the replicas of a plain service.
struct Group {
  std::string name;
  BackEndKind kind = BackEndKind::kModel;
  std::string back_end;
  std::vector<std::string> targets;
  uint32_t experts = 0;
  uint32_t slots_per_rank = 0;
  // Weight of one second of skew against one gigabyte moved, in [0, 1].
  double skew_weight = 0.5;

  bool operator==(const Group&) const = default;
};

// All declarations, by name.
struct Catalogue {
  std::map<std::string, Owner> owners;
  std::map<std::string, Entry> entries;
  std::map<std::string, Group> groups;

  bool operator==(const Catalogue&) const = default;
};

// Returns the owner whose key has this digest, or nullptr.
const Owner* FindOwnerByKeyDigest(const Catalogue& catalogue,
                                  const std::string& key_sha256);

}  // namespace bramleyspan::catalogue
