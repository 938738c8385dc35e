#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

// OpenSSL's EVP_MAC_CTX, declared here so that this header does not include OpenSSL's.
struct evp_mac_ctx_st; // NOLINT(readability-identifier-naming)

namespace endivelatch {

/// Size of an authentication tag, in bytes.
constexpr std::size_t auth_tag_size = 16;

/// An authentication tag: an HMAC-SHA-256 truncated to its first bytes.
using auth_tag = std::array<char, auth_tag_size>;

/// Computes and verifies authentication tags under one key. The key is set up only once.
class authenticator {
public:
    explicit authenticator(std::string_view key);

    /// Returns the tag of the sequence number and the content.
    auth_tag compute_tag(std::uint64_t sequence_number, std::string_view content) const;

    /// Returns whether the tag matches, in time that does not depend on where it differs.
    bool verify(std::uint64_t sequence_number, std::string_view content,
                std::string_view tag) const;

private:
    /// Frees an OpenSSL context.
    struct context_deleter {
        void operator()(evp_mac_ctx_st* context) const;
    };

    std::unique_ptr<evp_mac_ctx_st, context_deleter> context_;
};

} // namespace endivelatch
