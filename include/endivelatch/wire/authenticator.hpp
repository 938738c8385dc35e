#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

// Type of OpenSSL's contexts, declared here so that its headers stay private.
struct evp_mac_ctx_st; // NOLINT(readability-identifier-naming)

namespace endivelatch {

/// Bytes of an authentication code.
constexpr std::size_t auth_tag_size = 16;

/// An authentication code: the first bytes of an HMAC-SHA-256.
using auth_tag = std::array<char, auth_tag_size>;

/// Computes authentication codes under one key; the key is scheduled once.
class authenticator {
public:
    explicit authenticator(std::string_view key);

    /// Returns the code of the number and the content.
    auth_tag compute_tag(std::uint64_t number, std::string_view content) const;

    /// Returns whether the code fits, in time that does not depend on where it differs.
    bool verify(std::uint64_t number, std::string_view content, std::string_view code) const;

private:
    /// Frees an OpenSSL context.
    struct context_deleter {
        void operator()(evp_mac_ctx_st* context) const;
    };

    std::unique_ptr<evp_mac_ctx_st, context_deleter> context_;
};

} // namespace endivelatch
