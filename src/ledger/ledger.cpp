#include "endivelatch/ledger/ledger.hpp"

#include "bucket_sweeper.hpp"
#include "endivelatch/ledger/booking_key_time.hpp"
#include "ledger_bucket.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace endivelatch {

namespace {

constexpr duration refusal_retry_after = std::chrono::seconds{1};
constexpr std::size_t eviction_batch = 64;

} // namespace

struct ledger::state {
    /// Object and name of the record of a running booking.
    struct run_location {
        std::string object;
        std::string record;
    };

    /// A ledger object in memory and its shard.
    struct bucket_entry {
        std::uint32_t shard;
        ledger_bucket bucket;
        std::size_t counted_live = 0;       ///< Its share of `live`.
        time_point due = time_point::max(); ///< Its time in `ledger::state::due`.
    };

    using bucket_map = std::map<std::string, bucket_entry, std::less<>>;

    state(std::string run_name, ledger_settings initial_settings, platform_call_id_source& call_ids)
        : settings{initial_settings}, context{settings, call_ids, std::move(run_name)},
          sweeper{settings, call_ids}
    {
    }

    bucket_entry& find_or_create_bucket(std::uint32_t shard, std::int64_t number, wall_time wall,
                                        time_point now);
    std::string refusal_reason(const booking& request, wall_time wall, bool& key_unused) const;
    void step_bucket(const std::string& object, time_point now);
    void register_runs(const std::string& object, std::size_t from);
    void evict_idle(time_point now);
    time_point due_time(const bucket_entry& entry) const;

    ledger_settings settings;
    ledger_context context;
    std::set<std::uint32_t> owned;
    bucket_map buckets;
    std::set<std::pair<time_point, std::string>> due; ///< Time of the next step of each object.
    std::size_t live = 0;                             ///< Number of bookings in progress.
    std::map<std::uint32_t, time_point> next_write;   ///< Earliest time, by shard.
    std::unordered_map<platform_call_id, std::string> calls;
    std::unordered_map<request_id, run_location> runs;
    bucket_sweeper sweeper;
    std::string eviction_cursor;
};

ledger::state::bucket_entry& ledger::state::find_or_create_bucket(std::uint32_t shard,
                                                                  std::int64_t number,
                                                                  wall_time wall, time_point now)
{
    const auto name = bucket_object_name(shard, number);
    if (const auto it = buckets.find(name); it != buckets.end()) {
        return it->second;
    }
    const wall_time end{(number + 1) * ledger_bucket_span};
    const auto left = end + settings.record_retention - wall;
    const auto deletable = now + std::chrono::duration_cast<duration>(left);
    bucket_entry entry{shard, ledger_bucket{name, context, deletable}};
    return buckets.emplace(name, std::move(entry)).first->second;
}

std::string ledger::state::refusal_reason(const booking& request, wall_time wall,
                                          bool& key_unused) const
{
    const auto time = booking_key_time(request.key);
    const auto quoted = "key \"" + request.key.str() + "\"";
    key_unused = false;
    if (!time) {
        key_unused = true;
        return quoted + " does not have the form <unix seconds>-<text>";
    }
    if (*time > wall + settings.max_key_lead) {
        return quoted + " lies in the future";
    }
    if (wall - *time >= settings.key_retention) {
        return quoted + " has expired";
    }
    if (!owned.contains(shard_of(request.organisation, request.key))) {
        return "this router does not own the shard of " + quoted;
    }
    if (live >= settings.max_live_bookings) {
        return "too many bookings are in progress";
    }
    return {};
}

time_point ledger::state::due_time(const bucket_entry& entry) const
{
    const auto next_allowed = next_write.find(entry.shard);
    const auto write = entry.bucket.next_write();
    const auto allowed =
        next_allowed == next_write.end() ? write : std::max(write, next_allowed->second);
    return std::min(entry.bucket.next_step(), allowed);
}

void ledger::state::step_bucket(const std::string& object, time_point now)
{
    const auto it = buckets.find(object);
    if (it == buckets.end()) {
        return;
    }
    auto& entry = it->second;
    auto& bucket = entry.bucket;
    const auto previous_call = bucket.call_in_progress();
    auto& next_allowed = next_write[entry.shard];
    if (bucket.step(now, now >= next_allowed)) {
        next_allowed = now + settings.write_interval;
    }
    if (previous_call && bucket.call_in_progress() != previous_call) {
        calls.erase(*previous_call);
    }
    if (const auto call = bucket.call_in_progress()) {
        calls.insert_or_assign(*call, object);
    }
    live += bucket.live_count() - entry.counted_live;
    entry.counted_live = bucket.live_count();
    due.erase({entry.due, object});
    entry.due = due_time(entry);
    if (entry.due != time_point::max()) {
        due.emplace(entry.due, object);
    }
}

void ledger::state::register_runs(const std::string& object, std::size_t from)
{
    for (auto n = from; n < context.effects->size(); ++n) {
        if (const auto* run = std::get_if<start_booking>(&(*context.effects)[n])) {
            runs.insert_or_assign(run->request,
                                  run_location{object, record_name(run->organisation, run->key)});
        }
    }
}

void ledger::state::evict_idle(time_point now)
{
    auto it = buckets.upper_bound(eviction_cursor);
    for (std::size_t n = 0; n < eviction_batch && it != buckets.end(); ++n) {
        eviction_cursor = it->first;
        const auto& bucket = it->second.bucket;
        const bool unused =
            bucket.is_idle() && now - bucket.last_used() >= settings.idle_eviction_delay;
        if (unused) {
            due.erase({it->second.due, it->first});
        }
        it = unused ? buckets.erase(it) : std::next(it);
    }
    if (it == buckets.end()) {
        eviction_cursor.clear();
    }
}

ledger::ledger(const router_id& router, incarnation run, ledger_settings settings,
               platform_call_id_source& calls)
    : state_{std::make_unique<state>(router.str() + "." + std::to_string(run.value()), settings,
                                     calls)}
{
    set_key_retention(settings.key_retention);
}

ledger::~ledger() = default;
ledger::ledger(ledger&&) noexcept = default;
ledger& ledger::operator=(ledger&&) noexcept = default;

void ledger::set_owned(std::set<std::uint32_t> shards)
{
    state_->sweeper.set_owned(shards);
    state_->owned = std::move(shards);
}

bool ledger::owns(std::uint32_t shard) const
{
    return state_->owned.contains(shard);
}

void ledger::set_key_retention(duration retention)
{
    state_->settings.key_retention = std::min(retention, state_->settings.record_retention);
}

ledger_effects ledger::book(const booking& request, wall_time wall, time_point now)
{
    ledger_effects out;
    state_->context.effects = &out;
    state_->sweeper.set_wall_clock(wall, now);
    booking_result not_run;
    not_run.result = outcome::not_run;
    bool key_unused = false;
    if (auto reason = state_->refusal_reason(request, wall, key_unused); !reason.empty()) {
        out.emplace_back(booking_answer{request.request, not_run, std::move(reason),
                                        refusal_retry_after, key_unused});
        return out;
    }
    const auto shard = shard_of(request.organisation, request.key);
    const auto number = bucket_of(*booking_key_time(request.key));
    auto& entry = state_->find_or_create_bucket(shard, number, wall, now);
    const auto name = record_name(request.organisation, request.key);
    if (platform_is_down(now) && !entry.bucket.can_answer(name)) {
        out.emplace_back(booking_answer{request.request, not_run, "the platform is not available",
                                        refusal_retry_after, false});
        return out;
    }
    auto bounded = request;
    bounded.start_within = std::min(request.start_within, state_->settings.max_start_within);
    entry.bucket.book(bounded, now);
    const auto object = bucket_object_name(shard, number);
    state_->step_bucket(object, now);
    state_->register_runs(object, 0);
    return out;
}

ledger_effects ledger::answered(const platform_answer& answer, time_point now)
{
    ledger_effects out;
    if (state_->sweeper.answered(answer, now)) {
        return out;
    }
    const auto call = state_->calls.find(answer.call);
    if (call == state_->calls.end()) {
        return out;
    }
    state_->context.effects = &out;
    const auto object = call->second;
    state_->calls.erase(call);
    const auto it = state_->buckets.find(object);
    if (it == state_->buckets.end()) {
        return out;
    }
    it->second.bucket.answered(answer, now);
    state_->step_bucket(object, now);
    state_->register_runs(object, 0);
    return out;
}

ledger_effects ledger::run_ended(const request_id& request, const booking_result& result,
                                 time_point now)
{
    if (result.result == outcome::not_run) {
        return run_refused(request, "the target did not run the request", now);
    }
    ledger_effects out;
    state_->context.effects = &out;
    const auto run = state_->runs.find(request);
    if (run == state_->runs.end()) {
        return out;
    }
    const auto location = run->second;
    state_->runs.erase(run);
    if (const auto it = state_->buckets.find(location.object); it != state_->buckets.end()) {
        it->second.bucket.run_ended(location.record, result, now);
        state_->step_bucket(location.object, now);
    }
    return out;
}

ledger_effects ledger::run_refused(const request_id& request, const std::string& reason,
                                   time_point now)
{
    ledger_effects out;
    state_->context.effects = &out;
    const auto run = state_->runs.find(request);
    if (run == state_->runs.end()) {
        return out;
    }
    const auto location = run->second;
    state_->runs.erase(run);
    if (const auto it = state_->buckets.find(location.object); it != state_->buckets.end()) {
        it->second.bucket.run_refused(location.record, reason, now);
        state_->step_bucket(location.object, now);
    }
    return out;
}

ledger_effects ledger::target_reported(const query_target& query, const booking_result& result,
                                       time_point now)
{
    ledger_effects out;
    state_->context.effects = &out;
    const auto time = booking_key_time(query.key);
    if (!time) {
        return out;
    }
    const auto object =
        bucket_object_name(shard_of(query.organisation, query.key), bucket_of(*time));
    if (const auto it = state_->buckets.find(object); it != state_->buckets.end()) {
        it->second.bucket.target_reported(record_name(query.organisation, query.key),
                                          query.start_id, result, now);
        state_->step_bucket(object, now);
    }
    return out;
}

ledger_effects ledger::tick(time_point now)
{
    ledger_effects out;
    state_->context.effects = &out;
    std::vector<std::string> objects;
    for (const auto& [due_at, object] : state_->due) {
        if (due_at > now) {
            break;
        }
        objects.push_back(object);
    }
    for (const auto& object : objects) {
        const auto from = out.size();
        state_->step_bucket(object, now);
        state_->register_runs(object, from);
    }
    state_->evict_idle(now);
    if (auto call = state_->sweeper.step(now)) {
        out.emplace_back(*std::move(call));
    }
    return out;
}

time_point ledger::next_timer() const
{
    const auto& due = state_->due;
    const auto sweep = state_->sweeper.next_step();
    return due.empty() ? sweep : std::min(sweep, due.begin()->first);
}

bool ledger::platform_is_down(time_point now) const
{
    return now < state_->context.platform_down_until;
}

std::size_t ledger::bookings_in_progress() const
{
    return state_->live;
}

std::uint64_t ledger::objects_deleted() const
{
    return state_->sweeper.deleted();
}

std::size_t ledger::records_held() const
{
    std::size_t n = 0;
    for (const auto& [name, entry] : state_->buckets) {
        n += entry.bucket.record_count();
    }
    return n;
}

} // namespace endivelatch
