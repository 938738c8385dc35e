#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/gossip.hpp"
#include "endivelatch/membership/replay_window.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace endivelatch {

/// State of another router as known to this router.
struct peer_record {
    member info;
    refutation_number refutation;
    std::optional<time_point> suspicion_end; ///< When an unrefuted suspicion ends.
    time_point dead_since{};                 ///< Only valid while the member is dead.
    replay_window received;
};

/// Result of `member_table::apply`.
enum class update_result {
    ignored,   ///< Not newer, or lacks the details of an unknown member or run.
    confirmed, ///< Newer, with the same status and run.
    changed,   ///< Newer, with another status or run.
    added,     ///< The member was unknown.
};

/// All other known routers, including dead ones.
class member_table {
public:
    /// Applies an update if it is newer: a higher run wins, then a higher refutation number, then
    /// the later status in the order alive, suspect, leaving, dead.
    update_result apply(const member_update& update);

    /// Returns the record of a member, or null if it is unknown.
    peer_record* find(const router_id& id);
    const peer_record* find(const router_id& id) const;

    /// Returns whether the update has the run, refutation number and status of the record.
    static bool is_duplicate(const member_update& update, const peer_record& known);

    /// Returns the update that describes the member to other routers.
    static member_update to_update(const peer_record& peer, bool has_details);

    /// Removes a member.
    void erase(const router_id& id) { peers_.erase(id); }

    /// Returns all records, ordered by id.
    const std::map<router_id, peer_record>& all() const { return peers_; }

private:
    std::map<router_id, peer_record> peers_;
};

} // namespace endivelatch
