#pragma once

#include "endivelatch/base/time.hpp"

#include <optional>

namespace endivelatch {

/// The part of its caps that a router may use.
enum class admission_share {
    full,    ///< Peers have confirmed this router within the lease.
    reduced, ///< Isolated: no confirmation for longer than the lease and the wait after it.
    none,    ///< The lease has lapsed, and peers may be replacing this router as the owner.
};

/// Time limits of a lease.
struct lease_settings {
    duration length{3'000'000}; ///< Validity of a confirmation by peers.
    duration wait{3'000'000};   ///< Time without admission after a lapse is detected.
};

/// Decides how far a router may act as an owner, by the time since its peers last confirmed it.
///
/// Peers that receive nothing from this router replace it after the lease length plus a margin, so
/// it has to stop admitting before that by its own clock. A fleet of one router needs no
/// confirmation.
class ownership_lease {
public:
    explicit ownership_lease(lease_settings settings = {}) : settings_{settings} {}

    /// Renews the lease from `sent_at`, the time at which this router sent a message that peers
    /// confirmed. Peers may have become unreachable right after receiving it.
    void renew(time_point sent_at);

    /// Sets whether confirmation by peers is needed; false in a fleet of one router.
    void set_peers_needed(bool needed) { peers_needed_ = needed; }

    /// Returns the share that may be used now. The first call after a lapse starts the wait.
    admission_share current_share(time_point now);

    /// Returns when the share changes next without a confirmation, or nothing if it does not
    /// change.
    std::optional<time_point> next_change(time_point now) const;

private:
    lease_settings settings_;
    std::optional<time_point> confirmed_at_;
    std::optional<time_point> lapse_noticed_at_;
    bool peers_needed_ = true;
};

} // namespace endivelatch
