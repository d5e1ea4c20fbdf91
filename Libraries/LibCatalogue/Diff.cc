#include "LibCatalogue/Diff.h"

#include <array>
#include <nlohmann/json.hpp>

#include "LibCatalogue/Document.h"

namespace bramleyspan::catalogue {

namespace {

using nlohmann::json;

// Section keys of the JSON document and their names in the operators' TOML
// file.
constexpr std::array<std::pair<const char*, const char*>, 3> kSections{{
    {"owners", "owner"},
    {"entries", "entry"},
    {"groups", "group"},
}};

// Returns the declarations of a section, keyed by name.
json IndexByName(const json& section) {
  json index = json::object();
  for (const json& item : section) {
    index[item.at("name").get<std::string>()] = item;
  }
  return index;
}

std::vector<std::string> CompareFields(const json& before, const json& after) {
  std::vector<std::string> fields;
  for (const auto& [name, value] : after.items()) {
    const json old_value = before.value(name, json());
    if (old_value != value) {
      fields.push_back(name + ": " + old_value.dump() + " -> " + value.dump());
    }
  }
  for (const auto& [name, value] : before.items()) {
    if (!after.contains(name)) {
      fields.push_back(name + ": " + value.dump() + " -> none");
    }
  }
  return fields;
}

void CompareSection(const json& before,
                    const json& after,
                    const std::string& section,
                    std::vector<Difference>& differences) {
  for (const auto& [name, value] : after.items()) {
    if (!before.contains(name)) {
      differences.push_back({DifferenceKind::kAdded, section, name, {}});
    } else if (before[name] != value) {
      differences.push_back({DifferenceKind::kChanged, section, name,
                             CompareFields(before[name], value)});
    }
  }
  for (const auto& [name, value] : before.items()) {
    if (!after.contains(name)) {
      differences.push_back({DifferenceKind::kRemoved, section, name, {}});
    }
  }
}

}  // namespace

std::vector<Difference> Compare(const Catalogue& before,
                                const Catalogue& after) {
  const json old_document = json::parse(SerializeJson(before));
  const json new_document = json::parse(SerializeJson(after));
  std::vector<Difference> differences;
  for (const auto& [key, section] : kSections) {
    CompareSection(IndexByName(old_document.at(key)),
                   IndexByName(new_document.at(key)), section, differences);
  }
  return differences;
}

std::string Format(const Difference& difference) {
  constexpr std::array<char, 3> kMarks{'+', '-', '~'};
  std::string line(1, kMarks.at(static_cast<size_t>(difference.kind)));
  line += " " + difference.section + " " + difference.name;
  for (size_t i = 0; i < difference.fields.size(); ++i) {
    line += (i == 0 ? ": " : ", ") + difference.fields[i];
  }
  return line;
}

}  // namespace bramleyspan::catalogue
