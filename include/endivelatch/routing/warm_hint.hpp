#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endivelatch {

/// The target that holds a chat's prefix in its cache. Sent with the response and returned by the
/// caller with the next turn.
struct warm_hint {
    organisation_id organisation;
    chat_id chat;
    target_id target;
    incarnation target_run;
    wall_time issued;                ///< Encoded in whole seconds.
    std::uint32_t prefix_tokens = 0; ///< Length of the cached prefix.

    friend bool operator==(const warm_hint&, const warm_hint&) = default;
};

/// Encodes hints as authenticated text.
///
/// The text contains neither organisation nor chat. Both are part of the MAC input, so that a hint
/// is valid only for its own chat.
class hint_codec {
public:
    /// `key` is shared by all routers. Hints older than `max_age` are rejected.
    explicit hint_codec(std::string key, duration max_age = default_max_age);

    /// Returns the hint as base64url text.
    std::string seal(const warm_hint& hint) const;

    /// Returns the hint, or nothing if the text is malformed, forged, expired, issued in the
    /// future, or belongs to another organisation or chat.
    std::optional<warm_hint> open(std::string_view text, const organisation_id& organisation,
                                  const chat_id& chat, wall_time now) const;

private:
    static constexpr duration default_max_age{std::chrono::hours{24}};

    std::string compute_mac(std::string_view body, const organisation_id& organisation,
                            const chat_id& chat) const;

    std::string key_;
    duration max_age_;
};

} // namespace endivelatch
