#include "ledger/booking_simulation.hpp"

#include "endivelatch/ledger/booking_key_time.hpp"

namespace endivelatch {

namespace {

constexpr std::chrono::seconds wall_origin{1'800'000'000};
constexpr std::chrono::seconds recovery_time{40};
constexpr std::uint64_t max_run_ms = 2000;

wall_time wall_at(time_point now)
{
    return wall_time{wall_origin + now.time_since_epoch()};
}

duration milliseconds(std::uint64_t n)
{
    return std::chrono::milliseconds{static_cast<std::int64_t>(n)};
}

std::string key_name(std::uint32_t n)
{
    const auto age = std::chrono::seconds{n % booking_simulation::key_count * 20};
    const auto time = wall_origin + std::chrono::hours{1} - age;
    return std::to_string(time.count()) + "-k" + std::to_string(n % booking_simulation::key_count);
}

/// Returns the shards of all keys.
std::set<std::uint32_t> all_shards()
{
    std::set<std::uint32_t> out;
    for (std::uint32_t n = 0; n < booking_simulation::key_count; ++n) {
        out.insert(shard_of(organisation_id{"o1"}, booking_key{key_name(n)}));
    }
    return out;
}

} // namespace

booking_simulation::booking_simulation(std::uint64_t seed, const simulation_settings& settings)
    : random_{seed}, settings_{settings}, platform_{seed ^ 1U,
                                                    [this](time_point when, auto action) {
                                                        events_.at(when, std::move(action));
                                                    }}
{
    platform_.faults.ignore_versions = settings.ignore_versions;
    for (std::size_t n = 0; n < router_count; ++n) {
        start(n);
    }
}

void booking_simulation::start(std::size_t n)
{
    auto& it = routers_.at(n);
    ++it.run;
    it.calls = std::make_unique<platform_call_id_source>();
    it.reducer = std::make_unique<ledger>(router_id{"r" + std::to_string(n)}, incarnation{it.run},
                                          settings_.ledger, *it.calls);
    it.reducer->set_owned(all_shards());
    it.paused_until = {};
    it.next_tick = time_point::max();
}

void booking_simulation::deliver(std::size_t n, std::uint64_t run, time_point when,
                                 const handler& action)
{
    events_.at(when, [=, this](time_point now) {
        auto& it = routers_.at(n);
        if (it.run != run) {
            return;
        }
        if (now < it.paused_until) {
            deliver(n, run, it.paused_until, action);
            return;
        }
        carry_out(n, action(*it.reducer, now), now);
        schedule_tick(n);
    });
}

void booking_simulation::schedule_tick(std::size_t n)
{
    auto& it = routers_.at(n);
    const auto due = it.reducer->next_timer();
    if (due == time_point::max() || due >= it.next_tick) {
        return;
    }
    const auto when = std::max(due, events_.now() + milliseconds(1));
    it.next_tick = when;
    deliver(n, it.run, when, [this, n](ledger& reducer, time_point now) {
        routers_.at(n).next_tick = time_point::max();
        return reducer.tick(now);
    });
}

void booking_simulation::carry_out(std::size_t n, const ledger_effects& effects, time_point now)
{
    for (const auto& effect : effects) {
        std::visit(
            overloaded{[&](const platform_call& call) {
                           const auto run = routers_.at(n).run;
                           platform_.call(call, now, [=, this](time_point then, auto answer) {
                               deliver(n, run, then, [answer](ledger& reducer, time_point when) {
                                   return reducer.answered(answer, when);
                               });
                           });
                       },
                       [&](const start_booking& run) { dispatch(n, run, now); },
                       [&](const booking_answer& answer) { handle_answer(answer); },
                       [](const query_target&) {}},
            effect);
    }
}

void booking_simulation::dispatch(std::size_t n, const start_booking& run, time_point now)
{
    auto& router_state = routers_.at(n);
    if (router_state.refusals > 0) {
        --router_state.refusals;
        deliver(n, router_state.run, now + milliseconds(1),
                [run](ledger& reducer, time_point when) {
                    return reducer.run_refused(run.request, "the queue is full", when);
                });
        return;
    }
    auto& request = requests_.at(run.request);
    auto& key = keys_[request.key];
    ++report_.runs;
    if (++key.runs > 1) {
        ++report_.doubled;
    }
    if (request.answer == outcome::not_run) {
        ++report_.false_not_run;
    }
    request.ran = true;
    key.result = "result " + std::to_string(++last_run_);
    booking_result result;
    result.result = outcome::complete;
    result.status = 200;
    result.body = std::make_shared<const std::string>(key.result);
    const auto end = now + milliseconds(1 + random_.below(max_run_ms));
    deliver(n, router_state.run, end, [run, result](ledger& reducer, time_point when) {
        return reducer.run_ended(run.request, result, when);
    });
}

void booking_simulation::handle_answer(const booking_answer& answer)
{
    auto& request = requests_.at(answer.request);
    auto& key = keys_[request.key];
    if (request.answer) {
        ++report_.wrong_answers;
    }
    request.answer = answer.result.result;
    switch (answer.result.result) {
    case outcome::complete:
        ++report_.complete;
        check_complete(answer, request.key);
        return;
    case outcome::not_run:
        ++report_.not_run;
        if (request.ran || (answer.key_unused && request.key_had_run)) {
            ++report_.false_not_run;
        }
        return;
    default:
        ++report_.unknown;
        key.may_be_started = true;
        return;
    }
}

void booking_simulation::check_complete(const booking_answer& answer, const std::string& key)
{
    const auto& state = keys_[key];
    const bool is_correct =
        state.runs > 0 && answer.result.body && *answer.result.body == state.result;
    if (!is_correct) {
        ++report_.wrong_answers;
    }
}

void booking_simulation::book(std::size_t n, const std::string& key)
{
    booking request;
    request.request = {router_id{"caller"}, incarnation{1}, ++last_request_};
    request.organisation = organisation_id{"o1"};
    request.key = booking_key{key};
    request.body_digest = "digest of " + key;
    request.start_within = milliseconds(2000 + random_.below(4000));
    request.answer_within = milliseconds(6000 + random_.below(6000));
    ++report_.bookings;
    const auto run = routers_.at(n).run;
    requests_[request.request] = {key, n, run, std::nullopt, false, keys_[key].runs > 0};
    const auto error = duration{static_cast<std::int64_t>(
        random_.below(1 + static_cast<std::uint64_t>(settings_.max_clock_error.count())))};
    deliver(n, run, events_.now(), [request, error](ledger& reducer, time_point now) {
        return reducer.book(request, wall_at(now) + error, now);
    });
}

void booking_simulation::apply(const simulation_step& step)
{
    const auto n = step.a % router_count;
    auto& router_state = routers_.at(n);
    const auto now = events_.now();
    if (step.kind != simulation_step::kinds::book && step.kind != simulation_step::kinds::advance) {
        ++report_.faults;
    }
    switch (step.kind) {
    case simulation_step::kinds::book:
        book(n, key_name(step.b));
        break;
    case simulation_step::kinds::advance:
        events_.run_until(now + milliseconds(step.b % 700));
        break;
    case simulation_step::kinds::pause:
        router_state.paused_until = now + milliseconds(step.b % 9000);
        break;
    case simulation_step::kinds::restart:
        for (auto& [id, it] : requests_) {
            if (it.router == n && !it.answer) {
                keys_[it.key].may_be_started = true;
            }
        }
        start(n);
        break;
    case simulation_step::kinds::disown:
        router_state.reducer->set_owned(step.b % 3 == 0 ? std::set<std::uint32_t>{} : all_shards());
        schedule_tick(n);
        break;
    case simulation_step::kinds::outage:
        platform_.faults.down = step.b % 2 == 0;
        break;
    case simulation_step::kinds::losses:
        platform_.faults.lost_answers = 0.1 * (step.a % 6);
        platform_.faults.lost_requests = 0.1 * (step.b % 4);
        platform_.faults.unreported_failures = 0.25 * (step.b % 5);
        platform_.faults.stale_reads = 0.1 * (step.a % 4);
        platform_.faults.max_delay = milliseconds(1 + step.b % 4000);
        break;
    case simulation_step::kinds::refusals:
        router_state.refusals += step.b % 3;
        break;
    case simulation_step::kinds::clear_faults:
        platform_.faults = {};
        platform_.faults.ignore_versions = settings_.ignore_versions;
        break;
    }
    events_.run_until(events_.now() + milliseconds(random_.below(20)));
}

void booking_simulation::recover()
{
    platform_.faults = {};
    platform_.faults.ignore_versions = settings_.ignore_versions;
    for (std::size_t n = 0; n < router_count; ++n) {
        auto& it = routers_.at(n);
        it.refusals = 0;
        it.reducer->set_owned(all_shards());
        it.paused_until = std::min(it.paused_until, events_.now());
        schedule_tick(n);
    }
    events_.run_until(events_.now() + recovery_time);
}

booking_report booking_simulation::finish()
{
    recover();
    for (const auto& [id, it] : requests_) {
        const bool is_running = routers_.at(it.router).run == it.router_run;
        report_.unanswered += is_running && !it.answer ? 1 : 0;
    }
    for (const auto& [name, key] : std::map{keys_}) {
        const auto age = wall_at(events_.now()) - *booking_key_time(booking_key{name});
        const bool is_accepted = age + settings_.max_clock_error < settings_.ledger.key_retention;
        const bool startable = !key.may_be_started && key.runs == 0 && is_accepted;
        book(random_.below(router_count), name);
        const request_id last{router_id{"caller"}, incarnation{1}, last_request_};
        events_.run_until(events_.now() + recovery_time);
        if (startable && requests_.at(last).answer != outcome::complete) {
            ++report_.stuck;
        }
    }
    for (const auto& it : routers_) {
        report_.deleted += it.reducer->objects_deleted();
        report_.overdue += it.reducer->next_timer() < events_.now() - recovery_time / 4 ? 1 : 0;
    }
    return report_;
}

std::vector<simulation_step> random_schedule(std::uint64_t seed, std::size_t steps)
{
    using kinds = simulation_step::kinds;
    constexpr std::array choices{
        kinds::book,   kinds::book,    kinds::book,     kinds::book,
        kinds::book,   kinds::advance, kinds::advance,  kinds::advance,
        kinds::pause,  kinds::restart, kinds::disown,   kinds::outage,
        kinds::losses, kinds::losses,  kinds::refusals, kinds::clear_faults};
    random_source random{seed};
    std::vector<simulation_step> out;
    for (std::size_t n = 0; n < steps; ++n) {
        out.push_back({choices.at(random.below(choices.size())),
                       static_cast<std::uint32_t>(random.below(1'000'000)),
                       static_cast<std::uint32_t>(random.below(1'000'000))});
    }
    return out;
}

booking_report run_schedule(std::uint64_t seed, const simulation_settings& settings,
                            const std::vector<simulation_step>& steps)
{
    booking_simulation simulation{seed, settings};
    for (const auto& it : steps) {
        simulation.apply(it);
    }
    return simulation.finish();
}

} // namespace endivelatch
