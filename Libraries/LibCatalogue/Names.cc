#include "LibCatalogue/Names.h"

#include <array>
#include <utility>

namespace bramleyspan::catalogue {

namespace {

template <typename Value>
struct Word {
  Value value;
  std::string_view word;
};

constexpr std::array<Word<ServiceClass>, 3> kServiceClasses{{
    {ServiceClass::kInteractive, "interactive"},
    {ServiceClass::kStandard, "standard"},
    {ServiceClass::kBatch, "batch"},
}};

constexpr std::array<Word<BackEndKind>, 2> kBackEndKinds{{
    {BackEndKind::kModel, "model"},
    {BackEndKind::kService, "service"},
}};

constexpr std::array<Word<Repetition>, 2> kRepetitions{{
    {Repetition::kRepeatable, "repeatable"},
    {Repetition::kAtMostOnce, "at-most-once"},
}};

template <typename Table, typename Value>
std::string_view FindWord(const Table& table, Value value) {
  for (const auto& row : table) {
    if (row.value == value) {
      return row.word;
    }
  }
  return {};
}

template <typename Value, size_t kSize>
Result<Value> FindValue(const std::array<Word<Value>, kSize>& table,
                        const std::string& word) {
  std::string allowed;
  for (const auto& row : table) {
    if (row.word == word) {
      return row.value;
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(row.word);
  }
  return Fail(ErrorCode::kMalformedDocument, word, "allowed are: " + allowed);
}

}  // namespace

std::string_view NameOf(ServiceClass service_class) {
  return FindWord(kServiceClasses, service_class);
}

std::string_view NameOf(BackEndKind kind) {
  return FindWord(kBackEndKinds, kind);
}

std::string_view NameOf(Repetition repetition) {
  return FindWord(kRepetitions, repetition);
}

Result<ServiceClass> ParseServiceClass(const std::string& word) {
  return FindValue(kServiceClasses, word);
}

Result<BackEndKind> ParseBackEndKind(const std::string& word) {
  return FindValue(kBackEndKinds, word);
}

Result<Repetition> ParseRepetition(const std::string& word) {
  return FindValue(kRepetitions, word);
}

}  // namespace bramleyspan::catalogue
