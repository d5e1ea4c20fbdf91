#include "LibCatalogue/Names.h"

#include <array>
#include <utility>

namespace bramleyspan::catalogue {

namespace {

template <typename Value>
struct NamedValue {
  Value value;
  std::string_view name;
};

constexpr std::array<NamedValue<ServiceClass>, 3> kServiceClasses{{
    {ServiceClass::kInteractive, "interactive"},
    {ServiceClass::kStandard, "standard"},
    {ServiceClass::kBatch, "batch"},
}};

constexpr std::array<NamedValue<BackEndKind>, 2> kBackEndKinds{{
    {BackEndKind::kModel, "model"},
    {BackEndKind::kService, "service"},
}};

constexpr std::array<NamedValue<Repetition>, 2> kRepetitions{{
    {Repetition::kRepeatable, "repeatable"},
    {Repetition::kAtMostOnce, "at-most-once"},
}};

template <typename Table, typename Value>
std::string_view FindName(const Table& table, Value value) {
  for (const auto& row : table) {
    if (row.value == value) {
      return row.name;
    }
  }
  return {};
}

template <typename Value, size_t kSize>
Result<Value> FindValue(const std::array<NamedValue<Value>, kSize>& table,
                        const std::string& name) {
  std::string allowed;
  for (const auto& row : table) {
    if (row.name == name) {
      return row.value;
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(row.name);
  }
  return Fail(ErrorCode::kMalformedDocument, name, "allowed are: " + allowed);
}

}  // namespace

std::string_view NameOf(ServiceClass service_class) {
  return FindName(kServiceClasses, service_class);
}

std::string_view NameOf(BackEndKind kind) {
  return FindName(kBackEndKinds, kind);
}

std::string_view NameOf(Repetition repetition) {
  return FindName(kRepetitions, repetition);
}

Result<ServiceClass> ParseServiceClass(const std::string& name) {
  return FindValue(kServiceClasses, name);
}

Result<BackEndKind> ParseBackEndKind(const std::string& name) {
  return FindValue(kBackEndKinds, name);
}

Result<Repetition> ParseRepetition(const std::string& name) {
  return FindValue(kRepetitions, name);
}

}  // namespace bramleyspan::catalogue
