#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/gossip.hpp"
#include "endivelatch/membership/number_window.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace endivelatch {

/// What this router knows about another.
struct peer_record {
    member info;
    refutation_number refutation;
    std::optional<time_point> suspicion_end; ///< When it is held dead unless it is heard of.
    time_point dead_since{};                 ///< Meaningful while it is dead.
    number_window received;
};

/// What `member_table::apply` did with an update.
enum class update_result {
    ignored,   ///< Not newer than what is known, or about an unknown member without details.
    confirmed, ///< Newer, with the same status and run.
    changed,   ///< Newer, with another status or run.
    added,     ///< About a member that was not known.
};

/// All other routers that were heard of.
class member_table {
public:
    /// Takes an update if it is newer: a higher run wins, then a higher refutation, then the
    /// later of alive, suspect, leaving and dead.
    update_result apply(const member_update& update);

    /// Returns the record, or null.
    peer_record* find(const router_id& id);
    const peer_record* find(const router_id& id) const;

    /// Returns whether the update says what is known.
    static bool is_same(const member_update& update, const peer_record& known);

    /// Returns the update that tells others about the member.
    static member_update to_update(const peer_record& peer, bool has_details);

    /// Forgets a member.
    void erase(const router_id& id) { peers_.erase(id); }

    /// All records by id.
    const std::map<router_id, peer_record>& all() const { return peers_; }

private:
    std::map<router_id, peer_record> peers_;
};

} // namespace endivelatch
