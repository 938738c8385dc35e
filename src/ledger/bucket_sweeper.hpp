#pragma once

#include "endivelatch/ledger/ledger_settings.hpp"
#include "endivelatch/platform/call_id_source.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivelatch {

/// Deletes the ledger objects whose keys are so old that every router refuses them.
///
/// The object `ledger/<shard>/sweep` of each shard stores the number of the next bucket to check as
/// a cursor, so that no bucket is skipped when the owner of the shard changes. At most one platform
/// call is in progress at a time, and calls are rate-limited by `sweep_interval`.
class bucket_sweeper {
public:
    bucket_sweeper(const ledger_settings& settings, platform_call_id_source& calls);

    /// Sets the wall-clock time that corresponds to `now`.
    void set_wall_clock(wall_time wall, time_point now);

    /// Sets the shards to sweep.
    void set_owned(const std::set<std::uint32_t>& shards);

    /// Handles a platform answer. Returns false if it belongs to another caller.
    bool answered(const platform_answer& answer, time_point now);

    /// Returns the next platform call if one is due.
    std::optional<platform_call> step(time_point now);

    /// Returns when `step` should be called next.
    time_point next_step() const;

    /// Returns the number of objects deleted so far.
    std::uint64_t deleted() const { return deleted_; }

private:
    enum class call_kind { read_cursor, write_cursor, read_bucket, delete_bucket };
    struct shard_state {
        bool cursor_loaded = false;
        std::int64_t next_bucket = 0;    ///< Number of the next bucket to check.
        object_version cursor_version;   ///< Version of the cursor object.
        object_version bucket_version;   ///< Of the bucket to delete; zero if it was not read yet.
        std::int64_t stored_cursor = -1; ///< Last stored value of the cursor; -1 if there is none.
    };
    struct call_state {
        platform_call_id id;
        call_kind kind;
        std::uint32_t shard;
        std::int64_t next_bucket;
        time_point timeout;
    };

    std::int64_t first_retained_bucket(time_point now) const;
    std::optional<platform_call> next_call(std::uint32_t shard, shard_state& state, time_point now);
    platform_call begin_call(call_kind kind, std::uint32_t shard, const shard_state& state,
                             time_point now);
    void handle_read(const call_state& call, shard_state& state, const objects_found& found,
                     time_point now);

    const ledger_settings& settings_;
    platform_call_id_source& calls_;
    std::map<std::uint32_t, shard_state> shards_;
    std::uint32_t next_shard_ = 0; ///< Shard to check first in the next step.
    std::optional<call_state> call_;
    std::optional<duration> wall_offset_; ///< Wall-clock time minus boot-clock time.
    time_point next_step_{};
    std::uint64_t deleted_ = 0;
};

} // namespace endivelatch
