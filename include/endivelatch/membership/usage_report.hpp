#pragma once

#include "endivelatch/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Use of pools by organisations, as shared between routers.
namespace endivelatch {

/// Identifies an organisation in reports by a hash of its id. Organisations with colliding keys are
/// treated as one.
using organisation_key = number_id<struct organisation_key_tag, std::uint32_t>;

/// Identifies a pool in reports by a hash of its id.
using pool_key = number_id<struct pool_key_tag, std::uint32_t>;

/// Computes the key of an organisation.
organisation_key key_of(const organisation_id& id);

/// Computes the key of a pool.
pool_key key_of(const pool_id& id);

/// Use of a pool by one organisation, as the mean over the routers of a fleet, in ms of a target's
/// time per second.
struct organisation_use {
    organisation_key organisation;
    float asked = 0;  ///< Work that its callers asked for.
    float served = 0; ///< Work that was sent to targets.

    friend bool operator==(const organisation_use&, const organisation_use&) = default;
};

/// What one router tells another of the use of a pool. Empty if there are no uses.
struct usage_report {
    pool_key pool;
    std::vector<organisation_use> uses;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// Maximum number of organisations in a report.
inline constexpr std::size_t max_reported_uses = 24;

} // namespace endivelatch
