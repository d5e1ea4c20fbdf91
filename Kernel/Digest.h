// Hashes, message authentication and random bytes, all by OpenSSL.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bramleyspan {

// The SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// The first 128 bits of HMAC-SHA-256 as 32 hexadecimal digits.
std::string AuthenticationCode(std::string_view secret, std::string_view bytes);

// Compares without telling by its time where two texts differ.
bool is_equal_in_constant_time(std::string_view left, std::string_view right);

// `count` random bytes as hexadecimal digits, from the system's source.
std::string RandomHex(size_t count);

// 64 random bits from the system's source.
uint64_t RandomBits();

}  // namespace bramleyspan
