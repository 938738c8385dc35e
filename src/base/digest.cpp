#include "endivelatch/base/digest.hpp"

#include <array>
#include <cstdint>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace endivelatch {

namespace {

constexpr std::size_t digest_size = 32;
constexpr std::string_view base64url_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned bits_per_byte = 8;
constexpr unsigned bits_per_digit = 6;
constexpr std::uint32_t digit_mask = 63;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string sha256(std::string_view text)
{
    std::array<unsigned char, digest_size> buf{};
    unsigned n = 0;
    EVP_Digest(text.data(), text.size(), buf.data(), &n, EVP_sha256(), nullptr);
    return {buf.begin(), buf.end()};
}

std::string hmac_sha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, digest_size> buf{};
    unsigned n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), as_bytes(text), text.size(),
         buf.data(), &n);
    return {buf.begin(), buf.end()};
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned low_bits = 15;
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        text += digits[byte >> 4U];
        text += digits[byte & low_bits];
    }
    return text;
}

std::string to_base64url(std::string_view bytes)
{
    std::string text;
    std::uint32_t pending = 0;
    unsigned bits = 0;
    for (const char it : bytes) {
        pending = (pending << bits_per_byte) | static_cast<unsigned char>(it);
        bits += bits_per_byte;
        while (bits >= bits_per_digit) {
            bits -= bits_per_digit;
            text += base64url_digits[(pending >> bits) & digit_mask];
        }
    }
    if (bits > 0) {
        text += base64url_digits[(pending << (bits_per_digit - bits)) & digit_mask];
    }
    return text;
}

std::optional<std::string> from_base64url(std::string_view text)
{
    std::string bytes;
    std::uint32_t pending = 0;
    unsigned bits = 0;
    for (const char it : text) {
        const auto digit = base64url_digits.find(it);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        pending = (pending << bits_per_digit) | static_cast<std::uint32_t>(digit);
        bits += bits_per_digit;
        if (bits >= bits_per_byte) {
            bits -= bits_per_byte;
            bytes += static_cast<char>((pending >> bits) & 255U);
        }
    }
    if (bits >= bits_per_digit) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace endivelatch
