#include "endivelatch/wire/authenticator.hpp"

#include "endivelatch/base/digest.hpp"

#include <algorithm>
#include <new>
#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <string>

namespace endivelatch {
namespace {

constexpr std::size_t hmac_size = 32;
constexpr std::size_t sequence_number_size = 8;
constexpr unsigned bits_per_byte = 8;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

/// Returns the number in big-endian order.
std::array<unsigned char, sequence_number_size> to_bytes(std::uint64_t number)
{
    std::array<unsigned char, sequence_number_size> out{};
    for (std::size_t n = sequence_number_size; n > 0; --n) {
        out.at(n - 1) = static_cast<unsigned char>(number);
        number >>= bits_per_byte;
    }
    return out;
}

/// Returns an uninitialised HMAC context.
EVP_MAC_CTX* new_context()
{
    EVP_MAC* mac = EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr);
    EVP_MAC_CTX* context = EVP_MAC_CTX_new(mac);
    EVP_MAC_free(mac);
    return context;
}

} // namespace

void authenticator::context_deleter::operator()(evp_mac_ctx_st* context) const
{
    EVP_MAC_CTX_free(context);
}

authenticator::authenticator(std::string_view key) : context_{new_context()}
{
    std::string digest = "SHA256";
    const std::array params{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
        OSSL_PARAM_construct_end()};
    if (!context_ || EVP_MAC_init(context_.get(), as_bytes(key), key.size(), params.data()) != 1) {
        throw std::bad_alloc{};
    }
}

auth_tag authenticator::compute_tag(std::uint64_t sequence_number, std::string_view content) const
{
    std::array<unsigned char, hmac_size> full{};
    const auto prefix = to_bytes(sequence_number);
    std::size_t size = 0;
    EVP_MAC_init(context_.get(), nullptr, 0, nullptr);
    EVP_MAC_update(context_.get(), prefix.data(), prefix.size());
    EVP_MAC_update(context_.get(), as_bytes(content), content.size());
    EVP_MAC_final(context_.get(), full.data(), &size, full.size());
    auth_tag out{};
    std::copy_n(full.begin(), out.size(), out.begin());
    return out;
}

bool authenticator::verify(std::uint64_t sequence_number, std::string_view content,
                           std::string_view tag) const
{
    const auto expected = compute_tag(sequence_number, content);
    return equal_in_constant_time({expected.data(), expected.size()}, tag);
}

} // namespace endivelatch
