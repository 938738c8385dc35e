#include "endivelatch/traffic/target_choice.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <span>
#include <utility>
#include <vector>

namespace endivelatch {

namespace {

/// A target with its estimated load and cost.
struct candidate {
    target_state* target = nullptr;
    double in_flight = 0;
    double cost_ms = 0;
    std::uint32_t prefill_tokens = 0;
    duration wait{};
    double slowdown = 1; ///< Expected time of work, relative to the usual time.
    bool is_home = false;
    bool is_acting_home = false;   ///< Highest rendezvous weight of the available targets.
    bool has_failed = false;       ///< Ejected, or suspected by other routers.
    bool has_shared_parts = false; ///< Probably caches all shared parts of the prompt.
    std::uint64_t rank = 0;        ///< Rendezvous weight.
};

/// Returns the rendezvous key: the hash of the last shared part, or of the request if there is
/// none.
std::uint64_t placement_hash(const choice_query& query)
{
    if (query.prompt == nullptr) {
        return query.request_hash;
    }
    const auto shared = shared_parts(*query.prompt);
    return shared.empty() ? query.request_hash : mix_bits(shared.back().id);
}

/// Estimates the mean number of requests that other routers have in flight at a target: from the
/// load reports, and from the own count as far as there are none. In a large fleet a router has few
/// requests in flight, so its own count says little about the others.
double expected_others(const choice_query& query, const std::vector<target_state*>& targets,
                       time_point now)
{
    double own = 0;
    double reported = 0;
    double weights = 0;
    for (const auto* it : targets) {
        own += it->own_in_flight();
        const auto weight = it->report_weight(now);
        reported += weight * it->reported_others();
        weights += weight;
    }
    const auto mean_own = own / static_cast<double>(std::max<std::size_t>(targets.size(), 1));
    const auto extrapolated = mean_own * (std::max(query.routers, 1U) - 1);
    return (reported + own_count_weight * extrapolated) / (weights + own_count_weight);
}

/// Returns whether the request keeps away from a target that other routers suspect. The others are
/// the trials.
bool avoids(const choice_query& query, const target_state& target, time_point now)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const auto suspicion = target.suspicion(now);
    return suspicion > 0 &&
           static_cast<double>(mix_bits(query.request_hash ^ target.hash())) / range < suspicion;
}

/// Marks the targets that other routers suspect, unless they are more than `max_suspected_share` of
/// all: then it is more likely that the routers were cut off.
void mark_suspected(const choice_query& query, std::vector<candidate>& all, time_point now)
{
    const auto suspected = std::count_if(
        all.begin(), all.end(), [&](const auto& it) { return it.target->suspicion(now) > 0; });
    if (static_cast<double>(suspected) > max_suspected_share * static_cast<double>(all.size())) {
        return;
    }
    for (auto& it : all) {
        it.has_failed = it.has_failed || avoids(query, *it.target, now);
    }
}

/// Returns how many requests a plain target may hold.
double service_bound(const choice_query& query, std::uint32_t slots)
{
    const auto usual = slots * (1 + service_queue_share);
    if (!query.may_wait) {
        return usual;
    }
    const auto timely = timely_requests(slots, query.objective, query.work.service_time_ms());
    return std::max(std::max(usual, timely) * (1 - query.reserved_share), 1.0);
}

/// Returns a random error of the load report of a plain target, in requests. Its range grows with
/// the age of the report by what the slots serve in that time. It differs between requests, so that
/// of many routers with the same old reports only a part sends to a target or holds back. Otherwise
/// the target would be overloaded and idle by turns.
double report_error(const choice_query& query, const target_state& target, time_point now)
{
    const auto slots = target.registration().slots;
    const auto age = target.report_age(now);
    if (!query.may_wait || query.prompt != nullptr || slots == 0 || !age) {
        return 0;
    }
    const auto served = slots * std::chrono::duration<double, std::milli>{*age}.count() /
                        query.work.service_time_ms();
    const auto range = std::min(served, max_report_error * service_bound(query, slots));
    return range * (2 * random_source{query.request_hash ^ target.hash()}.fraction() - 1);
}

std::vector<candidate> estimate_load(const choice_query& query,
                                     const std::vector<target_state*>& targets, time_point now)
{
    const auto expected = expected_others(query, targets, now);
    const auto placement = placement_hash(query);
    std::vector<candidate> all;
    all.reserve(targets.size());
    for (auto* it : targets) {
        candidate c;
        c.target = it;
        c.in_flight = std::max(it->own_in_flight() + it->others_in_flight(expected, now) +
                                   report_error(query, *it, now),
                               0.0);
        c.rank = rendezvous_weight(placement, it->hash());
        c.slowdown = query.speed.expected(it->slowdown(), now);
        c.has_failed = it->is_ejected(now);
        all.push_back(c);
    }
    mark_suspected(query, all, now);
    return all;
}

bool was_tried(const choice_query& query, const candidate& it)
{
    return query.tried != nullptr && query.tried->contains(it.target->registration().id);
}

/// Marks the home of the prompt, and the target that takes its place while it is unavailable.
void mark_homes(const choice_query& query, std::vector<candidate>& all, time_point now)
{
    candidate* home = nullptr;
    candidate* acting = nullptr;
    for (auto& it : all) {
        home = home == nullptr || it.rank > home->rank ? &it : home;
        const bool is_available =
            !it.has_failed && !it.target->obstacle(now) && !was_tried(query, it);
        if (is_available && (acting == nullptr || it.rank > acting->rank)) {
            acting = &it;
        }
    }
    home->is_home = true;
    if (acting != nullptr) {
        acting->is_acting_home = true;
    }
}

std::uint32_t total_tokens(std::span<const prompt_part> parts)
{
    return std::accumulate(parts.begin(), parts.end(), 0U,
                           [](std::uint32_t sum, const auto& it) { return sum + it.tokens; });
}

double domain_cost(const choice_query& query, const candidate& it)
{
    return it.target->registration().domain == query.domain ? 0 : cross_domain_ms;
}

/// Estimates the time to the first token. The home is assumed to have cached the shared parts,
/// since all routers send them there.
void estimate_engine_cost(const choice_query& query, candidate& it, time_point now)
{
    const auto shared = shared_parts(*query.prompt);
    auto cached = it.target->cached_tokens(query.prompt->parts, now);
    const auto shared_tokens = total_tokens(shared);
    if (it.is_home) {
        cached = std::max(cached, shared_tokens);
    }
    it.has_shared_parts = cached >= shared_tokens;
    it.prefill_tokens = query.prompt->tokens - std::min(cached, query.prompt->tokens);
    it.wait = it.target->expected_wait(query.priority, now);
    const auto wait_ms = std::chrono::duration<double, std::milli>{it.wait}.count();
    const auto rate = query.work.prefill_tokens_per_ms();
    const auto queued_ms = static_cast<double>(it.target->prefill_tokens()) / rate * it.slowdown;
    it.cost_ms = it.prefill_tokens / rate * it.slowdown + std::max(wait_ms, queued_ms) +
                 it.in_flight * engine_ms_per_request * it.slowdown + domain_cost(query, it);
}

/// Estimates the wait for a slot, plus a small cost for each occupied slot. Slots that other
/// routers occupy count less: their number changes within a service time, and routers that followed
/// the same report would all choose the same target. The time of the request itself counts as far
/// as it differs from the mean.
void estimate_service_cost(const choice_query& query, candidate& it)
{
    const double slots = std::max(it.target->registration().slots, 1U);
    const double own = it.target->own_in_flight();
    const auto waiting = std::max(0.0, it.in_flight + 1 - slots);
    const auto occupied = own + others_slot_weight * (it.in_flight - own);
    const auto service_ms = query.work.service_time_ms();
    it.cost_ms = (waiting + occupied) * service_ms / slots * it.slowdown + domain_cost(query, it) +
                 service_ms * (it.slowdown - query.speed.mean());
}

/// Returns the usable share of the load bound, which decreases with the age of the load report.
double bound_share(const target_state& target, time_point now)
{
    const auto age = target.report_age(now).value_or(stale_report_age);
    const auto staleness =
        std::chrono::duration<double>{std::clamp(age, fresh_report_age, stale_report_age) -
                                      fresh_report_age} /
        std::chrono::duration<double>{stale_report_age - fresh_report_age};
    return fresh_bound_share - (fresh_bound_share - stale_bound_share) * staleness;
}

/// Returns whether the target stated that it wants no request of this router now.
bool declines(const target_state& target, time_point now)
{
    const auto obstacle = target.obstacle(now);
    return obstacle && *obstacle != target_obstacle::full;
}

/// Returns whether the target can accept one more request within its load bound.
bool is_below_bound(const choice_query& query, const candidate& it, double mean, time_point now)
{
    if (it.has_failed || it.target->obstacle(now)) {
        return false;
    }
    const auto bound = query.load_bound * bound_share(*it.target, now) * mean + load_allowance;
    if (it.in_flight + 1 > std::max(bound, 1.0)) {
        return false;
    }
    const auto slots = it.target->registration().slots;
    return query.prompt != nullptr || slots == 0 || it.in_flight < service_bound(query, slots);
}

/// Returns whether the request waits in the router rather than at the target, which holds more than
/// it can answer in time. A load report counts for as long as the target needs to answer what it
/// holds too much: if all routers held back for longer, no answer would tell that there is room.
bool is_held_back(const choice_query& query, const candidate& it, time_point now)
{
    const auto slots = it.target->registration().slots;
    const auto age = it.target->report_age(now);
    if (!query.may_wait || query.prompt != nullptr || slots == 0 || it.has_failed || !age) {
        return false;
    }
    return *age < max_held_report_age && it.in_flight >= service_bound(query, slots);
}

/// Expected time of the first event, relative to the objective.
enum class timeliness {
    late,    ///< Probably after the objective.
    tight,   ///< Within `tight_share` of the objective.
    on_time, ///< Within `on_time_share` of the objective.
};

timeliness expected_timeliness(const choice_query& query, const candidate& it)
{
    const auto objective = std::chrono::duration<double, std::milli>{query.objective}.count();
    if (query.prompt == nullptr || it.cost_ms >= objective * tight_share) {
        return timeliness::late;
    }
    return it.cost_ms < objective * on_time_share ? timeliness::on_time : timeliness::tight;
}

/// Orders targets that are in time by the tokens to prefill, since an earlier answer has no benefit
/// and prefill delays other requests. If all have to prefill shared parts, the acting home is
/// first, so that all routers send the prompts of a lost home to the same target. Orders other
/// targets by cost. Ties are resolved by the rendezvous weight.
bool is_better(const choice_query& query, const candidate& a, const candidate& b)
{
    const auto a_time = expected_timeliness(query, a);
    const auto b_time = expected_timeliness(query, b);
    if (a_time != b_time) {
        return a_time > b_time;
    }
    if (a_time != timeliness::late) {
        if (a.has_shared_parts != b.has_shared_parts) {
            return a.has_shared_parts;
        }
        if (!a.has_shared_parts && a.is_acting_home != b.is_acting_home) {
            return a.is_acting_home;
        }
        if (a.prefill_tokens != b.prefill_tokens) {
            return a.prefill_tokens < b.prefill_tokens;
        }
    }
    return a.cost_ms < b.cost_ms || (a.cost_ms == b.cost_ms && a.rank > b.rank);
}

/// Returns the best of the targets, or null if there are none. Requests to a plain service whose
/// targets change their speed choose among the few with the highest rendezvous weights for the
/// request: all routers know the same speeds, and would otherwise send everything to the target
/// that was fast last.
const candidate* find_best(const choice_query& query, std::vector<const candidate*>&& eligible)
{
    if (query.prompt == nullptr && query.speed.varies()) {
        const auto count = std::min(eligible.size(), spread_choices);
        const auto end = eligible.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(eligible.begin(), end, eligible.end(),
                          [](const auto* a, const auto* b) { return a->rank > b->rank; });
        eligible.erase(end, eligible.end());
    }
    const auto it =
        std::min_element(eligible.begin(), eligible.end(),
                         [&](const auto* a, const auto* b) { return is_better(query, *a, *b); });
    return it == eligible.end() ? nullptr : *it;
}

/// Returns the mean load of the targets that are not cold and have no rate limit, or of all if
/// there are none. The others hold less than their part, so these have to hold more.
double mean_in_flight(const std::vector<candidate>& all, time_point now)
{
    double total = 0;
    double unlimited_total = 0;
    std::size_t unlimited = 0;
    for (const auto& it : all) {
        total += it.in_flight;
        if (it.target->limit() == nullptr && !it.target->cold().is_cold(now)) {
            unlimited_total += it.in_flight;
            ++unlimited;
        }
    }
    return unlimited > 0 ? unlimited_total / static_cast<double>(unlimited)
                         : total / static_cast<double>(all.size());
}

/// Returns the target to which this router sent the most of the prompt's shared parts, if it caches
/// over `min_fetch_tokens` tokens more than the chosen target.
const target_state* find_cache_source(const target_table& table, const choice_query& query,
                                      const candidate& chosen, time_point now)
{
    const auto shared = shared_parts(*query.prompt);
    auto most = chosen.target->cached_tokens(shared, now) + min_fetch_tokens;
    const target_state* source = nullptr;
    for (const auto* it : table.registered(query.pool)) {
        const auto tokens = it->cached_tokens(shared, now);
        if (tokens > most && it != chosen.target && it->serves_fetches(now)) {
            most = tokens;
            source = it;
        }
    }
    return source;
}

/// Returns the previous home of the prompt: the target with the highest rendezvous weight other
/// than the chosen one, including leaving targets and those evacuated a moment ago. Targets that
/// joined recently are excluded, as they have cached little. If the chosen target is the home,
/// targets that did not join well before it are excluded too, since they have cached no more than
/// it, unless they are evacuated: then they may have been the home until now.
const target_state* find_previous_home(const target_table& table, const choice_query& query,
                                       const candidate& chosen, time_point now)
{
    const auto placement = placement_hash(query);
    const auto joined_before = (chosen.is_home ? chosen.target->known_since() : now) - warm_up_time;
    const target_state* source = nullptr;
    std::uint64_t best = 0;
    for (const auto* it : table.registered(query.pool)) {
        const bool is_warm = it->known_since() <= joined_before || it->is_evacuated();
        const auto weight = rendezvous_weight(placement, it->hash());
        if (it != chosen.target && is_warm && it->serves_fetches(now) && weight > best) {
            best = weight;
            source = it;
        }
    }
    return source;
}

/// Returns the target from which the chosen one can fetch shared parts, or nothing if it already
/// has them or too little is missing.
std::optional<endpoint> find_fetch_source(const choice_query& query, const target_table& table,
                                          const candidate& chosen, time_point now)
{
    if (query.prompt == nullptr) {
        return std::nullopt;
    }
    const auto shared = shared_parts(*query.prompt);
    if (chosen.target->cached_tokens(shared, now) + min_fetch_tokens > total_tokens(shared)) {
        return std::nullopt;
    }
    const auto* source = find_cache_source(table, query, chosen, now);
    if (source == nullptr) {
        source = find_previous_home(table, query, chosen, now);
    }
    if (source == nullptr) {
        return std::nullopt;
    }
    return source->registration().address;
}

} // namespace

std::string_view to_string(no_target_reason reason)
{
    switch (reason) {
    case no_target_reason::none_registered:
        return "none_registered";
    case no_target_reason::all_evacuated:
        return "all_evacuated";
    case no_target_reason::all_tried:
        return "all_tried";
    case no_target_reason::all_full:
        return "all_full";
    case no_target_reason::all_decline:
        return "all_decline";
    case no_target_reason::all_late:
        return "all_late";
    case no_target_reason::all_busy:
        return "all_busy";
    }
    return "unknown";
}

duration max_expected_wait(duration objective, std::uint32_t priority)
{
    const auto share = std::max(max_wait_share - wait_share_step * priority, min_wait_share);
    return std::chrono::duration_cast<duration>(objective * share);
}

double timely_requests(std::uint32_t slots, duration objective, double service_time_ms)
{
    const auto objective_ms = std::chrono::duration<double, std::milli>{objective}.count();
    return slots * on_time_share * objective_ms / service_time_ms;
}

target_choice choose_target(const choice_query& query, const target_table& table, time_point now)
{
    const auto& targets = table.ready(query.pool);
    if (targets.empty()) {
        return table.has_evacuated(query.pool) ? no_target_reason::all_evacuated
                                               : no_target_reason::none_registered;
    }
    auto all = estimate_load(query, targets, now);
    const auto mean = mean_in_flight(all, now);
    mark_homes(query, all, now);

    std::vector<const candidate*> eligible;
    eligible.reserve(all.size());
    const candidate* fallback = nullptr; ///< Above its bound or ejected, but without obstacle.
    bool is_any_declining = false;
    bool is_any_held_back = false;
    for (auto& it : all) {
        if (was_tried(query, it)) {
            continue;
        }
        query.prompt != nullptr ? estimate_engine_cost(query, it, now)
                                : estimate_service_cost(query, it);
        is_any_declining = is_any_declining || declines(*it.target, now);
        if (is_below_bound(query, it, mean, now)) {
            eligible.push_back(&it);
        }
        else if (!it.target->obstacle(now) && is_held_back(query, it, now)) {
            is_any_held_back = true;
        }
        else if (!it.target->obstacle(now)) {
            fallback = fallback == nullptr || it.in_flight < fallback->in_flight ? &it : fallback;
        }
    }
    const auto* best = find_best(query, std::move(eligible));
    if (best == nullptr && query.tried != nullptr && query.tried->size() >= all.size()) {
        return no_target_reason::all_tried;
    }
    const bool is_fallback_sound = fallback != nullptr && !fallback->has_failed;
    if (best == nullptr && is_any_held_back && !is_fallback_sound) {
        return no_target_reason::all_busy;
    }
    if (best == nullptr) {
        best = fallback;
    }
    if (best == nullptr) {
        return is_any_declining ? no_target_reason::all_decline : no_target_reason::all_full;
    }
    const bool is_first = query.tried == nullptr || query.tried->empty();
    if (query.prompt != nullptr && is_first &&
        best->wait > max_expected_wait(query.objective, query.priority)) {
        return no_target_reason::all_late;
    }
    return chosen_target{
        best->target,   best->in_flight,      mean,
        best->cost_ms,  best->prefill_tokens, best->wait,
        best->slowdown, best->is_home,        find_fetch_source(query, table, *best, now)};
}

} // namespace endivelatch
