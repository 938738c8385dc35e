#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/strong_id.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// A copy of the platform's objects of one kind, kept by listing and watching.
namespace endivelatch {

/// Revision of the platform's store; grows with each change of any object.
using store_revision = number_id<struct store_revision_tag>;

/// An object as the platform holds it.
struct mirrored_object {
    std::string name;
    store_revision revision;
    std::string content; ///< What its writer stored, as text.

    friend bool operator==(const mirrored_object&, const mirrored_object&) = default;
};

/// One page of a list.
struct object_page {
    std::vector<mirrored_object> objects;
    bool has_more = false;
    store_revision revision; ///< Of the store when the page was made.
};

/// One change that a watch reports.
struct object_change {
    mirrored_object object;
    bool is_deleted = false;
};

/// The answer to a watch.
struct object_changes {
    std::vector<object_change> changes;
    store_revision revision; ///< Where to go on.
};

/// Read the next page of the list.
struct list_objects {
    std::string after; ///< Name of the last object read; empty for the first page.
};

/// Wait for changes after a revision.
struct watch_objects {
    store_revision after;
    duration wait{}; ///< Longest wait of the platform.
};

/// The copy has changed.
struct mirror_updated {};

using mirror_effect = std::variant<list_objects, watch_objects, mirror_updated>;
using mirror_effects = std::vector<mirror_effect>;

/// Times of a mirror.
struct mirror_settings {
    duration watch_wait{5'000'000}; ///< Each watch is a priced call; keep-alives find dead ones.
    /// Pause after a change, so that changes in quick succession cost one call together. It doubles
    /// up to the longest while changes keep coming; targets that leave are to be known in 3 s.
    duration change_pause{100'000};
    duration longest_change_pause{400'000};
    /// Time without changes after which the pause is short again.
    duration quiet_time{1'500'000};
    /// Wait of the watches after a failed call: a store that is back is noticed within it.
    duration probing_wait{200'000};
    duration first_retry{100'000}; ///< After a failed call; doubles up to the longest.
    duration longest_retry{1'000'000};
    /// Objects missing right after calls have failed for this long may come back.
    duration outage{1'000'000};
    /// Time for which such objects are kept; zero for kinds that do not expire.
    duration removal_grace{};
};

/// Decides which call comes next and keeps the copy. A reducer: no I/O, no clock of its own.
class object_mirror {
public:
    object_mirror(const mirror_settings& settings, std::uint64_t seed);

    /// Starts by listing.
    mirror_effects start(time_point now);

    /// Takes a page of the list that was asked for.
    mirror_effects handle_response(object_page&& page, time_point now);

    /// Takes the answer to a watch.
    mirror_effects handle_response(object_changes&& changes, time_point now);

    /// Takes the whole copy of a peer; ignored unless it is newer.
    mirror_effects merge_peer_copy(object_page&& copy, time_point now);

    /// Takes what changed in the copy of a peer since the revision of this one; ignored unless
    /// that is newer.
    mirror_effects merge_peer_copy(object_changes&& changes, time_point now);

    /// Returns what changed since a revision, or nothing when too many objects were removed since
    /// to know them all.
    std::optional<object_changes> changes_since(store_revision revision) const;

    /// Removed objects that are remembered; more than leave between two looks of a peer.
    static constexpr std::size_t most_removed = 500;

    /// The platform no longer knows the changes since the revision watched.
    mirror_effects handle_history_expired(time_point now);

    /// The last call failed or was not answered.
    mirror_effects handle_call_failure(time_point now);

    /// Handles all timers that are due.
    mirror_effects tick(time_point now);

    /// Returns when `tick` must be called next, or nothing.
    std::optional<time_point> next_timer() const;

    /// Returns all objects by name.
    const std::map<std::string, mirrored_object>& objects() const { return objects_; }

    /// Returns the revision of the copy; zero before the first.
    store_revision revision() const { return revision_; }

    /// Returns whether a whole copy has been read.
    bool is_synced() const { return is_synced_; }

    /// Returns whether the last call was answered.
    bool is_connected() const { return is_connected_; }

    /// Returns when the platform answered last.
    time_point answered_at() const { return answered_at_; }

private:
    mirror_effects list_from(std::string after);
    mirror_effects watch_on(mirror_effects&& effects);
    void note_answer(time_point now);
    bool apply(object_changes&& changes, time_point now);
    void remove(const std::string& name, store_revision revision, time_point now);
    void note_removed(const std::string& name, store_revision revision);
    bool put(mirrored_object&& object);
    bool replace_all(std::vector<mirrored_object>&& all, store_revision revision, time_point now);
    duration pause_after_change(time_point now);

    mirror_settings settings_;
    random_source random_;
    std::map<std::string, mirrored_object> objects_;
    std::map<std::string, time_point> absent_; ///< Removed objects that may come back, until when.
    std::map<std::string, store_revision> removed_; ///< When each was removed.
    store_revision removed_since_;       ///< All removals after this revision are remembered.
    std::vector<mirrored_object> pages_; ///< Pages read so far of the list under way.
    std::optional<store_revision> list_revision_; ///< Of its first page.
    store_revision revision_;
    time_point answered_at_{};
    std::optional<time_point> failed_since_; ///< First of the calls that failed in a row.
    time_point restored_at_{};               ///< When the platform answered again after an outage.
    std::optional<time_point> retry_at_;
    duration next_retry_{};
    duration next_pause_{};
    time_point changed_at_{}; ///< When the platform reported a change last.
    bool is_synced_ = false;
    bool is_connected_ = false;
    bool lists_next_ = true; ///< The next call is a list.
};

} // namespace endivelatch
