#include "soak_run.hpp"

#include "net/loopback.hpp"

#include <csignal>
#include <fstream>
#include <utility>

namespace endivelatch::soak {

namespace {

using store_mode = standins::store_standin::mode;
using replica_fault = standins::replica_standin::fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time between two requests and between two faults.
constexpr duration request_gap = milliseconds{4};
constexpr int shortest_fault_gap_ms = 40;
constexpr int longest_fault_gap_ms = 350;
/// Above the longest route timeout and the grace of a planned stop.
constexpr duration settle_time = seconds{5};
constexpr std::uint64_t leaving_callers_in_100 = 8;

} // namespace

soak_run::soak_run(std::uint64_t seed) : random_{seed}
{
    for (int n = 1; n <= router_count; ++n) {
        states_[n] = router_state::runs;
    }
}

duration soak_run::between(int least_ms, int most_ms)
{
    const auto range = static_cast<std::uint64_t>(most_ms) - static_cast<std::uint64_t>(least_ms);
    return milliseconds{least_ms + static_cast<int>(random_.below(range + 1))};
}

void soak_run::after(duration delay, std::function<void()> call)
{
    ++pending_;
    delays_.after(delay, [this, call = std::move(call)] {
        --pending_;
        call();
    });
}

void soak_run::play(duration length)
{
    const auto ends_at = fleet_.loop.now() + length;
    auto next_fault = fleet_.loop.now() + between(100, 300);
    while (fleet_.loop.now() < ends_at) {
        send_request();
        if (fleet_.loop.now() >= next_fault) {
            inject_fault();
            next_fault = fleet_.loop.now() + between(shortest_fault_gap_ms, longest_fault_gap_ms);
        }
        run_for(fleet_.loop, request_gap);
        check_exits();
    }
    recover();
}

void soak_run::send_request()
{
    const auto router = 1 + static_cast<int>(random_.below(router_count));
    caller_record record;
    record.kind = static_cast<call_kind>(random_.below(4));
    record.attempt = "s" + std::to_string(records_.size());
    record.path = path_of(record.kind, record.attempt);
    record.answer = fleet_.send(router, record.path, record.attempt);
    records_.push_back(record);
    if (random_.below(100) < leaving_callers_in_100) {
        const auto index = records_.size() - 1;
        after(between(1, 200), [this, index] { leave(index); });
    }
}

void soak_run::leave(std::size_t record)
{
    auto& it = records_[record];
    if (!fleet_.answers[it.answer].has_ended) {
        it.has_left = true;
        fleet_.callers.cancel(it.answer);
    }
}

void soak_run::inject_fault()
{
    const auto router = 1 + static_cast<int>(random_.below(router_count));
    const auto replica = random_.below(fleet_.replicas.size());
    switch (random_.below(12)) {
    case 0:
        kill_router(router);
        return;
    case 1:
        pause_router(router);
        return;
    case 2:
        stop_router(router);
        return;
    case 3:
        reload_router(router);
        return;
    case 4:
        change_configuration();
        return;
    case 5:
        lose_store(random_.below(2) == 0 ? store_mode::refusing : store_mode::silent);
        return;
    case 6:
        note("store_forgets");
        fleet_.store.forget_history();
        return;
    case 7:
    case 8:
        make_replica_fail(replica);
        return;
    case 9:
        replace_replica(replica);
        return;
    case 10:
        disturb_path(*fleet_.store_proxy);
        return;
    default:
        disturb_path(*fleet_.replica_proxies[replica]);
    }
}

bool soak_run::takes_signals(int router) const
{
    return states_.at(router) == router_state::runs &&
           fleet_.log(router).find("event=started") != std::string::npos;
}

void soak_run::kill_router(int router)
{
    if (states_[router] == router_state::is_down) {
        return;
    }
    note("router_killed");
    fleet_.routers[router]->kill();
    states_[router] = router_state::is_down;
    after(between(20, 800), [this, router] {
        fleet_.start(router);
        states_[router] = router_state::runs;
    });
}

void soak_run::pause_router(int router)
{
    if (states_[router] != router_state::runs) {
        return;
    }
    note("router_paused");
    fleet_.routers[router]->send(SIGSTOP);
    states_[router] = router_state::is_paused;
    after(between(50, 1'500), [this, router] {
        if (states_[router] == router_state::is_paused) {
            fleet_.routers[router]->send(SIGCONT);
            states_[router] = router_state::runs;
        }
    });
}

void soak_run::stop_router(int router)
{
    if (!takes_signals(router)) {
        return;
    }
    note("router_stopped");
    fleet_.routers[router]->send(SIGTERM);
    states_[router] = router_state::is_stopping;
    after(between(100, 200), [this, router] { restart_when_stopped(router); });
}

void soak_run::restart_when_stopped(int router)
{
    if (states_[router] != router_state::is_stopping) {
        return; // Killed meanwhile.
    }
    const auto code = fleet_.routers[router]->exit_code();
    if (code < 0) {
        after(milliseconds{50}, [this, router] { restart_when_stopped(router); });
        return;
    }
    if (code != 0) {
        violations_.push_back("router " + std::to_string(router) + " stopped with exit code " +
                              std::to_string(code));
    }
    fleet_.start(router);
    states_[router] = router_state::runs;
}

void soak_run::reload_router(int router)
{
    if (!takes_signals(router)) {
        return;
    }
    const bool is_bad = random_.below(2) == 0;
    note(is_bad ? "settings_invalid" : "settings_changed");
    std::ofstream{fleet_.settings_path(router)}
        << (is_bad ? std::string{"NodeName = 5\n"} : fleet_.settings(router) + "# changed\n");
    fleet_.routers[router]->send(SIGHUP);
    after(between(50, 500), [this, router] {
        std::ofstream{fleet_.settings_path(router)} << fleet_.settings(router);
        if (takes_signals(router)) {
            fleet_.routers[router]->send(SIGHUP);
        }
    });
}

void soak_run::change_configuration()
{
    note("configuration_changed");
    ++version_;
    fleet_.configure(version_, {"key", "key-" + std::to_string(version_)});
}

void soak_run::lose_store(store_mode mode)
{
    note(mode == store_mode::silent ? "store_silent" : "store_refuses");
    fleet_.store.set_mode(mode);
    after(between(100, 1'500), [this] { fleet_.store.set_mode(store_mode::well); });
}

void soak_run::make_replica_fail(std::size_t replica)
{
    constexpr std::array faults{replica_fault::refuses,    replica_fault::loses,
                                replica_fault::breaks_off, replica_fault::unsigned_ok,
                                replica_fault::errs,       replica_fault::hangs};
    note("replica_fails");
    fleet_.replicas[replica]->set_fault(faults.at(random_.below(faults.size())));
    after(between(50, 1'000),
          [this, replica] { fleet_.replicas[replica]->set_fault(replica_fault::none); });
}

void soak_run::replace_replica(std::size_t replica)
{
    note("replica_replaced");
    const auto& id = fleet_.replicas[replica]->id();
    if (random_.below(2) == 0) {
        fleet_.store.put("servers", id, fleet_.registration(replica, "draining"));
    }
    after(between(50, 400), [this, id] {
        if (fleet_.store.objects("servers").contains(id)) {
            fleet_.store.remove("servers", id);
        }
    });
    after(between(401, 1'000), [this, replica, id] {
        auto again = fleet_.registration(replica);
        again["born"] = again["born"].get<std::uint64_t>() + static_cast<unsigned>(++starts_);
        fleet_.store.put("servers", id, again);
    });
}

void soak_run::disturb_path(standins::tcp_proxy& proxy)
{
    switch (random_.below(4)) {
    case 0:
        note("path_cut");
        proxy.close_open_connections();
        return;
    case 1:
        note("path_silent");
        proxy.stall_open_connections();
        proxy.stall_new_connections(true);
        after(between(50, 1'000), [&proxy] { proxy.stall_new_connections(false); });
        return;
    case 2:
        note("path_slow");
        proxy.set_delay(between(5, 80));
        after(between(100, 1'000), [&proxy] { proxy.set_delay({}); });
        return;
    default:
        note("path_one_way");
        proxy.mute_server(true);
        after(between(50, 1'000), [&proxy] { proxy.mute_server(false); });
    }
}

void soak_run::check_exits()
{
    for (auto& [router, state] : states_) {
        const bool may_exit = state == router_state::is_down || state == router_state::is_stopping;
        if (!may_exit && fleet_.routers[router]->exit_code() >= 0) {
            violations_.push_back("router " + std::to_string(router) + " ended by itself with " +
                                  std::to_string(fleet_.routers[router]->exit_code()));
            state = router_state::is_down;
        }
    }
}

void soak_run::recover()
{
    run_until(fleet_.loop, [this] { return pending_ == 0; });
    change_configuration();
    run_for(fleet_.loop, settle_time);
    const auto newest = "key-" + std::to_string(version_);
    for (int n = 1; n <= router_count; ++n) {
        int tries = 0;
        run_until(fleet_.loop, [&] {
            const auto attempt = "end" + std::to_string(n) + "-" + std::to_string(++tries);
            return fleet_.ask(n, "/safe/x", attempt, newest).status == 200;
        });
        const auto old = fleet_.ask(n, "/safe/x", "old" + std::to_string(n), "key-1");
        if (old.status != 401) {
            violations_.push_back("router " + std::to_string(n) + " answers " +
                                  std::to_string(old.status) + " to a withdrawn key");
        }
    }
    check_exits();
}

std::vector<std::string> soak_run::violations() const
{
    auto all = violations_;
    for (auto& it : find_violations(fleet_, records_)) {
        all.push_back(std::move(it));
    }
    return all;
}

} // namespace endivelatch::soak
