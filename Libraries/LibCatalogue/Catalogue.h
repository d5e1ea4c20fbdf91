// The catalogue as plain values: what operators declare and processes obey.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Kernel/Time.h"

namespace bramleyspan::catalogue {

// How urgent an entry's requests are; a lower value goes first.
enum class ServiceClass : uint8_t { kInteractive, kStandard, kBatch };

// What answers an entry's requests.
enum class BackEndKind : uint8_t { kModel, kService };

// Whether a request may run more than once.
enum class Repetition : uint8_t { kRepeatable, kAtMostOnce };

// What an owner agreed to; zero means not limited.
struct Limits {
  uint32_t requests_per_second = 0;
  uint32_t tokens_per_second = 0;
  uint32_t concurrent = 0;

  bool operator==(const Limits&) const = default;
};

// A customer. Callers prove who they are with a key of which only the digest
// is kept.
struct Owner {
  std::string name;
  std::string key_sha256;
  Limits limits;

  bool operator==(const Owner&) const = default;
};

// One kind of work of one owner.
struct Entry {
  std::string name;
  std::string owner;
  ServiceClass service_class = ServiceClass::kStandard;
  BackEndKind kind = BackEndKind::kModel;
  // The model or the plain service that answers.
  std::string back_end;
  Repetition repetition = Repetition::kRepeatable;
  // The longest wait for the first byte of an answer.
  std::chrono::milliseconds deadline{2000};
  Limits limits;

  bool operator==(const Entry&) const = default;
};

// Targets that answer together: the ranks of a model group in their order, or
// the replicas of a plain service.
struct Group {
  std::string name;
  BackEndKind kind = BackEndKind::kModel;
  std::string back_end;
  std::vector<std::string> targets;
  uint32_t experts = 0;
  uint32_t slots_per_rank = 0;
  // Weight of a second of skew against a gigabyte moved, in [0, 1].
  double skew_weight = 0.5;

  bool operator==(const Group&) const = default;
};

// Everything that is declared, by name.
struct Catalogue {
  std::map<std::string, Owner> owners;
  std::map<std::string, Entry> entries;
  std::map<std::string, Group> groups;

  bool operator==(const Catalogue&) const = default;
};

// The owner whose key has this digest, if any.
const Owner* FindOwnerByKeyDigest(const Catalogue& catalogue,
                                  const std::string& key_sha256);

}  // namespace bramleyspan::catalogue
