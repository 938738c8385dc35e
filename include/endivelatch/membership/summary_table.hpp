#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/gossip_queue.hpp"
#include "endivelatch/membership/summary.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endivelatch {

/// Result of `summary_table::merge`.
enum class merge_result {
    ignored,   ///< Not newer than the known one.
    refreshed, ///< Newer, with the same value.
    changed,   ///< Newer, with another value.
};

/// Holds the known summaries of all routers, and the queues of entries to forward.
///
/// Each summary has one owner, which assigns its versions. A higher run of the owner replaces all
/// of its entries; within a run the higher version of a key wins.
class summary_table {
public:
    /// `self` and `run` identify the owner of published summaries.
    summary_table(router_id self, incarnation run) : self_{std::move(self)}, run_{run} {}

    /// Sets a summary of this router; an empty value withdraws it. Unchanged values are not
    /// queued again.
    void publish(const summary_key& key, summary_scope scope, std::string_view value);

    /// Merges an entry received from `from`. A newer entry is queued for other routers if `forward`
    /// is set. A duplicate counts as a transmission, since peers spread the entry as well.
    merge_result merge(const summary_entry& entry, const router_id& from, bool forward = true);

    /// Queues the first own summary in key order that was not refreshed within `interval`, with a
    /// new version.
    void refresh(time_point now, duration interval);

    /// Sets the number of transmissions after which an entry is removed from its queue.
    void set_limits(std::uint32_t fleet_limit, std::uint32_t domain_limit);

    /// Passes queued entries for `receiver` to `accept`, which returns whether the entry fits.
    /// Entries with domain scope require `same_domain`. Entries owned by the receiver or received
    /// from it are skipped.
    template <class Accept>
    void select(const router_id& receiver, bool same_domain, Accept accept)
    {
        if (same_domain) {
            select_from(domain_queue_, domain_limit_, receiver, accept);
        }
        select_from(fleet_queue_, fleet_limit_, receiver, accept);
    }

    /// Returns all entries of an owner.
    std::vector<summary_entry> entries_of(const router_id& owner) const;

    /// Returns the value, or nothing if it is unknown or withdrawn, or its owner is hidden.
    std::optional<std::string_view> find(const router_id& owner, const summary_key& key) const;

    /// Hides the entries of a dead owner, or shows them again; versions are kept.
    void set_hidden(const router_id& owner, bool is_hidden);

    /// Removes all entries of an owner.
    void forget(const router_id& owner);

    /// Returns the number of known entries.
    std::size_t size() const;

    /// Returns whether entries are queued for a peer of the same or of another failure domain.
    bool has_queued(bool same_domain) const
    {
        return fleet_queue_.size() > 0 || (same_domain && domain_queue_.size() > 0);
    }

    /// Returns the number of queued entries.
    std::size_t queued() const { return domain_queue_.size() + fleet_queue_.size(); }

    /// Lets older versions replace newer ones; only for mutation tests.
    void disable_version_check() { version_check_enabled_ = false; }

private:
    /// Identifies an entry of the table.
    struct entry_id {
        router_id owner;
        summary_key key;

        friend auto operator<=>(const entry_id&, const entry_id&) = default;
    };

    /// Known state of one key.
    struct record {
        summary_version version;
        summary_scope scope = summary_scope::fleet;
        std::string value;
        router_id sender; ///< Sender of the entry; empty for own summaries.
    };

    /// All records of one owner.
    struct owner_records {
        incarnation run;
        bool is_hidden = false;
        std::map<summary_key, record> records;
    };

    /// Returns the entry, or nothing if it is unknown or its owner is hidden.
    std::optional<summary_entry> find_entry(const entry_id& id) const;

    /// Returns the sender of an entry.
    const router_id& sender_of(const entry_id& id) const;

    /// Returns the queue of a scope.
    gossip_queue<entry_id>& queue_of(summary_scope scope);

    /// Removes all entries of an owner from the queues.
    void dequeue(const router_id& owner);

    template <class Accept>
    void select_from(gossip_queue<entry_id>& queue, std::uint32_t limit, const router_id& receiver,
                     Accept accept)
    {
        queue.select(limit, [&](const entry_id& id) {
            const auto entry = find_entry(id);
            if (!entry || id.owner == receiver || sender_of(id) == receiver) {
                return offer_result::skipped;
            }
            return accept(*entry) ? offer_result::accepted : offer_result::no_space;
        });
    }

    router_id self_;
    incarnation run_;
    summary_version last_version_;
    bool version_check_enabled_ = true;
    std::uint32_t fleet_limit_ = 1;
    std::uint32_t domain_limit_ = 1;
    std::map<router_id, owner_records> owners_;
    std::map<summary_key, time_point> refreshed_; ///< Of own summaries.
    gossip_queue<entry_id> fleet_queue_;
    gossip_queue<entry_id> domain_queue_;
};

} // namespace endivelatch
