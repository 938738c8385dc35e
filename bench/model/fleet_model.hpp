#pragma once

#include "endivelatch/base/load_cap.hpp"
#include "endivelatch/routing/ownership.hpp"
#include "endivelatch/routing/rendezvous.hpp"
#include "endivelatch/routing/route.hpp"
#include "policy.hpp"
#include "prefix_cache.hpp"
#include "trace.hpp"

#include <cmath>
#include <queue>
#include <span>
#include <unordered_map>

namespace endivelatch::model {

/// Delays after which routers learn of changes, and the loss of cache events.
struct view_delays {
    duration report_interval = std::chrono::seconds{1};       ///< Period of load reports.
    duration max_detection_delay = std::chrono::seconds{3};   ///< Longest time to detect a change.
    duration max_cache_event_delay = std::chrono::seconds{5}; ///< Longest delay of a cache event.
    double cache_event_loss = 0.05; ///< Fraction of cache events that are lost.
};

/// A discrete-event simulation of targets with limited caches and routers with stale views.
///
/// The owning router of a target knows its exact load and enforces the load bound; the other
/// routers know the load of the last report. The same trace, policy and delays always give the
/// same result.
class fleet_model {
public:
    fleet_model(const workload& load, const trace& input, policy rules, view_delays delays = {})
        : load_{load}, input_{input}, rules_{std::move(rules)}, delays_{delays},
          random_{combine_hashes(load.seed, 1)}
    {
        make_targets();
        make_routers();
    }

    /// Runs the trace and returns the counts, excluding the first `warm_up` of simulated time.
    outcome_counts run(duration warm_up = std::chrono::minutes{5})
    {
        warm_up_ = time_point{} + warm_up;
        for (std::uint32_t it = 0; it < input_.turns.size(); ++it) {
            schedule(input_.turns[it].at, event_kind::arrival, it);
        }
        for (std::uint32_t it = 0; it < input_.changes.size(); ++it) {
            schedule(input_.changes[it].at, event_kind::change, it);
        }
        for (std::uint32_t it = 0; it < routers_.size(); ++it) {
            schedule(time_point{} + delays_.report_interval * it / load_.routers,
                     event_kind::report, it);
        }
        schedule(time_point{}, event_kind::sample, 0);
        const auto end = time_point{} + load_.length;
        while (!events_.empty() && events_.top().at <= end) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            handle_event(next);
        }
        return counts_;
    }

private:
    enum class event_kind { arrival, change, report, sample, finish, detected, eviction };

    struct event {
        time_point at;
        std::uint64_t sequence;
        event_kind kind;
        std::uint32_t index; ///< Index of a turn, change, router or target, depending on the kind.
        std::uint32_t secondary; ///< Router for `detected`, incarnation for `eviction`.
        std::uint64_t payload;   ///< Incarnation for `finish`, prefix hash for `eviction`.

        friend bool operator<(const event& x, const event& y)
        {
            return std::pair{x.at, x.sequence} > std::pair{y.at, y.sequence};
        }
    };
    struct target_state {
        target_document document;
        std::uint64_t hash = 0;
        std::uint32_t owner = 0;
        bool up = true;
        bool leaving = false;
        std::uint64_t run = 1;
        std::uint64_t transferred_run = 0; ///< Last incarnation with transferred prefixes.
        std::uint32_t in_flight = 0;
        time_point prefill_until;
        prefix_cache cache;
    };
    struct chat_record {
        std::uint32_t target = 0;
        std::uint64_t run = 0;
    };
    struct ranking {
        std::vector<std::uint32_t> targets;
        bool first_is_warm = false;
        duration warm_wait{};
    };

    void make_targets()
    {
        for (std::uint32_t it = 0; it < load_.targets; ++it) {
            target_document document;
            document.id = target_id{"t" + std::to_string(it)};
            document.pool = pool_;
            document.domain = domain_id{"d" + std::to_string(it % load_.domains)};
            document.region = region_id{"r"};
            target_indexes_[document.id] = it;
            const auto hash = stable_hash(document.id.str());
            targets_.push_back(
                {document, hash, 0, true, false, 1, 0, 0, {}, prefix_cache{load_.cache_tokens}});
        }
    }

    void make_routers()
    {
        directory_settings settings;
        if (!rules_.uses_flap_damping) {
            settings.flaps_allowed = ~std::uint32_t{0};
        }
        ownership owners;
        std::vector<member> members;
        for (std::uint32_t it = 0; it < load_.routers; ++it) {
            member router;
            router.id = router_id{"e" + std::to_string(it)};
            router.domain = domain_id{"d" + std::to_string(it % load_.domains)};
            router.region = region_id{"r"};
            members.push_back(router);
            routers_.emplace_back(settings);
        }
        owners.set_routers(members);
        std::vector<target_document> documents;
        for (const auto& it : targets_) {
            documents.push_back(it.document);
        }
        owners.set_targets(documents);
        for (auto& it : targets_) {
            const auto owner = owners.owner_of(it.document.id)->str().substr(1);
            it.owner = static_cast<std::uint32_t>(std::stoul(owner));
            for (auto& router : routers_) {
                router.set_target(it.document);
                router.target_up(it.document.id, incarnation{1}, now_);
            }
        }
    }

    void schedule(time_point at, event_kind kind, std::uint32_t index, std::uint32_t secondary = 0,
                  std::uint64_t payload = 0)
    {
        events_.push({at, ++sequence_, kind, index, secondary, payload});
    }

    void handle_event(const event& it)
    {
        switch (it.kind) {
        case event_kind::arrival:
            return place_request(it.index);
        case event_kind::change:
            return apply_change(input_.changes[it.index]);
        case event_kind::report:
            return report_loads(it.index);
        case event_kind::sample:
            return sample_skew();
        case event_kind::finish:
            return finish_request(it.index, it.payload);
        case event_kind::detected:
            return update_view(it.index, it.secondary);
        case event_kind::eviction:
            return deliver_eviction(it.index, it.secondary, it.payload);
        }
    }

    bool past_warm_up() const { return now_ >= warm_up_; }

    // Requests.

    void place_request(std::uint32_t number)
    {
        const auto& request = input_.turns[number];
        const auto entry_router = static_cast<std::uint32_t>(mix_bits(number) % routers_.size());
        const auto choice = rank(request, entry_router);
        const bool reusable = request.number > 0 && warmest_target(request).has_value();
        for (std::size_t it = 0; it < choice.targets.size(); ++it) {
            const auto target = choice.targets[it];
            const bool last = it + 1 == choice.targets.size();
            counts_.owners_asked += past_warm_up() ? 1 : 0;
            if (it == 0 && choice.first_is_warm && !last && is_known_cold(request, target)) {
                continue;
            }
            if (it == 0 && choice.first_is_warm && now_ - request.at < choice.warm_wait &&
                !admits(target)) {
                const bool cold = targets_[target].cache.tokens_of(request.prefix_hash) == 0;
                counts_.wasted_waits += past_warm_up() && cold ? 1 : 0;
                break;
            }
            if (admits(target)) {
                counts_.reusable += past_warm_up() && reusable ? 1 : 0;
                return start_request(number, target);
            }
        }
        constexpr duration retry_interval = std::chrono::milliseconds{50};
        counts_.waits += past_warm_up() ? 1 : 0;
        schedule(now_ + retry_interval, event_kind::arrival, number);
    }

    bool is_known_cold(const turn& request, std::uint32_t target) const
    {
        const auto& it = targets_[target];
        return rules_.uses_cache_events &&
               !routers_[it.owner].may_be_warm(it.document.id, incarnation{it.run},
                                               request.prefix_hash);
    }

    bool admits(std::uint32_t target) const
    {
        const auto& it = targets_[target];
        if (!it.up || it.leaving) {
            return false;
        }
        if (rules_.strategy == placement::oracle) {
            return it.in_flight < actual_cap();
        }
        const auto& view = routers_[it.owner];
        if (rules_.strategy == placement::endivelatch && !view.find(it.document.id)->takes_work()) {
            return false;
        }
        const bool bounded = rules_.enforces_bound && (rules_.strategy == placement::endivelatch ||
                                                       rules_.strategy == placement::bounded);
        const auto total =
            static_cast<double>(view.total_load(pool_)) * (1 - rules_.total_load_margin);
        return !bounded ||
               it.in_flight < load_cap(rules_.load_bound, static_cast<std::uint64_t>(total),
                                       view.serving_targets(pool_));
    }

    void start_request(std::uint32_t number, std::uint32_t target)
    {
        const auto& request = input_.turns[number];
        auto& it = targets_[target];
        count_admission(it);
        const auto cached = std::min(it.cache.tokens_of(request.prefix_hash), request.prefix);
        const auto shared = request.shared == 0 ? 0 : load_.shared_tokens;
        const bool has_shared = shared > 0 && it.cache.tokens_of(shared_key(request)) > 0;
        const auto missing = request.prefix + request.added - cached + (has_shared ? 0 : shared);
        const auto begin = std::max(now_, it.prefill_until);
        it.prefill_until = begin + seconds_of(missing / load_.prefill_rate);
        ++it.in_flight;
        update_owner(target);
        count_request(request, cached, has_shared ? shared : 0, it.prefill_until);
        if (shared > 0) {
            schedule_evictions(target, it.cache.store(shared_key(request), shared));
        }
        schedule_evictions(target,
                           it.cache.store(request.prefix_hash, request.prefix + request.added));
        if (rules_.uses_cache_events) {
            routers_[it.owner].cache_filled(it.document.id, incarnation{it.run},
                                            request.prefix_hash);
        }
        chats_[request.chat] = {target, it.run};
        schedule(it.prefill_until + request.decode, event_kind::finish, target, 0, it.run);
    }

    static std::uint64_t shared_key(const turn& request)
    {
        return (std::uint64_t{1} << 63U) | request.shared;
    }

    void schedule_evictions(std::uint32_t target, const std::vector<std::uint64_t>& prefixes)
    {
        if (!rules_.uses_cache_events) {
            return;
        }
        for (const auto it : prefixes) {
            const auto delay = delays_.max_cache_event_delay * random_.fraction();
            const auto at = now_ + std::chrono::duration_cast<duration>(delay);
            schedule(at, event_kind::eviction, target,
                     static_cast<std::uint32_t>(targets_[target].run), it);
        }
    }

    void deliver_eviction(std::uint32_t target, std::uint32_t run, std::uint64_t prefix)
    {
        const auto& it = targets_[target];
        auto& view = routers_[it.owner];
        if (random_.fraction() < delays_.cache_event_loss) {
            view.cache_gap(it.document.id);
            return;
        }
        view.cache_evicted(it.document.id, incarnation{run}, prefix);
    }

    void finish_request(std::uint32_t target, std::uint64_t run)
    {
        auto& it = targets_[target];
        if (it.run != run || !it.up) {
            return;
        }
        --it.in_flight;
        update_owner(target);
        if (it.leaving && it.in_flight == 0) {
            transfer_prefixes(target);
            stop_target(target);
        }
    }

    void update_owner(std::uint32_t target)
    {
        const auto& it = targets_[target];
        routers_[it.owner].set_load(it.document.id, it.in_flight, now_);
    }

    // Ranking.

    ranking rank(const turn& request, std::uint32_t entry_router)
    {
        switch (rules_.strategy) {
        case placement::endivelatch:
            return rank_by_routing_library(request, entry_router);
        case placement::rendezvous:
        case placement::bounded:
            return {rank_by_hash(request, entry_router), false, {}};
        case placement::two_loads:
            return {rank_by_two_loads(entry_router), false, {}};
        case placement::oracle:
            return {rank_by_actual_state(request), false, {}};
        }
        return {};
    }

    ranking rank_by_routing_library(const turn& request, std::uint32_t entry_router)
    {
        route_request query;
        query.pool = pool_;
        query.organisation = organisation_id{"o" + std::to_string(request.organisation)};
        query.chat = chat_id{std::to_string(request.chat)};
        query.prefix_hash = request.prefix_hash;
        query.shared_prefix_hash = request.shared;
        query.keeps_hints = rules_.uses_hints && keeps_hints(request);
        query.hint = make_hint(request, query);
        const auto choice = choose_targets(routers_[entry_router], query, rules_.route);
        ranking out;
        for (const auto& it : choice.candidates) {
            out.targets.push_back(target_indexes_.at(it));
        }
        out.first_is_warm = choice.reason == route_reason::warm;
        out.warm_wait = choice.warm_wait;
        return out;
    }

    bool keeps_hints(const turn& request) const
    {
        return static_cast<double>(mix_bits(request.chat)) * 0x1.0p-64 < load_.hint_share;
    }

    std::optional<warm_hint> make_hint(const turn& request, const route_request& query) const
    {
        const auto known = chats_.find(request.chat);
        if (!query.keeps_hints || known == chats_.end()) {
            return std::nullopt;
        }
        const auto& it = targets_[known->second.target];
        const auto run = rules_.checks_incarnation ? known->second.run : it.run;
        return warm_hint{query.organisation, query.chat, it.document.id,
                         incarnation{run},   {},         request.prefix};
    }

    std::vector<std::uint32_t> available_targets(std::uint32_t entry_router) const
    {
        std::vector<std::uint32_t> out;
        for (std::uint32_t it = 0; it < targets_.size(); ++it) {
            if (routers_[entry_router].find(targets_[it].document.id)->takes_work()) {
                out.push_back(it);
            }
        }
        return out;
    }

    std::vector<std::uint32_t> rank_by_hash(const turn& request, std::uint32_t entry_router) const
    {
        const auto known = available_targets(entry_router);
        const auto hash_of = [this](std::uint32_t it) { return targets_[it].hash; };
        std::vector<std::uint32_t> out;
        for (const auto it :
             rendezvous_top(request.prefix_hash, std::span{known}, known.size(), hash_of)) {
            out.push_back(known[it]);
        }
        return out;
    }

    std::vector<std::uint32_t> rank_by_two_loads(std::uint32_t entry_router)
    {
        const auto known = available_targets(entry_router);
        auto a = known[random_.below(known.size())];
        auto b = known[random_.below(known.size())];
        if (reported_load(entry_router, b) < reported_load(entry_router, a)) {
            std::swap(a, b);
        }
        return {a, b};
    }

    std::uint32_t reported_load(std::uint32_t router, std::uint32_t target) const
    {
        return routers_[router].find(targets_[target].document.id)->in_flight;
    }

    std::vector<std::uint32_t> rank_by_actual_state(const turn& request) const
    {
        const auto warmest = warmest_target(request);
        if (warmest) {
            return {*warmest};
        }
        std::vector<std::uint32_t> live;
        for (std::uint32_t it = 0; it < targets_.size(); ++it) {
            if (targets_[it].up && !targets_[it].leaving) {
                live.push_back(it);
            }
        }
        std::stable_sort(live.begin(), live.end(), [this](std::uint32_t a, std::uint32_t b) {
            return targets_[a].in_flight < targets_[b].in_flight;
        });
        return live;
    }

    /// Returns the target below the load bound with the most cached tokens of the request's prefix.
    std::optional<std::uint32_t> warmest_target(const turn& request) const
    {
        std::optional<std::uint32_t> best;
        std::uint32_t most_tokens = 0;
        const auto cap = actual_cap();
        for (std::uint32_t it = 0; it < targets_.size(); ++it) {
            const auto& target = targets_[it];
            const auto tokens = target.cache.tokens_of(request.prefix_hash);
            if (counts_in_mean(target) && target.in_flight < cap && tokens > most_tokens) {
                most_tokens = tokens;
                best = it;
            }
        }
        return best;
    }

    // Target changes and their detection by the routers.

    void apply_change(const target_change& it)
    {
        auto& target = targets_[it.target];
        if (it.up) {
            if (target.up) {
                stop_target(it.target);
            }
            target.up = true;
            target.leaving = false;
            ++target.run;
            return schedule_detection(it.target);
        }
        if (it.planned && target.in_flight > 0) {
            target.leaving = true;
            return schedule_detection(it.target);
        }
        stop_target(it.target);
    }

    /// Transfers the cached prefixes of a draining target that has finished its last request.
    void transfer_prefixes(std::uint32_t target)
    {
        if (rules_.transfer_tokens == 0) {
            return;
        }
        auto& leaving = targets_[target];
        leaving.transferred_run = leaving.run;
        const auto prefixes = leaving.cache.contents();
        auto plan =
            plan_transfers(routers_[leaving.owner], pool_, prefixes, rules_.transfer_tokens);
        std::reverse(plan.begin(), plan.end());
        for (const auto& it : plan) {
            const auto number = target_indexes_.at(it.destination);
            schedule_evictions(number, targets_[number].cache.store(it.prefix_hash, it.tokens));
        }
    }

    void stop_target(std::uint32_t target)
    {
        auto& it = targets_[target];
        counts_.aborted += past_warm_up() ? it.in_flight : 0;
        it.up = false;
        it.leaving = false;
        it.in_flight = 0;
        it.prefill_until = now_;
        it.cache.clear();
        schedule_detection(target);
    }

    void schedule_detection(std::uint32_t target)
    {
        for (std::uint32_t it = 0; it < routers_.size(); ++it) {
            const auto delay = delays_.max_detection_delay * random_.fraction();
            const bool owner = it == targets_[target].owner;
            const auto at = now_ + std::chrono::duration_cast<duration>(owner ? delay / 4 : delay);
            schedule(at, event_kind::detected, target, it);
        }
    }

    void update_view(std::uint32_t target, std::uint32_t router)
    {
        const auto& it = targets_[target];
        auto document = it.document;
        document.draining = it.leaving;
        routers_[router].cache_transferred(document.id, incarnation{it.transferred_run});
        routers_[router].set_target(document);
        if (!it.up) {
            return routers_[router].target_down(document.id, now_);
        }
        routers_[router].target_up(document.id, incarnation{it.run}, now_);
    }

    void report_loads(std::uint32_t router)
    {
        auto& view = routers_[router];
        for (const auto& it : targets_) {
            view.set_load(it.document.id, it.in_flight, now_);
        }
        view.expire(now_);
        schedule(now_ + delays_.report_interval, event_kind::report, router);
    }

    // Statistics.

    /// Returns whether a target counts towards the mean load: it is up, not draining, and its owner
    /// does not consider it to be backing off.
    bool counts_in_mean(const target_state& it) const
    {
        const auto* seen = routers_[it.owner].find(it.document.id);
        return it.up && !it.leaving && seen->status != target_status::backing_off;
    }

    std::pair<std::uint64_t, std::uint32_t> actual_total() const
    {
        std::uint64_t total = 0;
        std::uint32_t n = 0;
        for (const auto& it : targets_) {
            const bool works = counts_in_mean(it);
            total += works ? it.in_flight : 0;
            n += works ? 1 : 0;
        }
        return {total, n};
    }

    std::uint32_t actual_cap() const
    {
        const auto [total, n] = actual_total();
        return load_cap(rules_.load_bound, total, n);
    }

    void count_admission(const target_state& target)
    {
        const auto [total, n] = actual_total();
        const auto cap = load_cap(rules_.evaluation_bound, total, n);
        if (!past_warm_up()) {
            return;
        }
        counts_.admissions_to_draining += target.leaving ? 1 : 0;
        if (target.in_flight + 1 > cap) {
            ++counts_.over_bound;
            counts_.max_admission_excess =
                std::max<std::uint64_t>(counts_.max_admission_excess, target.in_flight + 1 - cap);
        }
    }

    void count_request(const turn& request, std::uint32_t cached, std::uint32_t shared,
                       time_point first_token)
    {
        if (!past_warm_up()) {
            return;
        }
        ++counts_.requests;
        const std::chrono::duration<double> wait = first_token - request.at;
        counts_.first_token_seconds.push_back(wait.count());
        counts_.shared_tokens += request.shared == 0 ? 0 : load_.shared_tokens;
        counts_.shared_reused += shared;
        if (request.number > 0) {
            ++counts_.returning;
            counts_.hits += cached > 0 ? 1 : 0;
            counts_.returning_prefix_tokens += request.prefix;
            counts_.reused_tokens += cached;
        }
    }

    void sample_skew()
    {
        constexpr duration sample_interval = std::chrono::milliseconds{250};
        schedule(now_ + sample_interval, event_kind::sample, 0);
        const auto [total, n] = actual_total();
        if (!past_warm_up() || total == 0) {
            return;
        }
        std::uint32_t busiest = 0;
        for (const auto& it : targets_) {
            busiest = std::max(busiest, counts_in_mean(it) ? it.in_flight : 0);
        }
        const double skew = busiest * static_cast<double>(n) / static_cast<double>(total);
        ++counts_.samples;
        const auto cap = load_cap(rules_.evaluation_bound, total, n);
        if (busiest > cap) {
            ++counts_.samples_over_bound;
            counts_.max_sample_excess =
                std::max<std::uint64_t>(counts_.max_sample_excess, busiest - cap);
        }
        counts_.skew_sum += skew;
        counts_.worst_skew = std::max(counts_.worst_skew, skew);
    }

    const workload& load_;
    const trace& input_;
    policy rules_;
    view_delays delays_;
    random_source random_;
    const pool_id pool_{"draft"};
    time_point now_;
    time_point warm_up_;
    std::uint64_t sequence_ = 0;
    std::vector<target_state> targets_;
    std::vector<target_directory> routers_;
    std::unordered_map<target_id, std::uint32_t> target_indexes_;
    std::unordered_map<std::uint64_t, chat_record> chats_;
    std::priority_queue<event> events_;
    outcome_counts counts_;
};

} // namespace endivelatch::model
