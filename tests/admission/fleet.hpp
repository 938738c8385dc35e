#pragma once

#include "endivelatch/admission/admission.hpp"
#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/overloaded.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

/// A simulated fleet of admission reducers; its targets count the requests that they really hold.
namespace endivelatch::testing_fleet {

constexpr duration millisecond{1000};
constexpr duration second{1'000'000};

/// The safety measures of the implementation. Each mutant overrides one member.
struct correct_policy {
    static constexpr bool asks_former_owner = true; ///< Keeps a reserve for its requests.
    static constexpr bool fences_itself = true;     ///< Renews the lease on confirmations only.
    static constexpr bool needs_majority = true;    ///< Else one other router suffices.
    static constexpr double isolated_share = 0.5;   ///< Of the cap, while isolated.
};

/// The size of a fleet and its targets.
struct fleet_size {
    int routers = 3;
    int targets = 4;
    std::uint32_t hard_limit = 4; ///< Of each target.
};

/// Violations and other events counted by the oracle.
struct oracle_findings {
    int starts = 0;
    int over_limit = 0;       ///< Arrivals that raised a target above its limit.
    int over_bound = 0;       ///< Starts above the load bound, by the greatest load of the window.
    int over_by_lone = 0;     ///< Arrivals above the limit only due to isolated routers.
    int unfenced = 0;         ///< Starts that the router's last real confirmation does not allow.
    int answered_again = 0;   ///< Answers to requests beyond the first.
    int unanswered = 0;       ///< Unanswered requests to routers that were not restarted.
    std::uint32_t excess = 0; ///< Greatest count above the limit.

    bool is_clean() const
    {
        return over_limit + over_bound + unfenced + answered_again + unanswered == 0;
    }
};

inline std::ostream& operator<<(std::ostream& out, const oracle_findings& v)
{
    return out << "starts=" << v.starts << " over_limit=" << v.over_limit
               << " over_bound=" << v.over_bound << " over_by_lone=" << v.over_by_lone
               << " unfenced=" << v.unfenced << " answered_again=" << v.answered_again
               << " unanswered=" << v.unanswered << " excess=" << v.excess;
}

/// Several routers, each with its own view, connected by lossy links and sharing targets.
template <class Policy>
class fleet {
public:
    fleet(fleet_size size, std::uint64_t seed)
        : size_{size}, random_{seed}, routers_(size.routers), targets_(size.targets)
    {
        for (int n = 0; n < size_.routers; ++n) {
            boot(n, true);
        }
        for (int n = 0; n < size_.targets; ++n) {
            schedule(random_delay(second), {kind::measure, n});
        }
    }

    /// Advances the time and delivers the messages that fall due.
    void advance(duration by)
    {
        const auto until = now_ + by;
        while (!messages_.empty() && messages_.begin()->first.first <= until) {
            auto node = messages_.extract(messages_.begin());
            now_ = node.key().first;
            deliver(node.mapped());
        }
        now_ = until;
    }

    /// Sends requests for one target to its owner in the entry router's view.
    void submit(int entry, int target, int count, int organisation)
    {
        const auto to = owner(routers_[entry].view, target);
        for (int n = 0; n < count; ++n) {
            message m{kind::submit, to};
            m.target = target;
            m.number = organisation;
            schedule(random_delay(100 * millisecond), m);
        }
    }

    /// Pauses a router; messages to it are delivered afterwards.
    void pause(int router, duration length) { routers_[router].paused_until = now_ + length; }

    /// Restarts a router without its state. Its runs on targets continue.
    void restart(int router) { boot(router, false); }

    /// Drops all messages between two routers for the given time.
    void cut(int a, int b, duration length) { cuts_[std::minmax(a, b)] = now_ + length; }

    /// Waits until all faults have ended and the queues have drained; returns the findings.
    oracle_findings finish()
    {
        advance(60 * second);
        for (const auto& [key, it] : requests_) {
            const auto is_running = routers_[it.router].epoch == it.epoch;
            findings_.unanswered += it.answers == 0 && is_running ? 1 : 0;
        }
        return findings_;
    }

private:
    enum class kind {
        heartbeat,
        confirm,
        reject,
        query,
        answer,
        load,
        run_arrives,
        run_ends,
        run_ended,
        submit,
        heartbeat_timer,
        timer,
        measure
    };

    struct view_entry {
        int counter = 0;
        bool is_dead = false;
    };
    using view = std::vector<view_entry>;

    struct message {
        kind what;
        int to = 0; ///< A router, or a target for measure, run_arrives and run_ends.
        int from = -1;
        int epoch = -1; ///< Of the receiver; negative matches any.
        int target = 0;
        std::uint32_t number = 0;
        std::uint64_t adoption = 0;
        time_point sent_at{};
        attempt_key key{};
        fleet::view view{};
        std::vector<target_load> loads{};
    };

    struct router_state {
        std::optional<admission> reducer;
        int epoch = 0;
        fleet::view view;
        std::vector<time_point> last_heard;
        time_point booted_at{};
        time_point paused_until{};
        time_point confirmed_at{}; ///< When the last heartbeat confirmed by a majority was sent.
        std::map<time_point, std::set<int>> confirmations;
        std::optional<time_point> timer_at;
    };

    struct target_state {
        std::uint32_t held = 0;                                   ///< Arrived and not ended.
        std::uint32_t launched = 0;                               ///< Held or on the way.
        std::uint32_t isolated = 0;                               ///< Launched by isolated routers.
        std::deque<std::pair<time_point, std::uint32_t>> history; ///< Of launched.
    };

    struct tracked_request {
        int router = 0;
        int epoch = 0;
        int answers = 0;
    };

    static constexpr duration lease = 3 * second;
    static constexpr duration lease_margin = 500 * millisecond;
    static constexpr duration failure_timeout = 4 * second; ///< A silent router is dead after it.
    static constexpr double load_bound = 1.25;

    static target_id name_of(int target) { return target_id{"t" + std::to_string(target)}; }
    static int number_of(const target_id& id) { return std::stoi(id.str().substr(1)); }

    duration random_delay(duration below) { return duration{random_.below(below.count())}; }

    void schedule(duration delay, message m)
    {
        messages_.emplace(std::pair{now_ + delay, ++sequence_}, std::move(m));
    }

    /// Sends over a link that drops, delays and reorders messages.
    void send(message m)
    {
        const auto it = cuts_.find(std::minmax(m.from, m.to));
        if ((it != cuts_.end() && now_ < it->second) || random_.below(100) < 5) {
            return;
        }
        const auto is_late = random_.below(100) < 5;
        schedule(random_delay(is_late ? 3 * second : 40 * millisecond), std::move(m));
    }

    configuration make_configuration() const
    {
        configuration config;
        config.defaults.load_bound = load_bound;
        for (int n = 0; n < size_.targets; ++n) {
            auto& document = config.targets[name_of(n)];
            document.id = name_of(n);
            document.pool = pool_id{"p"};
            document.max_in_flight = size_.hard_limit;
        }
        return config;
    }

    void boot(int n, bool is_first)
    {
        auto& r = routers_[n];
        admission_settings settings;
        settings.isolated_share = Policy::isolated_share;
        const auto epoch = r.epoch + 1;
        r = router_state{};
        r.epoch = epoch;
        r.reducer.emplace(settings);
        r.view.resize(size_.routers);
        r.view[n].counter = is_first ? 0 : epoch * 1000;
        r.last_heard.assign(size_.routers, now_);
        r.booted_at = is_first ? now_ - 60 * second : now_;
        r.confirmed_at = now_ - lease - duration{1};
        apply(n, r.reducer->configure(make_configuration(), now_));
        update_ownership(n, std::nullopt, is_first);
        message tick{kind::heartbeat_timer, n};
        tick.epoch = epoch;
        schedule(duration{0}, tick);
    }

    int owner(const view& v, int target) const
    {
        int best = 0;
        std::uint64_t best_score = 0;
        for (int n = 0; n < size_.routers; ++n) {
            const auto score = combine_hashes(n + 1, target + 1);
            if (!v[n].is_dead && score >= best_score) {
                best = n;
                best_score = score;
            }
        }
        return best;
    }

    /// Adopts and gives up targets after a change of the view.
    void update_ownership(int n, const std::optional<view>& before, bool is_first)
    {
        auto& r = routers_[n];
        for (int t = 0; t < size_.targets; ++t) {
            const auto is_mine = owner(r.view, t) == n;
            const auto id = name_of(t);
            if (!is_mine) {
                apply(n, r.reducer->stop_owning(id, now_));
                continue;
            }
            if (r.reducer->owns(id)) {
                continue;
            }
            const auto had_owner = !is_first && Policy::asks_former_owner;
            apply(n, r.reducer->adopt(id, {had_owner, std::nullopt}, now_));
            const auto former = before ? owner(*before, t) : n;
            if (former != n && !r.view[former].is_dead) {
                query_former_owner(n, former, t);
            }
        }
    }

    void query_former_owner(int n, int former, int t)
    {
        message m{kind::query, former, n};
        m.target = t;
        m.adoption = routers_[n].reducer->adoption(name_of(t));
        send(m);
    }

    /// Merges the newer entries of a peer's view.
    void merge(int n, const view& theirs)
    {
        auto& r = routers_[n];
        const auto before = r.view;
        bool has_changed = false;
        for (int x = 0; x < size_.routers; ++x) {
            auto& mine = r.view[x];
            const auto is_newer = theirs[x].counter > mine.counter ||
                                  (theirs[x].counter == mine.counter && theirs[x].is_dead);
            if (!is_newer || (theirs[x].counter == mine.counter && mine.is_dead)) {
                continue;
            }
            has_changed = true;
            mine = theirs[x];
            r.last_heard[x] = now_;
            if (x == n) {
                apply(n, r.reducer->doubt_ownership(now_));
                mine = {mine.counter + 1, false};
            }
        }
        if (has_changed) {
            update_ownership(n, before, false);
        }
    }

    void deliver(message& m)
    {
        if (m.what == kind::measure || m.what == kind::run_arrives || m.what == kind::run_ends) {
            deliver_to_target(m);
            return;
        }
        auto& r = routers_[m.to];
        if (m.epoch >= 0 && m.epoch != r.epoch) {
            return;
        }
        if (now_ < r.paused_until) {
            const auto wait = r.paused_until - now_;
            schedule(wait, std::move(m));
            return;
        }
        if (!Policy::fences_itself) {
            apply(m.to, r.reducer->renew_lease(now_, now_));
        }
        deliver_to_router(r, m);
        set_timer(m.to);
    }

    void set_timer(int n)
    {
        auto& r = routers_[n];
        const auto due = r.reducer->next_timer(now_);
        if (!due || (r.timer_at && *r.timer_at <= *due && *r.timer_at > now_)) {
            return;
        }
        r.timer_at = std::max(*due, now_ + millisecond);
        message m{kind::timer, n};
        m.epoch = r.epoch;
        schedule(*r.timer_at - now_, m);
    }

    void deliver_to_router(router_state& r, message& m)
    {
        switch (m.what) {
        case kind::heartbeat_timer:
            send_heartbeats(r, m);
            break;
        case kind::timer:
            apply(m.to, r.reducer->tick(now_));
            break;
        case kind::heartbeat:
            handle_heartbeat(r, m);
            break;
        case kind::confirm:
            count_confirmation(r, m);
            break;
        case kind::reject:
            merge(m.to, m.view);
            break;
        case kind::query:
            release(r, m);
            break;
        case kind::answer:
            apply(m.to,
                  r.reducer->handover_answered(name_of(m.target), m.adoption, m.number, now_));
            break;
        case kind::load:
            apply(m.to,
                  r.reducer->target_reported_load(name_of(m.target), m.number, m.sent_at, now_));
            break;
        case kind::run_ended:
            apply(m.to, r.reducer->finished(m.key, 10, now_));
            break;
        default:
            receive_request(r, m);
        }
    }

    void send_heartbeats(router_state& r, const message& m)
    {
        const auto n = m.to;
        const auto before = r.view;
        const auto is_confirmed = now_ <= r.confirmed_at + lease;
        for (int x = 0; x < size_.routers && is_confirmed; ++x) {
            r.view[x].is_dead =
                r.view[x].is_dead || (x != n && r.last_heard[x] + failure_timeout < now_);
        }
        update_ownership(n, before, false);
        const auto summary = r.reducer->summary();
        for (int x = 0; x < size_.routers; ++x) {
            if (x != n) {
                message heartbeat{kind::heartbeat, x, n};
                heartbeat.sent_at = now_;
                heartbeat.view = r.view;
                heartbeat.loads = summary.targets;
                send(std::move(heartbeat));
            }
        }
        auto next = m;
        schedule(second, next);
    }

    void handle_heartbeat(router_state& r, const message& m)
    {
        const auto is_sender_dead =
            r.view[m.from].is_dead && r.view[m.from].counter >= m.view[m.from].counter;
        merge(m.to, m.view);
        r.last_heard[m.from] = now_;
        for (const auto& it : m.loads) {
            apply(m.to, r.reducer->pool_report(it.target, it.in_flight, m.sent_at, now_));
        }
        const auto may_still_hold_lease = now_ < r.booted_at + lease + lease_margin;
        const auto refuses = is_sender_dead || may_still_hold_lease;
        message reply{refuses ? kind::reject : kind::confirm, m.from, m.to};
        reply.sent_at = m.sent_at;
        reply.view = r.view;
        send(std::move(reply));
    }

    void count_confirmation(router_state& r, const message& m)
    {
        merge(m.to, m.view);
        r.last_heard[m.from] = now_;
        if (r.view[m.from].is_dead) {
            return;
        }
        auto& from = r.confirmations[m.sent_at];
        from.insert(m.from);
        const auto confirming = static_cast<int>(from.size()) + 1;
        if (Policy::needs_majority && 2 * confirming <= size_.routers) {
            return;
        }
        // A confirmation that arrives after its lease has expired has no effect.
        if (now_ <= m.sent_at + lease) {
            r.confirmed_at = std::max(r.confirmed_at, m.sent_at);
        }
        r.confirmations.erase(r.confirmations.begin(), r.confirmations.lower_bound(m.sent_at));
        apply(m.to, r.reducer->renew_lease(m.sent_at, now_));
    }

    void release(router_state& r, const message& m)
    {
        for (const auto& it : r.reducer->release(name_of(m.target), now_)) {
            if (const auto* answer = std::get_if<released>(&it)) {
                message reply{kind::answer, m.from, m.to};
                reply.target = m.target;
                reply.number = answer->in_flight;
                reply.adoption = m.adoption;
                send(std::move(reply));
                continue;
            }
            apply(m.to, {it});
        }
    }

    void receive_request(router_state& r, const message& m)
    {
        admission_request request;
        request.key = {{router_id{"e"}, incarnation{1}, ++sequence_}, attempt{1}};
        request.target = name_of(m.target);
        request.organisation = organisation_id{"o" + std::to_string(m.number)};
        request.start_by = now_ + 10 * second;
        requests_[request.key] = {m.to, r.epoch, 0};
        apply(m.to, r.reducer->submit(request, now_));
    }

    void apply(int n, const admission_effects& effects)
    {
        for (const auto& it : effects) {
            std::visit(overloaded{[&](const start_run& e) {
                                      count_answer(e.key);
                                      launch(n, e);
                                  },
                                  [&](const refuse& e) { count_answer(e.key); },
                                  [&](const move_request& e) { count_answer(e.key); },
                                  // Claims are not gossiped here; load reports have to suffice.
                                  [](const ownership_doubtful&) {}, [](const released&) {}},
                       it);
        }
    }

    void count_answer(const attempt_key& key)
    {
        findings_.answered_again += ++requests_[key].answers > 1 ? 1 : 0;
    }

    void launch(int n, const start_run& e)
    {
        ++findings_.starts;
        const auto t = number_of(e.target);
        auto& r = routers_[n];
        change_launched(t, 1);
        const auto lapsed_at = r.confirmed_at + lease;
        const auto isolated_limit = std::max<std::uint32_t>(1, size_.hard_limit / 2);
        const auto is_isolated = now_ > lapsed_at;
        const auto may_be_isolated =
            now_ >= lapsed_at + lease && r.reducer->in_flight(e.target) <= isolated_limit;
        findings_.unfenced += is_isolated && !may_be_isolated ? 1 : 0;
        if (!is_isolated) {
            findings_.over_bound += targets_[t].launched > window_cap() ? 1 : 0;
        }
        message m{kind::run_arrives, t, n, r.epoch};
        m.number = is_isolated ? 1 : 0;
        targets_[t].isolated += m.number;
        m.key = e.key;
        schedule(random_delay(300 * millisecond), m);
    }

    void change_launched(int t, int by)
    {
        auto& it = targets_[t];
        it.launched += by;
        it.history.emplace_back(now_, it.launched);
        while (it.history.size() > 1 && it.history[1].first + 31 * second < now_) {
            it.history.pop_front();
        }
    }

    /// Returns the load bound for the sum of each target's greatest load within its history, 31 s.
    std::uint32_t window_cap() const
    {
        std::uint64_t total = 0;
        for (const auto& t : targets_) {
            std::uint32_t most = 0;
            for (const auto& [at, count] : t.history) {
                most = std::max(most, count);
            }
            total += most;
        }
        return load_cap(load_bound, total, size_.targets);
    }

    void check_limit(const target_state& t)
    {
        if (t.held <= size_.hard_limit) {
            return;
        }
        const auto is_by_isolated = t.held - std::min(t.held, t.isolated) <= size_.hard_limit;
        ++(is_by_isolated ? findings_.over_by_lone : findings_.over_limit);
        findings_.excess = std::max(findings_.excess, t.held - size_.hard_limit);
    }

    void deliver_to_target(message& m)
    {
        auto& t = targets_[m.to];
        if (m.what == kind::measure) {
            for (int n = 0; n < size_.routers; ++n) {
                message report{kind::load, n};
                report.target = m.to;
                report.number = t.held;
                report.sent_at = now_;
                schedule(200 * millisecond + random_delay(1800 * millisecond), report);
            }
            schedule(second, m);
            return;
        }
        if (m.what == kind::run_arrives) {
            ++t.held;
            check_limit(t);
            m.what = kind::run_ends;
            schedule(500 * millisecond + random_delay(15 * second), m);
            return;
        }
        --t.held;
        t.isolated -= m.number;
        change_launched(m.to, -1);
        message ended{kind::run_ended, m.from, -1, m.epoch};
        ended.key = m.key;
        schedule(random_delay(200 * millisecond), ended);
    }

    fleet_size size_;
    random_source random_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t sequence_ = 0;
    std::vector<router_state> routers_;
    std::vector<target_state> targets_;
    std::map<std::pair<time_point, std::uint64_t>, message> messages_;
    std::map<std::pair<int, int>, time_point> cuts_;
    std::map<attempt_key, tracked_request> requests_;
    oracle_findings findings_;
};

} // namespace endivelatch::testing_fleet
