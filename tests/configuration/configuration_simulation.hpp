#pragma once

#include "endivelatch/configuration/administration.hpp"
#include "endivelatch/configuration/configuration_store.hpp"
#include "ledger/event_queue.hpp"
#include "ledger/fake_platform.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace endivelatch {

/// What the checker saw.
struct configuration_report {
    std::uint64_t changes = 0;
    std::uint64_t faults = 0;
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;      ///< Said not accepted, nothing changed.
    std::uint64_t undecided = 0;    ///< Stored without a confirmation, or unknown.
    std::uint64_t reversions = 0;   ///< A router had an accepted version in force, then an older.
    std::uint64_t withdrawn = 0;    ///< The same for versions that were never said to be accepted.
    std::uint64_t missing = 0;      ///< Accepted, but not in force somewhere after the bound.
    std::uint64_t lost_updates = 0; ///< Two changes accepted on the same revision.
    std::uint64_t false_refusals = 0; ///< Said not accepted, but stored.
    std::uint64_t false_accepts = 0;  ///< Said accepted, but never stored.

    std::uint64_t violations() const
    {
        return reversions + missing + lost_updates + false_refusals + false_accepts;
    }
};

/// What a test changes.
struct configuration_simulation_settings {
    std::size_t routers = 8;
    std::size_t watchers = 2;
    configuration_store_settings store;
    administration_settings administration;
    bool ignore_versions = false;
    std::vector<std::pair<std::string, std::string>> stored; ///< Objects stored at the start.
};

/// Routers' configuration reducers with links between them, gossip and one fake platform.
class configuration_simulation {
public:
    configuration_simulation(std::uint64_t seed, const configuration_simulation_settings& settings);

    /// Sends an operator's request to a router.
    void request(std::size_t n, const std::string& method, const std::string& path,
                 const std::string& body, std::optional<std::uint64_t> if_version = {});

    /// Sets the target's `max_in_flight` to a number that no other change uses.
    void change_target(std::size_t n, const std::string& id,
                       std::optional<std::uint64_t> if_version = {});

    void restart(std::size_t n);
    void pause(std::size_t n, duration length);
    void cut(std::size_t n, bool off);
    void run_for(duration length) { events_.run_until(events_.now() + length); }

    /// Heals links, pauses and losses but not an outage; waits and checks all routers.
    configuration_report finish(duration bound);

    /// Returns the number of routers that hold the version or a later one of the object.
    std::size_t count_holders(const std::string& object, object_version version) const;

    fake_platform& platform() { return platform_; }
    const configuration_store& store(std::size_t n) const { return *nodes_.at(n).store; }
    const std::vector<admin_response>& responses() const { return responses_; }
    std::uint64_t messages() const { return messages_; }
    std::uint64_t message_bytes() const { return message_bytes_; }
    configuration_report& report() { return report_; }

private:
    struct node {
        std::unique_ptr<platform_call_id_source> calls;
        std::unique_ptr<configuration_store> store;
        std::unique_ptr<administration> admin;
        std::uint64_t run = 0;
        time_point paused_until{};
        time_point next_tick = time_point::max();
        bool is_cut = false;
        std::map<std::string, object_version> highest; ///< Over all runs of the router.
    };
    struct change_state {
        std::string id;
        std::string value;
        std::optional<std::uint64_t> if_version;
    };
    using handler = std::function<configuration_effects(node&, time_point)>;

    void start(std::size_t n);
    void deliver(std::size_t n, std::uint64_t run, time_point when, const handler& what);
    void carry_out(std::size_t n, const configuration_effects& effects, time_point now);
    void send(std::size_t from, const router_id& to, std::size_t bytes, const handler& what);
    void schedule_tick(std::size_t n);
    void schedule_gossip(std::size_t n, std::uint64_t run);
    void check_versions(std::size_t n);
    void take_answer(const admin_response& answer);
    bool was_stored(const std::string& id, const std::string& value) const;

    random_source random_;
    configuration_simulation_settings settings_;
    event_queue events_;
    fake_platform platform_;
    std::vector<node> nodes_;
    std::map<std::uint64_t, change_state> changes_;
    std::vector<admin_response> responses_;
    std::map<std::string, object_version> accepted_; ///< Highest accepted version by object.
    std::set<std::pair<std::string, std::uint64_t>> replaced_;
    std::set<std::uint64_t> refused_;
    std::map<std::pair<std::size_t, std::size_t>, time_point> links_; ///< Last delivery.
    std::uint64_t last_exchange_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t message_bytes_ = 0;
    configuration_report report_;
};

/// Runs a random schedule of changes and faults.
configuration_report run_configuration_schedule(std::uint64_t seed,
                                                const configuration_simulation_settings& settings,
                                                std::size_t steps);

} // namespace endivelatch
