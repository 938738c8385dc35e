#pragma once

#include "endivelatch/base/strong_id.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// Positions in the history of the platform's store.
namespace endivelatch {

/// Revision of the platform's store; increases with each change of any object.
using store_revision = number_id<struct store_revision_tag>;

/// Number of the store's history. It increases when the store comes back from an older copy of
/// itself, which loses changes and gives out their revisions again. Zero if the store states none.
using store_era = number_id<struct store_era_tag>;

/// A state of the store. Positions are ordered by era first: the state of a later era replaces one
/// of an earlier era, whatever their revisions.
struct store_position {
    store_era era;
    store_revision revision;

    friend constexpr auto operator<=>(const store_position&, const store_position&) = default;
};

/// Returns the era, or zero if the text is not a decimal number.
store_era parse_store_era(std::string_view text);

/// Returns the position as text for other routers, such as `107@2`; without an era only the
/// revision, as routers of earlier versions write it. They ignore what follows the revision.
std::string to_string(store_position position);

/// Parses the result of `to_string`. Returns position zero if it is not valid.
store_position parse_store_position(std::string_view text);

} // namespace endivelatch
