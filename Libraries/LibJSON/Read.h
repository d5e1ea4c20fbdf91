// Reads JSON of others: no text ends the process. nlohmann copies, compares and
// writes a value by recursion, so that a deep one exhausts the stack, and its
// typed access throws.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bramleyspan::json_text {

// Levels of arrays and objects within each other.
inline constexpr size_t kMaxNesting = 128;

// Returns the value of a text. The value is discarded (nlohmann's
// `is_discarded`) if the text is malformed or nested more deeply than
// kMaxNesting.
nlohmann::json Parse(std::string_view text);

// As Parse, for the bytes of a value in MessagePack.
nlohmann::json ParsePacked(std::string_view bytes);

// Returns the member `name` of an object; null if there is none.
const nlohmann::json* Find(const nlohmann::json& source, const char* name);

// Return a member of an object, none if it is absent or has another type. A
// number that the type does not hold is none, too.
std::optional<std::string> FindText(const nlohmann::json& source,
                                    const char* name);
std::optional<uint64_t> FindUnsigned(const nlohmann::json& source,
                                     const char* name,
                                     uint64_t max = UINT64_MAX);

// Whether the bytes are UTF-8, as nlohmann asks of every text that it writes.
bool is_text(std::string_view bytes);

// Writes a value whose texts may come from callers: bytes that are no UTF-8 are
// replaced.
std::string Write(const nlohmann::json& value, int indent = -1);

}  // namespace bramleyspan::json_text
