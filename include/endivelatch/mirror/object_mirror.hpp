#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/mirror/store_position.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// A local copy of the platform's objects of one kind, kept current by listing and watching.
namespace endivelatch {

/// An object as stored on the platform.
struct mirrored_object {
    std::string name;
    store_revision revision;
    std::string content; ///< The stored text, or `null` if it cannot be read.

    friend bool operator==(const mirrored_object&, const mirrored_object&) = default;
};

/// One page of a list response.
struct object_page {
    std::vector<mirrored_object> objects;
    bool has_more = false;
    store_position position; ///< Of the store when the page was read.
};

/// A change reported by a watch.
struct object_change {
    mirrored_object object;
    bool is_deleted = false;
};

/// The response to a watch.
struct object_changes {
    std::vector<object_change> changes;
    store_position position; ///< The next watch starts after it.
};

/// Effect: read the next page of the list.
struct list_objects {
    std::string after; ///< Name of the last object of the previous page; empty for the first page.
    bool allows_stale = false; ///< The store may answer with a state that is seconds old.
};

/// Effect: wait for changes after a revision.
struct watch_objects {
    store_position after;
    duration wait{}; ///< Long-poll timeout at the platform.
};

/// Effect: the copy has changed.
struct mirror_updated {};

using mirror_effect = std::variant<list_objects, watch_objects, mirror_updated>;
using mirror_effects = std::vector<mirror_effect>;

/// Timing of a mirror.
struct mirror_settings {
    /// Long-poll timeout. Long, as each watch is billed; keep-alives detect dead connections.
    duration watch_wait{5'000'000};
    /// Pause after a change, so that changes in quick succession share one call. It doubles up to
    /// `max_change_pause` while changes continue; a leaving target has to be known within 3 s.
    duration change_pause{100'000};
    duration max_change_pause{400'000};
    /// Time without changes that resets the pause to `change_pause`.
    duration change_pause_reset{1'500'000};
    /// Long-poll timeout after a failed call: bounds the time to detect that the store is back.
    duration watch_wait_after_failure{200'000};
    duration initial_retry_delay{100'000}; ///< Doubles up to `max_retry_delay`.
    duration max_retry_delay{1'000'000};
    /// Removals that are reported within `removal_grace` after calls have failed for this long are
    /// delayed until its end, as the objects may return.
    duration min_outage{1'000'000};
    /// Time from the store's return; zero for kinds whose objects do not expire.
    duration removal_grace{};
    /// Time from the start of an era within which objects that the older copy of the store lacks
    /// stay in use, as their writers write them again.
    duration rewrite_grace{1'800'000};
    /// Time from the start of an era within which objects may be in an outdated state. Longer than
    /// the time after which registrations without a writer expire.
    duration outdated_time{5'000'000};
    /// Whether the first list may be seconds old, which is cheaper for the store. The watch after
    /// it starts at the revision of the list, so it reports what the list lacks.
    bool first_list_may_be_stale = false;
    /// Whether the store may answer that it does not know the kind as long as there are no objects.
    bool may_be_absent = false;
    /// Time until the next call after such an answer.
    duration absent_kind_delay{1'000'000};
};

/// Maintains the copy and decides on the next call. A pure state machine without I/O or clock.
///
/// Invariant: a copy at revision R holds every change of its era up to R, in whatever order pages,
/// watch responses and copies of peers arrive. Copies passed on to peers rely on it, as they
/// contain only what changed after the revision of the peer. Objects whose removal is delayed are
/// therefore kept apart from the copy. The pages of a list are read one after the other, so the
/// copy may also hold later changes; it is not passed on until its revision has reached that of the
/// last page.
///
/// Revisions are compared only within an era. A copy of a later era replaces the whole copy; until
/// it has been read, the former one stays in use but is not passed on.
class object_mirror {
public:
    object_mirror(const mirror_settings& settings, std::uint64_t seed);

    /// Starts with a list of all objects.
    mirror_effects start(time_point now);

    /// Handles a page of the list.
    mirror_effects handle_response(object_page&& page, time_point now);

    /// Handles the response to a watch.
    mirror_effects handle_response(object_changes&& changes, time_point now);

    /// Replaces the copy by a peer's complete one; ignored unless that is newer.
    mirror_effects merge_peer_copy(object_page&& copy, time_point now);

    /// Applies the changes of a peer's copy since a revision; ignored unless this copy is exact and
    /// still at that position. The changes lack objects that were both created and removed since,
    /// which a newer copy may hold.
    mirror_effects merge_peer_copy(object_changes&& changes, store_position since, time_point now);

    /// Returns the changes since a position, or nothing when removals since then are not known, the
    /// position is of another era or the copy is not exact.
    std::optional<object_changes> changes_since(store_position since) const;

    /// Records an era that an answer of the store or another router stated; ignored unless it is
    /// later than the known one. Returns whether the copy has become outdated.
    bool begin_era(store_era era, time_point now);

    /// Reads all objects again because the copy is of an earlier era.
    mirror_effects read_era(time_point now);

    /// Largest number of tombstones; exceeds the removals between two queries of a peer.
    static constexpr std::size_t max_tombstones = 500;

    /// Handles the response that the platform no longer has the changes since the watched revision.
    mirror_effects handle_history_expired(time_point now);

    /// Handles the response that the store does not know the kind, which then has no objects.
    mirror_effects handle_kind_absent(time_point now);

    /// Records that a watch was sent: not at once, from the present position or with another wait
    /// than `watch_objects` asked for.
    void begin_watch(duration wait, time_point now);

    /// Handles the answer of a router that the copy is up to date, or was just brought up to date.
    mirror_effects handle_confirmation(time_point now);

    /// Handles a call that failed or timed out.
    mirror_effects handle_call_failure(time_point now);

    /// Handles all timers that have expired.
    mirror_effects tick(time_point now);

    /// Returns when `tick` has to be called next, or nothing.
    std::optional<time_point> next_timer() const;

    /// Returns the objects of the copy by name, as they are passed on to peers.
    const std::map<std::string, mirrored_object>& objects() const { return objects_; }

    /// Returns the objects of the copy and those whose removal is delayed.
    std::vector<const mirrored_object*> objects_in_use() const;

    /// Returns the position of the copy; zero before the first list.
    store_position position() const { return position_; }

    /// Returns the latest era that is known. The copy may still be of an earlier one.
    store_era era() const { return era_; }

    /// Returns when the store came back from an older copy, as far as this router knows, if objects
    /// may still be in a state that had been replaced before.
    std::optional<time_point> restored_at() const
    {
        return may_be_outdated_ ? std::optional{era_began_at_} : std::nullopt;
    }

    /// Returns whether a complete copy has been read.
    bool is_synced() const { return is_synced_; }

    /// Returns whether the copy is exactly the state of the store at its revision, so that it can
    /// be passed on.
    bool is_exact() const
    {
        return is_synced_ && position_.era == era_ && position_.revision >= exact_from_;
    }

    /// Returns whether the store may not know the kind.
    bool may_be_absent() const { return settings_.may_be_absent; }

    /// Returns whether the last call succeeded.
    bool is_connected() const { return is_connected_; }

    /// Returns the time of the last response of the platform.
    time_point last_response_at() const { return last_response_at_; }

private:
    /// A removed object that stays in use for a while.
    struct retained_object {
        mirrored_object object;
        time_point until{};
    };

    mirror_effects list_from(std::string after);
    mirror_effects list_after_rejection(time_point now);
    duration pause_after_rejection();
    mirror_effects continue_watching(mirror_effects&& effects, time_point now);
    void record_response(time_point now);
    bool apply(object_changes&& changes, time_point now);
    bool adopt(std::vector<mirrored_object>&& all, store_position position,
               store_revision exact_from, time_point now);
    bool replace_era(std::vector<mirrored_object>&& all, store_position position,
                     store_revision exact_from, time_point now);
    bool apply_removal(const mirrored_object& removed, store_revision revision, time_point now);
    /// Called when a peer's newer copy shows that the store has answered another router.
    void note_return_of_store(time_point now);
    void retain(mirrored_object&& object, time_point now);
    void add_tombstone(const std::string& name, store_revision revision);
    bool upsert(mirrored_object&& object);
    bool replace_all(std::vector<mirrored_object>&& all, store_revision revision,
                     store_revision exact_from, time_point now);
    /// Called before the copy moves to a later revision without each change in between.
    void record_skipped_changes(store_revision until);
    duration pause_after_change(time_point now);

    mirror_settings settings_;
    random_source random_;
    std::map<std::string, mirrored_object> objects_;
    std::map<std::string, retained_object> retained_;  ///< Removed objects that stay in use.
    std::map<std::string, store_revision> tombstones_; ///< Revisions of removals.
    /// Every later removal has a tombstone, except within the skipped changes.
    store_revision tombstones_complete_since_;
    /// Revisions between which changes were not seen one by one: a peer at a revision in between
    /// may hold objects that have no tombstone. Empty if both are equal.
    store_revision skipped_from_;
    store_revision skipped_until_;
    std::vector<mirrored_object> listed_objects_; ///< Objects of the current list so far.
    std::optional<store_position> list_position_; ///< Lowest of the current list's pages.
    store_revision last_page_revision_;           ///< Highest of the current list's pages.
    store_revision exact_from_;
    store_position position_;
    store_era era_;             ///< Latest known.
    time_point era_began_at_{}; ///< When this router learnt of the era.
    bool may_be_outdated_ = false;
    time_point last_response_at_{};
    std::optional<time_point> failed_since_; ///< First of the latest consecutive failures.
    /// First response after the last outage, or first newer copy of a peer within it.
    time_point returned_at_{};
    std::optional<time_point> retry_at_;
    duration next_retry_delay_{};
    /// Successive answers that led to another call without any news; see `pause_after_rejection`.
    std::uint32_t rejections_ = 0;
    store_position watched_after_; ///< Of the last watch.
    time_point watch_sent_at_{};
    duration watch_wait_{}; ///< Of the last watch.
    duration next_change_pause_{};
    time_point last_change_at_{}; ///< When a watch last reported a change.
    bool is_synced_ = false;
    bool is_connected_ = false;
    bool next_call_is_list_ = true;
    bool has_history_expired_ = false; ///< At least once, so that lists must not be stale.
};

} // namespace endivelatch
