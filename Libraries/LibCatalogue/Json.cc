#include <nlohmann/json.hpp>

#include "LibCatalogue/Document.h"
#include "LibCatalogue/Names.h"

namespace bramleyspan::catalogue {

namespace {

using nlohmann::json;

json ToJson(const Limits& limits) {
  return {{"requests_per_second", limits.requests_per_second},
          {"tokens_per_second", limits.tokens_per_second},
          {"concurrent", limits.concurrent}};
}

json ToJson(const Owner& owner) {
  return {{"name", owner.name},
          {"key_sha256", owner.key_sha256},
          {"limits", ToJson(owner.limits)}};
}

json ToJson(const Entry& entry) {
  return {{"name", entry.name},
          {"owner", entry.owner},
          {"class", NameOf(entry.service_class)},
          {"kind", NameOf(entry.kind)},
          {"back_end", entry.back_end},
          {"repetition", NameOf(entry.repetition)},
          {"deadline_ms", entry.deadline.count()},
          {"limits", ToJson(entry.limits)}};
}

json ToJson(const Group& group) {
  return {{"name", group.name},
          {"kind", NameOf(group.kind)},
          {"back_end", group.back_end},
          {"targets", group.targets},
          {"experts", group.experts},
          {"slots_per_rank", group.slots_per_rank},
          {"skew_weight", group.skew_weight}};
}

Limits LimitsFromJson(const json& value) {
  return {.requests_per_second = value.at("requests_per_second"),
          .tokens_per_second = value.at("tokens_per_second"),
          .concurrent = value.at("concurrent")};
}

Result<Owner> OwnerFromJson(const json& value) {
  return Owner{.name = value.at("name"),
               .key_sha256 = value.at("key_sha256"),
               .limits = LimitsFromJson(value.at("limits"))};
}

Result<Entry> EntryFromJson(const json& value) {
  Entry entry;
  entry.name = value.at("name");
  entry.owner = value.at("owner");
  entry.service_class = TRY(ParseServiceClass(value.at("class")));
  entry.kind = TRY(ParseBackEndKind(value.at("kind")));
  entry.back_end = value.at("back_end");
  entry.repetition = TRY(ParseRepetition(value.at("repetition")));
  entry.deadline =
      std::chrono::milliseconds(value.at("deadline_ms").get<int64_t>());
  entry.limits = LimitsFromJson(value.at("limits"));
  return entry;
}

Result<Group> GroupFromJson(const json& value) {
  Group group;
  group.name = value.at("name");
  group.kind = TRY(ParseBackEndKind(value.at("kind")));
  group.back_end = value.at("back_end");
  group.targets = value.at("targets").get<std::vector<std::string>>();
  group.experts = value.at("experts");
  group.slots_per_rank = value.at("slots_per_rank");
  group.skew_weight = value.at("skew_weight");
  return group;
}

template <typename Declaration>
json ListToJson(const std::map<std::string, Declaration>& declarations) {
  json list = json::array();
  for (const auto& [name, declaration] : declarations) {
    list.push_back(ToJson(declaration));
  }
  return list;
}

template <typename Declaration, typename Parse>
Result<void> ListFromJson(const json& list,
                          Parse parse,
                          std::map<std::string, Declaration>& declarations) {
  for (const json& value : list) {
    Declaration declaration = TRY(parse(value));
    const std::string name = declaration.name;
    declarations.emplace(name, std::move(declaration));
  }
  return Succeed();
}

}  // namespace

std::string SerializeJson(const Catalogue& catalogue) {
  const json document = {{"owners", ListToJson(catalogue.owners)},
                         {"entries", ListToJson(catalogue.entries)},
                         {"groups", ListToJson(catalogue.groups)}};
  return document.dump();
}

Result<Catalogue> ParseJson(std::string_view text) {
  try {
    const json document = json::parse(text);
    Catalogue catalogue;
    TRY(ListFromJson(document.at("owners"), OwnerFromJson, catalogue.owners));
    TRY(ListFromJson(document.at("entries"), EntryFromJson, catalogue.entries));
    TRY(ListFromJson(document.at("groups"), GroupFromJson, catalogue.groups));
    return catalogue;
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::kMalformedDocument, "catalogue", failure.what());
  }
}

}  // namespace bramleyspan::catalogue
