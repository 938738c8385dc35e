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

/// Counts of events and invariant violations seen in a simulation.
struct configuration_report {
    std::uint64_t changes = 0;
    std::uint64_t faults = 0;
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;        ///< Answered as not accepted, nothing stored.
    std::uint64_t undecided = 0;      ///< Stored without confirmation, or outcome unknown.
    std::uint64_t reversions = 0;     ///< A router replaced an accepted version by an older one.
    std::uint64_t withdrawn = 0;      ///< The same for versions that were not answered as accepted.
    std::uint64_t missing = 0;        ///< Accepted, but missing at a ready router after the bound.
    std::uint64_t lost_updates = 0;   ///< Two changes accepted for the same revision.
    std::uint64_t false_refusals = 0; ///< Answered as not accepted, but stored.
    std::uint64_t false_accepts = 0;  ///< Answered as accepted, but never stored.

    std::uint64_t violations() const
    {
        return reversions + missing + lost_updates + false_refusals + false_accepts;
    }
};

/// Parameters of a simulation.
struct configuration_simulation_settings {
    std::size_t routers = 8;
    std::size_t watchers = 2;
    configuration_store_settings store;
    administration_settings administration;
    bool ignore_versions = false;
    std::vector<std::pair<std::string, std::string>> stored; ///< Initial platform objects.
};

/// Simulates the configuration reducers of several routers, the links and gossip between them, and
/// a platform.
class configuration_simulation {
public:
    configuration_simulation(std::uint64_t seed, const configuration_simulation_settings& settings);

    /// Sends an operator's request to router `n`.
    void request(std::size_t n, const std::string& method, const std::string& path,
                 const std::string& body, std::optional<std::uint64_t> if_version = {});

    /// Sends a request that sets a target's `max_in_flight` to a value unique to this change.
    void change_target(std::size_t n, const std::string& id,
                       std::optional<std::uint64_t> if_version = {});

    void restart(std::size_t n);
    void pause(std::size_t n, duration length);
    void set_disconnected(std::size_t n, bool disconnected);
    void run_for(duration length) { events_.run_until(events_.now() + length); }

    /// Ends all faults except a platform outage, runs for `bound` and checks all routers.
    configuration_report finish(duration bound);

    /// Returns the number of routers that hold this version of an object or a later one.
    std::size_t count_holders(const std::string& name, object_version version) const;

    fake_platform& platform() { return platform_; }
    const configuration_store& store(std::size_t n) const { return *routers_.at(n).store; }
    const std::vector<admin_response>& responses() const { return responses_; }
    std::uint64_t messages() const { return messages_; }
    std::uint64_t message_bytes() const { return message_bytes_; }
    configuration_report& report() { return report_; }

private:
    struct simulated_router {
        std::unique_ptr<platform_call_id_source> calls;
        std::unique_ptr<configuration_store> store;
        std::unique_ptr<administration> admin;
        std::uint64_t run_number = 0;
        time_point paused_until{};
        time_point next_tick = time_point::max();
        bool is_disconnected = false;
        std::map<std::string, object_version> highest; ///< By object, over all runs.
    };
    struct submitted_change {
        std::string id;
        std::string value;
        std::optional<std::uint64_t> if_version;
    };
    using handler = std::function<configuration_effects(simulated_router&, time_point)>;

    void start(std::size_t n);
    void deliver(std::size_t n, std::uint64_t run_number, time_point when, const handler& callback);
    void perform(std::size_t n, const configuration_effects& effects, time_point now);
    void send(std::size_t from, const router_id& to, std::size_t bytes, const handler& callback);
    void schedule_tick(std::size_t n);
    void schedule_gossip(std::size_t n, std::uint64_t run_number);
    void check_for_reversions(std::size_t n);
    void on_response(const admin_response& response);
    bool was_stored(const std::string& id, const std::string& value) const;

    random_source random_;
    configuration_simulation_settings settings_;
    event_queue events_;
    fake_platform platform_;
    std::vector<simulated_router> routers_;
    std::map<std::uint64_t, submitted_change> changes_;
    std::vector<admin_response> responses_;
    std::map<std::string, object_version> accepted_versions_; ///< Highest of each object.
    std::set<std::pair<std::string, std::uint64_t>> replaced_revisions_;
    std::set<std::uint64_t> rejected_changes_;
    /// Time of the last delivery on each link; later messages arrive later.
    std::map<std::pair<std::size_t, std::size_t>, time_point> last_deliveries_;
    std::uint64_t last_exchange_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t message_bytes_ = 0;
    configuration_report report_;
};

/// Runs a random schedule of changes and faults that is determined by `seed`.
configuration_report run_configuration_schedule(std::uint64_t seed,
                                                const configuration_simulation_settings& settings,
                                                std::size_t steps);

} // namespace endivelatch
