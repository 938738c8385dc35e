#include "serve_fleet.hpp"

#include "endivelatch/entry/fleet_status.hpp"
#include "net/loopback.hpp"

#include <functional>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;

/// Routers that read evacuations, before three replicas in a zone each.
struct evacuating_fleet : testing::Test {
    evacuating_fleet()
    {
        for (std::size_t n = 0; n < fleet.replicas.size(); ++n) {
            auto object = fleet.registration(n);
            object["Zone"] = zone(n);
            fleet.store.put("servers", fleet.replicas[n]->id(), object);
        }
        const auto& last = fleet.store.objects("servers").at(fleet.replicas.back()->id());
        const auto revision = last["Metadata"]["Revision"].get<std::int64_t>();
        for (int router = 1; router <= router_count; ++router) {
            wait_for(router, [&](const router_status& status) {
                return status.value("copy_revision{kind=\"targets\"}") >= revision;
            });
        }
    }

    static std::string zone(std::size_t replica) { return "zone-" + std::to_string(replica); }

    void evacuate(std::size_t replica)
    {
        fleet.store.put("evacuations", zone(replica), nlohmann::json::object());
    }

    /// Waits until the metrics of the router meet the condition.
    void wait_for(int router, const std::function<bool(const router_status&)>& condition)
    {
        run_until(fleet.loop, [&] {
            run_for(fleet.loop, milliseconds{20});
            const auto page = fleet.get(fleet.metrics_endpoint(router), "/metrics");
            return condition({"", "", parse_metrics(page.body)});
        });
    }

    /// Waits until all routers know this number of evacuated domains, and a target in each.
    void wait_until_all_know(std::int64_t count)
    {
        for (int router = 1; router <= router_count; ++router) {
            wait_for(router, [&](const router_status& status) {
                return status.value("evacuated_domains") == count &&
                       status.value("evacuated_targets") == count;
            });
        }
    }

    /// Sends `request_count` requests, to each router in turn; returns the numbers of those that
    /// ran, by replica.
    std::vector<std::size_t> runs_of_new_requests()
    {
        std::vector<std::size_t> runs;
        for (const auto& it : fleet.replicas) {
            runs.push_back(it->runs().size());
        }
        for (std::size_t n = 0; n < request_count; ++n) {
            const auto router = static_cast<int>(n % router_count) + 1;
            fleet.send_and_wait(router, "/unsafe/x", "r" + std::to_string(++sent));
        }
        for (std::size_t n = 0; n < runs.size(); ++n) {
            runs[n] = fleet.replicas[n]->runs().size() - runs[n];
        }
        return runs;
    }

    static constexpr int router_count = 3;
    static constexpr std::size_t request_count = 60;
    serve_fleet fleet{router_count, serve_fleet::network_path::direct, {.evacuate_ms = 5'000}};
    int sent = 0;
};

TEST_F(evacuating_fleet, evacuated_zones_get_nothing_until_they_are_taken_back)
{
    evacuate(0);
    wait_until_all_know(1);
    auto runs = runs_of_new_requests();
    EXPECT_EQ(runs[0], 0U);
    EXPECT_GT(runs[1], 0U);
    // What the operator writes besides the name does not matter.
    fleet.store.put_text("evacuations", zone(1), "{\"x\":}");
    wait_until_all_know(2);
    runs = runs_of_new_requests();
    EXPECT_EQ(runs, (std::vector<std::size_t>{0, 0, request_count}));
    evacuate(2);
    wait_until_all_know(3);
    const auto refused = fleet.send_and_wait(1, "/unsafe/x", "refused");
    EXPECT_EQ(refused.status, 503);
    EXPECT_NE(find_header_ignoring_case(refused.headers, "Retry-After"), nullptr);
    for (std::size_t n = 0; n < fleet.replicas.size(); ++n) {
        fleet.store.remove("evacuations", zone(n));
    }
    wait_until_all_know(0);
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "served").status, 200);
}

TEST_F(evacuating_fleet, a_router_restarted_without_the_store_learns_the_evacuation_from_others)
{
    fleet.routers.at(router_count)->kill();
    evacuate(0);
    fleet.store.set_mode(standins::store_standin::mode::unresponsive);
    fleet.start(router_count);
    fleet.wait_until_ready();
    wait_until_all_know(1);
    EXPECT_EQ(runs_of_new_requests()[0], 0U);
    // Taken back while the store is away: known once it is reached again.
    fleet.store.remove("evacuations", zone(0));
    run_for(fleet.loop, milliseconds{1'500});
    EXPECT_EQ(runs_of_new_requests()[0], 0U);
    fleet.store.set_mode(standins::store_standin::mode::normal);
    wait_until_all_know(0);
    // A router without load keeps to one target, so the others are taken away from it.
    evacuate(1);
    evacuate(2);
    wait_until_all_know(2);
    EXPECT_EQ(runs_of_new_requests(), (std::vector<std::size_t>{request_count, 0, 0}));
}

} // namespace
} // namespace endivelatch::serve
