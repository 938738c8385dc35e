#include "soak_run.hpp"

#include "net/loopback.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <utility>

namespace endivelatch::soak {

namespace {

using store_mode = standins::store_standin::mode;
using replica_fault = standins::replica_standin::fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time between two requests.
constexpr duration request_interval = milliseconds{4};
constexpr int min_fault_interval_ms = 40;
constexpr int max_fault_interval_ms = 350;
/// Longer than the route timeouts and the grace period of a graceful shutdown.
constexpr duration settle_time = seconds{5};
constexpr std::uint64_t cancellation_percentage = 8;
constexpr std::uint64_t short_deadline_percentage = 10;
constexpr std::uint64_t deadly_percentage = 20;
constexpr std::uint64_t max_short_deadline_ms = 30;
constexpr int deadline_ms = 5'000;
constexpr std::uint64_t max_chat_turns = 20;
constexpr const char* deadly_part = "dead";
constexpr int min_later_fault_interval_ms = 200;
constexpr int max_later_fault_interval_ms = 1'000;

/// Entries of another writer among the registrations.
const std::array odd_entries{std::string{"{\"Service\":\"pool\",\"Note\":\"\xff\"}"},
                             std::string{R"({"Service":"pool","State":"ready","Slots":1e400})"},
                             std::string{R"({"Service":"pool","Address":"127.0.0.1:99999"})"},
                             "{\"Zone\":" + std::string(100'000, '[') + std::string(100'000, ']') +
                                 "}"};

} // namespace

soak_run::soak_run(std::uint64_t seed) : random_{seed}, later_random_{~seed}
{
    for (int n = 1; n <= router_count; ++n) {
        states_[n] = router_state::running;
    }
}

duration soak_run::random_duration(int min_ms, int max_ms)
{
    const auto range = static_cast<std::uint64_t>(max_ms) - static_cast<std::uint64_t>(min_ms);
    return milliseconds{min_ms + static_cast<int>(random_.below(range + 1))};
}

void soak_run::schedule(duration delay, std::function<void()> call)
{
    ++pending_actions_;
    delays_.after(delay, [this, call = std::move(call)] {
        --pending_actions_;
        call();
    });
}

void soak_run::execute(duration length)
{
    const auto ends_at = fleet_.loop.now() + length;
    auto next_fault = fleet_.loop.now() + random_duration(100, 300);
    auto next_later_fault = fleet_.loop.now();
    while (fleet_.loop.now() < ends_at) {
        send_request();
        if (fleet_.loop.now() >= next_fault) {
            inject_fault();
            next_fault =
                fleet_.loop.now() + random_duration(min_fault_interval_ms, max_fault_interval_ms);
        }
        if (fleet_.loop.now() >= next_later_fault) {
            inject_later_fault();
            next_later_fault =
                fleet_.loop.now() + milliseconds{min_later_fault_interval_ms +
                                                 later_random_.below(max_later_fault_interval_ms -
                                                                     min_later_fault_interval_ms)};
        }
        run_for(fleet_.loop, request_interval);
        check_exits();
    }
    recover();
}

void soak_run::send_request()
{
    const auto router = 1 + static_cast<int>(random_.below(router_count));
    request_record record;
    record.type = static_cast<request_type>(random_.below(4));
    record.attempt = "s" + std::to_string(records_.size());
    record.path = request_path(record.type, record.attempt);
    const bool is_short = later_random_.below(100) < short_deadline_percentage;
    const auto deadline =
        is_short ? 1 + static_cast<int>(later_random_.below(max_short_deadline_ms)) : deadline_ms;
    record.response_id = fleet_.send_with_deadline(router, record.path, record.attempt, deadline,
                                                   prompt_headers(record.attempt));
    records_.push_back(record);
    if (random_.below(100) < cancellation_percentage) {
        const auto index = records_.size() - 1;
        schedule(random_duration(1, 200), [this, index] { cancel_request(index); });
    }
}

/// Returns the headers of a prompt: parts that are common, those of a chat of some turns, the
/// request's own. While replicas are poisoned, some have the deadly part among them.
std::string soak_run::prompt_headers(const std::string& attempt)
{
    std::string parts = "c0:100";
    const auto turns = later_random_.below(max_chat_turns);
    const auto chat = std::to_string(std::hash<std::string>{}(attempt) % 1'000'000'000);
    const bool is_deadly = is_poisoned_ && later_random_.below(100) < deadly_percentage;
    const auto place = later_random_.below(turns + 1);
    for (std::uint64_t n = 0; n <= turns; ++n) {
        parts += is_deadly && n == place ? std::string{","} + deadly_part + ":100" : "";
        parts += "," + chat + "a" + std::to_string(n) + ":100";
    }
    return "Endivelatch-Token-Usage: 2000,80\r\nEndivelatch-Prefix-Hash: " + parts + "\r\n";
}

void soak_run::cancel_request(std::size_t record)
{
    auto& it = records_[record];
    if (!fleet_.responses[it.response_id].has_ended) {
        it.was_cancelled = true;
        fleet_.client_connections.cancel(it.response_id);
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
        disrupt_store(random_.below(2) == 0 ? store_mode::unavailable : store_mode::unresponsive);
        return;
    case 6:
        count_fault("store_forgets");
        fleet_.store.discard_history();
        return;
    case 7:
    case 8:
        fail_replica(replica);
        return;
    case 9:
        replace_replica(replica);
        return;
    case 10:
        disrupt_path(*fleet_.store_proxy);
        return;
    default:
        disrupt_path(*fleet_.replica_proxies[replica]);
    }
}

void soak_run::inject_later_fault()
{
    switch (later_random_.below(3)) {
    case 0:
        change_configuration_in_series();
        return;
    case 1:
        write_odd_entry();
        return;
    default:
        poison_replicas();
    }
}

void soak_run::change_configuration_in_series()
{
    constexpr std::uint64_t max_changes = 6;
    const auto changes = 1 + static_cast<int>(later_random_.below(max_changes));
    for (int n = 0; n < changes; ++n) {
        schedule(milliseconds{n * 20}, [this] { change_configuration(); });
    }
}

void soak_run::write_odd_entry()
{
    count_fault("odd_entry");
    fleet_.store.put_text("servers", "x-other",
                          odd_entries.at(later_random_.below(odd_entries.size())));
}

void soak_run::poison_replicas()
{
    if (is_poisoned_) {
        return;
    }
    count_fault("replicas_poisoned");
    is_poisoned_ = true;
    for (const auto& it : fleet_.replicas) {
        it->set_deadly_part(deadly_part);
    }
    schedule(milliseconds{300 + later_random_.below(1'500)}, [this] {
        is_poisoned_ = false;
        for (const auto& it : fleet_.replicas) {
            it->set_deadly_part({});
        }
    });
}

bool soak_run::handles_signals(int router) const
{
    return states_.at(router) == router_state::running &&
           fleet_.log(router).find("event=started") != std::string::npos;
}

void soak_run::kill_router(int router)
{
    if (states_[router] == router_state::killed) {
        return;
    }
    count_fault("router_killed");
    fleet_.routers[router]->kill();
    states_[router] = router_state::killed;
    schedule(random_duration(20, 800), [this, router] {
        fleet_.start(router);
        states_[router] = router_state::running;
    });
}

void soak_run::pause_router(int router)
{
    if (states_[router] != router_state::running) {
        return;
    }
    count_fault("router_paused");
    fleet_.routers[router]->send(SIGSTOP);
    states_[router] = router_state::paused;
    schedule(random_duration(50, 1'500), [this, router] {
        if (states_[router] == router_state::paused) {
            fleet_.routers[router]->send(SIGCONT);
            states_[router] = router_state::running;
        }
    });
}

void soak_run::stop_router(int router)
{
    if (!handles_signals(router)) {
        return;
    }
    count_fault("router_stopped");
    fleet_.routers[router]->send(SIGTERM);
    states_[router] = router_state::stopping;
    schedule(random_duration(100, 200), [this, router] { restart_when_stopped(router); });
}

void soak_run::restart_when_stopped(int router)
{
    if (states_[router] != router_state::stopping) {
        return; // Killed in the meantime.
    }
    const auto code = fleet_.routers[router]->exit_code();
    if (code < 0) {
        schedule(milliseconds{50}, [this, router] { restart_when_stopped(router); });
        return;
    }
    if (code != 0) {
        violations_.push_back("router " + std::to_string(router) + " stopped with exit code " +
                              std::to_string(code));
    }
    fleet_.start(router);
    states_[router] = router_state::running;
}

void soak_run::reload_router(int router)
{
    if (!handles_signals(router)) {
        return;
    }
    const bool is_bad = random_.below(2) == 0;
    count_fault(is_bad ? "settings_invalid" : "settings_changed");
    std::ofstream{fleet_.settings_path(router)}
        << (is_bad ? std::string{"NodeName = 5\n"} : fleet_.settings(router) + "# changed\n");
    fleet_.routers[router]->send(SIGHUP);
    schedule(random_duration(50, 500), [this, router] {
        std::ofstream{fleet_.settings_path(router)} << fleet_.settings(router);
        if (handles_signals(router)) {
            fleet_.routers[router]->send(SIGHUP);
        }
    });
}

void soak_run::change_configuration()
{
    count_fault("configuration_changed");
    ++version_;
    fleet_.write_configuration(version_, {"key", "key-" + std::to_string(version_)});
}

void soak_run::disrupt_store(store_mode mode)
{
    count_fault(mode == store_mode::unresponsive ? "store_silent" : "store_refuses");
    fleet_.store.set_mode(mode);
    schedule(random_duration(100, 1'500), [this] { fleet_.store.set_mode(store_mode::normal); });
}

void soak_run::fail_replica(std::size_t replica)
{
    constexpr std::array faults{replica_fault::reject,       replica_fault::drop_response,
                                replica_fault::truncate,     replica_fault::unsigned_success,
                                replica_fault::server_error, replica_fault::hang};
    count_fault("replica_fails");
    fleet_.replicas[replica]->set_fault(faults.at(random_.below(faults.size())));
    schedule(random_duration(50, 1'000),
             [this, replica] { fleet_.replicas[replica]->set_fault(replica_fault::none); });
}

void soak_run::replace_replica(std::size_t replica)
{
    count_fault("replica_replaced");
    const auto& id = fleet_.replicas[replica]->id();
    if (random_.below(2) == 0) {
        fleet_.store.put("servers", id, fleet_.registration(replica, "draining"));
    }
    schedule(random_duration(50, 400), [this, id] {
        if (fleet_.store.objects("servers").contains(id)) {
            fleet_.store.remove("servers", id);
        }
    });
    schedule(random_duration(401, 1'000), [this, replica, id] {
        auto registration = fleet_.registration(replica);
        registration["born"] = registration["born"].get<std::uint64_t>() +
                               static_cast<unsigned>(++registration_count_);
        fleet_.store.put("servers", id, registration);
    });
}

void soak_run::disrupt_path(standins::tcp_proxy& proxy)
{
    switch (random_.below(4)) {
    case 0:
        count_fault("path_cut");
        proxy.close_open_connections();
        return;
    case 1:
        count_fault("path_silent");
        proxy.stall_open_connections();
        proxy.stall_new_connections(true);
        schedule(random_duration(50, 1'000), [&proxy] { proxy.stall_new_connections(false); });
        return;
    case 2:
        count_fault("path_slow");
        proxy.set_delay(random_duration(5, 80));
        schedule(random_duration(100, 1'000), [&proxy] { proxy.set_delay({}); });
        return;
    default:
        count_fault("path_one_way");
        proxy.stall_server_data(true);
        schedule(random_duration(50, 1'000), [&proxy] { proxy.stall_server_data(false); });
    }
}

void soak_run::check_exits()
{
    for (auto& [router, state] : states_) {
        const bool may_exit = state == router_state::killed || state == router_state::stopping;
        if (!may_exit && fleet_.routers[router]->exit_code() >= 0) {
            violations_.push_back("router " + std::to_string(router) +
                                  " exited unexpectedly with code " +
                                  std::to_string(fleet_.routers[router]->exit_code()));
            state = router_state::killed;
        }
    }
}

void soak_run::recover()
{
    run_until(fleet_.loop, [this] { return pending_actions_ == 0; });
    change_configuration();
    run_for(fleet_.loop, settle_time);
    const auto newest = "key-" + std::to_string(version_);
    for (int n = 1; n <= router_count; ++n) {
        int tries = 0;
        run_until(fleet_.loop, [&] {
            const auto attempt = "end" + std::to_string(n) + "-" + std::to_string(++tries);
            return fleet_.send_and_wait(n, "/safe/x", attempt, newest).status == 200;
        });
        const auto old = fleet_.send_and_wait(n, "/safe/x", "old" + std::to_string(n), "key-1");
        if (old.status != 401) {
            violations_.push_back("router " + std::to_string(n) + " responds with " +
                                  std::to_string(old.status) + " to a revoked key");
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
