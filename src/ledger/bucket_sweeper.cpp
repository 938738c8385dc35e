#include "bucket_sweeper.hpp"

#include "endivelatch/base/json_text.hpp"
#include "endivelatch/ledger/booking_record.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::int64_t cursor_write_interval = 20; // Buckets between two writes of the cursor.

std::string cursor_name(std::uint32_t shard)
{
    return "ledger/" + std::to_string(shard) + "/sweep";
}

} // namespace

bucket_sweeper::bucket_sweeper(const ledger_settings& settings, platform_call_id_source& calls)
    : settings_{settings}, calls_{calls}
{
}

void bucket_sweeper::set_wall_clock(wall_time wall, time_point now)
{
    wall_offset_ = wall.time_since_epoch() - now.time_since_epoch();
}

void bucket_sweeper::set_owned(const std::set<std::uint32_t>& shards)
{
    std::erase_if(shards_, [&](const auto& entry) { return !shards.contains(entry.first); });
    for (const auto shard : shards) {
        shards_.try_emplace(shard);
    }
}

std::int64_t bucket_sweeper::first_retained_bucket(time_point now) const
{
    const wall_time wall{now.time_since_epoch() + *wall_offset_};
    return bucket_of(wall - settings_.record_retention - settings_.deletion_slack);
}

std::optional<platform_call> bucket_sweeper::step(time_point now)
{
    if (call_ && now >= call_->timeout) {
        call_.reset();
    }
    if (call_ || !wall_offset_ || now < next_step_ || shards_.empty()) {
        return std::nullopt;
    }
    next_step_ = now + settings_.sweep_interval;
    auto it = shards_.lower_bound(next_shard_);
    for (std::size_t n = 0; n < shards_.size(); ++n) {
        it = it == shards_.end() ? shards_.begin() : it;
        if (auto call = next_call(it->first, it->second, now)) {
            next_shard_ = it->first;
            return call;
        }
        ++it;
    }
    next_step_ = now + settings_.idle_sweep_interval;
    return std::nullopt;
}

std::optional<platform_call> bucket_sweeper::next_call(std::uint32_t shard, shard_state& state,
                                                       time_point now)
{
    if (!state.cursor_loaded) {
        return begin_call(call_kind::read_cursor, shard, state, now);
    }
    if (state.stored_cursor < 0 ||
        state.next_bucket >= state.stored_cursor + cursor_write_interval) {
        return begin_call(call_kind::write_cursor, shard, state, now);
    }
    if (state.next_bucket >= first_retained_bucket(now)) {
        return std::nullopt;
    }
    const bool exists = state.bucket_version != object_version{};
    return begin_call(exists ? call_kind::delete_bucket : call_kind::read_bucket, shard, state,
                      now);
}

platform_call bucket_sweeper::begin_call(call_kind kind, std::uint32_t shard,
                                         const shard_state& state, time_point now)
{
    const auto id = calls_.next();
    call_ = call_state{id, kind, shard, state.next_bucket, now + settings_.call_timeout};
    switch (kind) {
    case call_kind::read_cursor:
        return read_object{id, cursor_name(shard)};
    case call_kind::write_cursor:
        return write_object{id, cursor_name(shard), state.cursor_version,
                            json{{"next", state.next_bucket}}.dump()};
    case call_kind::read_bucket:
        return read_object{id, bucket_object_name(shard, state.next_bucket)};
    case call_kind::delete_bucket:
        break;
    }
    return delete_object{id, bucket_object_name(shard, state.next_bucket), state.bucket_version};
}

bool bucket_sweeper::answered(const platform_answer& answer, time_point now)
{
    if (!call_ || call_->id != answer.call) {
        return false;
    }
    const auto call = *call_;
    call_.reset();
    const auto it = shards_.find(call.shard);
    if (it == shards_.end()) {
        return true;
    }
    auto& state = it->second;
    if (const auto* const found = std::get_if<objects_found>(&answer.body)) {
        handle_read(call, state, *found, now);
        return true;
    }
    if (const auto* const done = std::get_if<write_done>(&answer.body)) {
        if (call.kind == call_kind::write_cursor) {
            state.cursor_version = done->version;
            state.stored_cursor = call.next_bucket;
            return true;
        }
        ++deleted_;
        state.bucket_version = {};
        state.next_bucket = call.next_bucket + 1;
        return true;
    }
    if (std::holds_alternative<platform_failed>(answer.body)) {
        next_step_ = std::max(next_step_, now + settings_.retry_delay);
    }
    const auto stored_cursor = state.stored_cursor;
    state = shard_state{};
    state.stored_cursor = stored_cursor;
    return true;
}

void bucket_sweeper::handle_read(const call_state& call, shard_state& state,
                                 const objects_found& found, time_point now)
{
    if (call.kind == call_kind::read_bucket) {
        const bool exists = !found.objects.empty();
        state.bucket_version = exists ? found.objects.front().version : object_version{};
        state.next_bucket = exists ? call.next_bucket : call.next_bucket + 1;
        return;
    }
    state.cursor_loaded = true;
    state.next_bucket = first_retained_bucket(now);
    state.stored_cursor = -1;
    if (found.objects.empty()) {
        return;
    }
    state.cursor_version = found.objects.front().version;
    const auto document = parse_json(found.objects.front().document);
    if (document.is_object() && document.value("next", json{}).is_number_integer()) {
        state.next_bucket = document["next"].get<std::int64_t>();
        state.stored_cursor = state.next_bucket;
    }
}

time_point bucket_sweeper::next_step() const
{
    if (call_) {
        return call_->timeout;
    }
    return wall_offset_ && !shards_.empty() ? next_step_ : time_point::max();
}

} // namespace endivelatch
