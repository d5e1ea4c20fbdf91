// Hashes and message authentication codes from OpenSSL, and random bytes from
// the operating system.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bramleyspan {

// Returns the SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// Returns the SHA-256 of these parts, one after the other.
std::string Sha256Hex(std::span<const std::string_view> parts);

// Returns the first 128 bits of HMAC-SHA-256 as 32 hexadecimal digits.
std::string AuthenticationCode(std::string_view secret, std::string_view bytes);

// Compares two texts. For texts of equal length the time taken does not depend
// on where they differ.
bool is_equal_in_constant_time(std::string_view left, std::string_view right);

// Returns `count` random bytes from getrandom() as 2 * `count` hexadecimal
// digits.
std::string RandomHex(size_t count);

// Returns 64 random bits from getrandom().
uint64_t RandomBits();

}  // namespace bramleyspan
