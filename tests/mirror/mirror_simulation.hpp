#pragma once

#include "endivelatch/mirror/object_mirror.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// A store and several mirrors of it that pass copies to each other, with faults at random points.
namespace endivelatch {

/// The store as the oracle: keeps the state of each object at every revision.
class history_store {
public:
    /// Creates or changes an object.
    void put(const std::string& name);

    /// Removes the object if it exists.
    void remove(const std::string& name);

    /// Increases the revision as a change of an object of another kind does.
    void change_other_kind() { ++revision_; }

    /// Discards the history up to the current revision.
    void compact() { compacted_until_ = revision_; }

    /// Comes back from a copy that was made at the revision. Later changes are lost, and their
    /// revisions are given out again.
    void restore(std::uint64_t at);

    /// Returns the revision of the last change.
    std::uint64_t revision() const { return revision_; }

    /// Returns the era, which increases with each return from a copy.
    store_era era() const { return era_; }

    /// Returns a page of the list as of a revision.
    object_page list(const std::string& after, std::size_t page_size, std::uint64_t at) const;

    /// Returns the changes since a revision, or nothing if they were discarded. Events of removals
    /// have the revision of the removal or, if `has_old_revisions`, that of the object.
    std::optional<object_changes> changes_since(std::uint64_t revision,
                                                bool has_old_revisions) const;

    /// Returns whether the object, or its absence if null, was the state at the position or later
    /// in its era.
    bool was_state_since(store_position position, const std::string& name,
                         const mirrored_object* expected) const;

    /// Returns the names of all objects that ever existed.
    std::vector<std::string> names() const;

private:
    struct past_state {
        std::uint64_t since = 0;
        std::optional<mirrored_object> object;
    };

    /// States of each object in order.
    using object_history = std::map<std::string, std::vector<past_state>>;

    /// What an era held when the store was lost.
    struct former_era {
        object_history history;
        std::uint64_t revision = 0;
    };

    static const mirrored_object* find(const object_history& history, const std::string& name,
                                       std::uint64_t at);

    std::uint64_t revision_ = 1;
    std::uint64_t compacted_until_ = 0;
    store_era era_{1};
    object_history history_;
    std::map<store_era, former_era> former_eras_;
};

/// Deliberate faults of the copies that mirrors pass on, to verify that the checks detect them.
enum class copy_fault {
    none,
    drops_removals,        ///< Changes lack the removals.
    keeps_removed_objects, ///< Whole copies contain the objects whose removal is delayed.
    states_later_revision, ///< Copies state a higher revision than they hold.
    states_later_era,      ///< Copies state the store's era, though they may be of a former one.
};

/// Result of the simulated schedules.
struct mirror_report {
    std::uint64_t steps = 0;
    std::uint64_t changes = 0;      ///< Of the store.
    std::uint64_t copies = 0;       ///< Delivered to another mirror.
    std::uint64_t whole_copies = 0; ///< Of them, those with all objects.
    std::uint64_t losses = 0;       ///< Calls and copies that were lost.
    std::uint64_t restarts = 0;
    std::uint64_t restores = 0;   ///< Returns of the store from a copy.
    std::uint64_t incomplete = 0; ///< Objects whose state was older than the revision of the copy.
    std::uint64_t diverged = 0;   ///< Objects that differed after the faults had ended.

    mirror_report& operator+=(const mirror_report& other);
};

/// Runs one schedule of random steps and checks all mirrors after each.
class mirror_simulation {
public:
    mirror_simulation(std::uint64_t seed, copy_fault fault);

    mirror_report run(std::size_t steps);

private:
    /// A mirror with its outstanding calls.
    struct node {
        object_mirror mirror;
        std::optional<mirror_effect> call; ///< List or watch.
        /// Responses of the store that were sent but not received.
        std::optional<std::variant<object_page, object_changes>> response;
        bool has_expired = false; ///< The response is that the history was discarded.
        store_era expired_in;     ///< Era that this response states.
    };

    /// A copy on its way to another mirror.
    struct copy_message {
        std::size_t to = 0;
        store_position since; ///< Position of the query.
        std::variant<object_page, object_changes> copy;
    };

    /// A query of one mirror to another, which answers later.
    struct copy_request {
        std::size_t from = 0;
        std::size_t to = 0;
        store_position newer_than;
        bool accepts_changes = false;
    };

    void step();
    void change_store();
    void answer_call(node& it);
    void deliver_response(node& it);
    void fail_call(node& it);
    void request_copy();
    void answer_request();
    void deliver_copy();
    void restart(std::size_t n);
    void take_effects(node& it, mirror_effects&& effects);
    void tick_all();
    void settle();
    void check(node& it);
    std::variant<object_page, object_changes> make_copy(const node& from,
                                                        const copy_request& request);
    std::string random_name() { return "t" + std::to_string(random_.below(name_count)); }

    static constexpr std::size_t name_count = 7;
    static constexpr std::size_t node_count = 4;

    random_source random_;
    copy_fault fault_;
    history_store store_;
    manual_clock clock_;
    std::vector<node> nodes_;
    std::vector<copy_request> requests_;
    std::deque<copy_message> copies_;
    mirror_report report_;
};

} // namespace endivelatch
