#include <algorithm>
#include <initializer_list>
#include <sstream>
#include <toml.hpp>

#include "LibCatalogue/Document.h"
#include "LibCatalogue/Names.h"

namespace bramleyspan::catalogue {

namespace {

constexpr int64_t kMaxLimit = 1'000'000'000;
constexpr int64_t kMaxDeadlineMilliseconds = 600'000;

auto FailAt(const toml::value& node, const std::string& detail) {
  return Fail(ErrorCode::kMalformedDocument,
              node.location().file_name() + ":" +
                  std::to_string(node.location().line()),
              detail);
}

Result<void> RejectUnknownFields(
    const toml::value& table,
    std::initializer_list<std::string_view> known) {
  for (const auto& [key, value] : table.as_table()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      return FailAt(value, "unknown field '" + key + "'");
    }
  }
  return Succeed();
}

Result<std::string> RequireText(const toml::value& table, const char* key) {
  if (!table.contains(key)) {
    return FailAt(table, std::string("field '") + key + "' is missing");
  }
  const toml::value& value = table.at(key);
  if (!value.is_string() || value.as_string().str.empty()) {
    return FailAt(value, std::string("field '") + key + "' is no text");
  }
  return value.as_string().str;
}

Result<int64_t> FindInteger(const toml::value& table,
                            const char* key,
                            int64_t fallback,
                            int64_t max_value) {
  if (!table.contains(key)) {
    return fallback;
  }
  const toml::value& value = table.at(key);
  if (!value.is_integer() || value.as_integer() < 0 ||
      value.as_integer() > max_value) {
    return FailAt(value, std::string("field '") + key +
                             "' is no whole number from 0 to " +
                             std::to_string(max_value));
  }
  return value.as_integer();
}

Result<double> FindFraction(const toml::value& table,
                            const char* key,
                            double fallback) {
  if (!table.contains(key)) {
    return fallback;
  }
  const toml::value& value = table.at(key);
  if (!value.is_floating() || value.as_floating() < 0 ||
      value.as_floating() > 1) {
    return FailAt(
        value, std::string("field '") + key + "' is no number from 0.0 to 1.0");
  }
  return value.as_floating();
}

// Parses the name of an enumeration value; a failure contains its file and
// line.
template <typename Parse>
auto ParseEnum(const toml::value& table, const char* key, Parse parse)
    -> decltype(parse(std::string())) {
  const std::string name = TRY(RequireText(table, key));
  auto parsed = parse(name);
  if (parsed.has_error()) {
    return FailAt(table.at(key), "'" + name + "': " + parsed.error().detail);
  }
  return parsed;
}

Result<Limits> ParseLimits(const toml::value& table) {
  Limits limits;
  if (!table.contains("limits")) {
    return limits;
  }
  const toml::value& section = table.at("limits");
  if (!section.is_table()) {
    return FailAt(section, "field 'limits' is no table");
  }
  TRY(RejectUnknownFields(
      section, {"requests_per_second", "tokens_per_second", "concurrent"}));
  limits.requests_per_second = static_cast<uint32_t>(
      TRY(FindInteger(section, "requests_per_second", 0, kMaxLimit)));
  limits.tokens_per_second = static_cast<uint32_t>(
      TRY(FindInteger(section, "tokens_per_second", 0, kMaxLimit)));
  limits.concurrent = static_cast<uint32_t>(
      TRY(FindInteger(section, "concurrent", 0, kMaxLimit)));
  return limits;
}

Result<Owner> ParseOwner(const toml::value& table) {
  TRY(RejectUnknownFields(table, {"name", "key_sha256", "limits"}));
  Owner owner;
  owner.name = TRY(RequireText(table, "name"));
  owner.key_sha256 = TRY(RequireText(table, "key_sha256"));
  owner.limits = TRY(ParseLimits(table));
  return owner;
}

Result<Entry> ParseEntry(const toml::value& table) {
  TRY(RejectUnknownFields(table, {"name", "owner", "class", "model", "service",
                                  "repetition", "deadline_ms", "limits"}));
  Entry entry;
  entry.name = TRY(RequireText(table, "name"));
  entry.owner = TRY(RequireText(table, "owner"));
  entry.service_class = TRY(ParseEnum(table, "class", ParseServiceClass));
  if (table.contains("model") == table.contains("service")) {
    return FailAt(table, "an entry names either a 'model' or a 'service'");
  }
  const bool is_model = table.contains("model");
  entry.kind = is_model ? BackEndKind::kModel : BackEndKind::kService;
  entry.back_end = TRY(RequireText(table, is_model ? "model" : "service"));
  if (table.contains("repetition")) {
    entry.repetition = TRY(ParseEnum(table, "repetition", ParseRepetition));
  }
  entry.deadline = std::chrono::milliseconds(TRY(FindInteger(
      table, "deadline_ms", entry.deadline.count(), kMaxDeadlineMilliseconds)));
  entry.limits = TRY(ParseLimits(table));
  return entry;
}

Result<Group> ParseGroup(const toml::value& table) {
  TRY(RejectUnknownFields(table, {"name", "model", "service", "targets",
                                  "experts", "slots_per_rank", "skew_weight"}));
  Group group;
  group.name = TRY(RequireText(table, "name"));
  if (table.contains("model") == table.contains("service")) {
    return FailAt(table, "a group names either a 'model' or a 'service'");
  }
  const bool is_model = table.contains("model");
  group.kind = is_model ? BackEndKind::kModel : BackEndKind::kService;
  group.back_end = TRY(RequireText(table, is_model ? "model" : "service"));
  if (!table.contains("targets") || !table.at("targets").is_array()) {
    return FailAt(table, "field 'targets' is no list");
  }
  for (const toml::value& target : table.at("targets").as_array()) {
    if (!target.is_string()) {
      return FailAt(target, "a target is named by a text");
    }
    group.targets.push_back(target.as_string().str);
  }
  group.experts =
      static_cast<uint32_t>(TRY(FindInteger(table, "experts", 0, kMaxLimit)));
  group.slots_per_rank = static_cast<uint32_t>(
      TRY(FindInteger(table, "slots_per_rank", 0, kMaxLimit)));
  group.skew_weight =
      TRY(FindFraction(table, "skew_weight", group.skew_weight));
  return group;
}

// Parses each table of the list `key` into `items`, keyed by name.
template <typename Declaration, typename Parse>
Result<void> ParseList(const toml::value& document,
                       const char* key,
                       Parse parse,
                       std::map<std::string, Declaration>& declarations) {
  if (!document.contains(key)) {
    return Succeed();
  }
  if (!document.at(key).is_array()) {
    return FailAt(document.at(key),
                  std::string("'") + key + "' is no list of tables");
  }
  for (const toml::value& table : document.at(key).as_array()) {
    if (!table.is_table()) {
      return FailAt(table, std::string("'") + key + "' is no table");
    }
    Declaration declaration = TRY(parse(table));
    const std::string name = declaration.name;
    if (!declarations.emplace(name, std::move(declaration)).second) {
      return FailAt(table, "'" + name + "' is declared twice");
    }
  }
  return Succeed();
}

}  // namespace

Result<Catalogue> ParseToml(const std::string& text,
                            const std::string& file_name) {
  std::istringstream stream(text);
  toml::value document;
  try {
    document = toml::parse(stream, file_name);
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, file_name, failure.what());
  }
  TRY(RejectUnknownFields(document, {"owner", "entry", "group"}));
  Catalogue catalogue;
  TRY(ParseList(document, "owner", ParseOwner, catalogue.owners));
  TRY(ParseList(document, "entry", ParseEntry, catalogue.entries));
  TRY(ParseList(document, "group", ParseGroup, catalogue.groups));
  TRY(Check(catalogue));
  return catalogue;
}

}  // namespace bramleyspan::catalogue
