#include "Kernel/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sys/random.h>

#include <array>

namespace bramleyspan {

namespace {

constexpr size_t kAuthenticationCodeBytes = 16;

// Uses only the operating system's random numbers. A generator that also mixes
// in the processor's random instructions or cycle counter would make two runs
// of a simulation with the same seed differ, so failures could not be
// reproduced.
void FillRandom(void* bytes, size_t count) {
  auto* at = static_cast<unsigned char*>(bytes);
  while (count > 0) {
    const ssize_t filled = getrandom(at, count, 0);
    if (filled > 0) {
      at += filled;
      count -= static_cast<size_t>(filled);
    }
  }
}

std::string ToHex(const unsigned char* bytes, size_t count) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(count * 2);
  for (size_t i = 0; i < count; ++i) {
    text += kDigits[bytes[i] >> 4];
    text += kDigits[bytes[i] & 0xF];
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  return Sha256Hex(std::span(&bytes, 1));
}

std::string Sha256Hex(std::span<const std::string_view> parts) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_MD_CTX* const context = EVP_MD_CTX_new();
  EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
  for (const std::string_view part : parts) {
    EVP_DigestUpdate(context, part.data(), part.size());
  }
  EVP_DigestFinal_ex(context, digest.data(), &length);
  EVP_MD_CTX_free(context);
  return ToHex(digest.data(), length);
}

std::string AuthenticationCode(std::string_view secret,
                               std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &length);
  return ToHex(digest.data(), kAuthenticationCodeBytes);
}

bool is_equal_in_constant_time(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomHex(size_t count) {
  std::string bytes(count, '\0');
  FillRandom(bytes.data(), count);
  return ToHex(reinterpret_cast<const unsigned char*>(bytes.data()), count);
}

uint64_t RandomBits() {
  uint64_t bits = 0;
  FillRandom(&bits, sizeof bits);
  return bits;
}

}  // namespace bramleyspan
