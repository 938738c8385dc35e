#include "endivelatch/ledger/ledger.hpp"

#include "bucket_sweeper.hpp"
#include "endivelatch/ledger/booking_key_time.hpp"
#include "ledger_bucket.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace endivelatch {

namespace {

constexpr duration refusal_retry = std::chrono::seconds{1};
constexpr std::size_t eviction_batch = 64;

} // namespace

struct ledger::state {
    /// Where the record of a running request is.
    struct run_place {
        std::string object;
        std::string record;
    };

    /// One object in use and its shard.
    struct held_bucket {
        std::uint32_t shard;
        ledger_bucket bucket;
        std::size_t counted = 0;            ///< Bookings in progress that are part of `live`.
        time_point due = time_point::max(); ///< Its key in `due`.
    };

    using bucket_map = std::map<std::string, held_bucket, std::less<>>;

    state(std::string run_name, ledger_settings given, platform_call_id_source& ids)
        : settings{given}, context{settings, ids, std::move(run_name)}, sweeper{settings, ids}
    {
    }

    held_bucket& bucket_at(std::uint32_t shard, std::int64_t number, wall_time wall,
                           time_point now);
    std::string refusal(const booking& request, wall_time wall, bool& key_unused) const;
    void settle(const std::string& object, time_point now);
    void collect_calls_and_runs(const std::string& object, std::size_t from);
    void evict_idle(time_point now);
    time_point due_time(const held_bucket& held) const;

    ledger_settings settings;
    ledger_context context;
    std::set<std::uint32_t> owned;
    bucket_map buckets;
    std::set<std::pair<time_point, std::string>> due; ///< When each object needs a step.
    std::size_t live = 0;                             ///< Bookings in progress.
    std::map<std::uint32_t, time_point> next_write;   ///< By shard.
    std::unordered_map<platform_call_id, std::string> calls;
    std::unordered_map<request_id, run_place> runs;
    bucket_sweeper sweeper;
    std::string eviction_cursor;
};

ledger::state::held_bucket& ledger::state::bucket_at(std::uint32_t shard, std::int64_t number,
                                                     wall_time wall, time_point now)
{
    const auto name = bucket_object_name(shard, number);
    if (const auto it = buckets.find(name); it != buckets.end()) {
        return it->second;
    }
    const wall_time end{(number + 1) * ledger_bucket_span};
    const auto left = end + settings.record_retention - wall;
    const auto deletable = now + std::chrono::duration_cast<duration>(left);
    held_bucket held{shard, ledger_bucket{name, context, deletable}};
    return buckets.emplace(name, std::move(held)).first->second;
}

std::string ledger::state::refusal(const booking& request, wall_time wall, bool& key_unused) const
{
    const auto time = booking_key_time(request.key);
    const auto quoted = "key \"" + request.key.str() + "\"";
    key_unused = false;
    if (!time) {
        key_unused = true;
        return quoted + " does not have the form <unix seconds>-<text>";
    }
    if (*time > wall + settings.key_future) {
        return quoted + " lies in the future";
    }
    if (wall - *time >= settings.key_retention) {
        return quoted + " has expired";
    }
    if (!owned.contains(shard_of(request.organisation, request.key))) {
        return "this router does not own the shard of " + quoted;
    }
    if (live >= settings.live_bookings) {
        return "too many bookings are in progress";
    }
    return {};
}

time_point ledger::state::due_time(const held_bucket& held) const
{
    const auto paced = next_write.find(held.shard);
    const auto write = held.bucket.next_write();
    const auto allowed = paced == next_write.end() ? write : std::max(write, paced->second);
    return std::min(held.bucket.next_step(), allowed);
}

void ledger::state::settle(const std::string& object, time_point now)
{
    const auto it = buckets.find(object);
    if (it == buckets.end()) {
        return;
    }
    auto& held = it->second;
    auto& bucket = held.bucket;
    const auto before = bucket.call_in_progress();
    auto& paced = next_write[held.shard];
    if (bucket.step(now, now >= paced)) {
        paced = now + settings.group_interval;
    }
    if (before && bucket.call_in_progress() != before) {
        calls.erase(*before);
    }
    if (const auto call = bucket.call_in_progress()) {
        calls.insert_or_assign(*call, object);
    }
    live += bucket.live_count() - held.counted;
    held.counted = bucket.live_count();
    due.erase({held.due, object});
    held.due = due_time(held);
    if (held.due != time_point::max()) {
        due.emplace(held.due, object);
    }
}

void ledger::state::collect_calls_and_runs(const std::string& object, std::size_t from)
{
    for (auto n = from; n < context.out->size(); ++n) {
        if (const auto* run = std::get_if<start_booking>(&(*context.out)[n])) {
            runs.insert_or_assign(run->request,
                                  run_place{object, record_name(run->organisation, run->key)});
        }
    }
}

void ledger::state::evict_idle(time_point now)
{
    auto it = buckets.upper_bound(eviction_cursor);
    for (std::size_t n = 0; n < eviction_batch && it != buckets.end(); ++n) {
        eviction_cursor = it->first;
        const auto& bucket = it->second.bucket;
        const bool unused = bucket.is_idle() && now - bucket.last_used() >= settings.idle_time;
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
    state_->context.out = &out;
    state_->sweeper.set_wall(wall, now);
    booking_result not_run;
    not_run.result = outcome::not_run;
    bool key_unused = false;
    if (auto reason = state_->refusal(request, wall, key_unused); !reason.empty()) {
        out.emplace_back(
            booking_answer{request.request, not_run, std::move(reason), refusal_retry, key_unused});
        return out;
    }
    const auto shard = shard_of(request.organisation, request.key);
    const auto number = bucket_of(*booking_key_time(request.key));
    auto& held = state_->bucket_at(shard, number, wall, now);
    const auto name = record_name(request.organisation, request.key);
    if (platform_is_down(now) && !held.bucket.knows(name)) {
        out.emplace_back(booking_answer{request.request, not_run, "the platform is not available",
                                        refusal_retry, false});
        return out;
    }
    auto bounded = request;
    bounded.start_within = std::min(request.start_within, state_->settings.longest_start);
    held.bucket.book(bounded, now);
    const auto object = bucket_object_name(shard, number);
    state_->settle(object, now);
    state_->collect_calls_and_runs(object, 0);
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
    state_->context.out = &out;
    const auto object = call->second;
    state_->calls.erase(call);
    const auto it = state_->buckets.find(object);
    if (it == state_->buckets.end()) {
        return out;
    }
    it->second.bucket.answered(answer, now);
    state_->settle(object, now);
    state_->collect_calls_and_runs(object, 0);
    return out;
}

ledger_effects ledger::run_ended(const request_id& request, const booking_result& result,
                                 time_point now)
{
    if (result.result == outcome::not_run) {
        return run_refused(request, "the target did not run the request", now);
    }
    ledger_effects out;
    state_->context.out = &out;
    const auto run = state_->runs.find(request);
    if (run == state_->runs.end()) {
        return out;
    }
    const auto place = run->second;
    state_->runs.erase(run);
    if (const auto it = state_->buckets.find(place.object); it != state_->buckets.end()) {
        it->second.bucket.run_ended(place.record, result, now);
        state_->settle(place.object, now);
    }
    return out;
}

ledger_effects ledger::run_refused(const request_id& request, const std::string& reason,
                                   time_point now)
{
    ledger_effects out;
    state_->context.out = &out;
    const auto run = state_->runs.find(request);
    if (run == state_->runs.end()) {
        return out;
    }
    const auto place = run->second;
    state_->runs.erase(run);
    if (const auto it = state_->buckets.find(place.object); it != state_->buckets.end()) {
        it->second.bucket.run_refused(place.record, reason, now);
        state_->settle(place.object, now);
    }
    return out;
}

ledger_effects ledger::target_said(const query_target& question, const booking_result& result,
                                   time_point now)
{
    ledger_effects out;
    state_->context.out = &out;
    const auto time = booking_key_time(question.key);
    if (!time) {
        return out;
    }
    const auto object =
        bucket_object_name(shard_of(question.organisation, question.key), bucket_of(*time));
    if (const auto it = state_->buckets.find(object); it != state_->buckets.end()) {
        it->second.bucket.target_said(record_name(question.organisation, question.key),
                                      question.start_id, result, now);
        state_->settle(object, now);
    }
    return out;
}

ledger_effects ledger::tick(time_point now)
{
    ledger_effects out;
    state_->context.out = &out;
    std::vector<std::string> objects;
    for (const auto& [when, object] : state_->due) {
        if (when > now) {
            break;
        }
        objects.push_back(object);
    }
    for (const auto& it : objects) {
        const auto from = out.size();
        state_->settle(it, now);
        state_->collect_calls_and_runs(it, from);
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
    for (const auto& [name, held] : state_->buckets) {
        n += held.bucket.record_count();
    }
    return n;
}

} // namespace endivelatch
