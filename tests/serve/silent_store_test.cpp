#include "net/loopback.hpp"
#include "serve/serve_fleet.hpp"

#include "endivelatch/entry/watchers.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of the platform for a leaving replica to get no more requests.
constexpr duration drain_time = seconds{2};
/// Routers that know only a part of the fleet at their start watch the store for up to 5 s.
constexpr duration settle_time = seconds{10};

/// A fleet large enough that most routers follow others. Single routers can be cut off from the
/// store without a sign: nothing is closed, and the kernels acknowledge what was sent.
struct silent_store : testing::Test {
    silent_store()
    {
        for (int n = 1; n <= router_count; ++n) {
            member router;
            router.id = router_id{"edge-" + std::to_string(n)};
            router.domain = domain_id{"zone"};
            live.push_back(router);
        }
        run_for(fleet.loop, settle_time);
    }

    /// Returns the routers with one of the tasks.
    std::vector<int> with_roles(const std::set<reader_role>& roles) const
    {
        std::vector<int> found;
        for (int n = 1; n <= router_count; ++n) {
            const auto& id = live[static_cast<std::size_t>(n - 1)].id;
            if (roles.contains(plan_reading(live, id).role)) {
                found.push_back(n);
            }
        }
        return found;
    }

    /// Cuts the routers off, lets a replica leave and expects that no other router sends to it
    /// after the bound.
    void expect_no_late_request(const std::vector<int>& cut)
    {
        ASSERT_FALSE(cut.empty());
        for (const auto router : cut) {
            fleet.silence_store(router);
        }
        run_for(fleet.loop, milliseconds{100});
        fleet.store.put("servers", fleet.replicas[0]->id(), fleet.registration(0, "draining"));
        run_for(fleet.loop, drain_time);
        std::vector<outgoing_id> sent;
        for (int router = 1; router <= router_count; ++router) {
            for (int n = 0;
                 n < requests_each && std::find(cut.begin(), cut.end(), router) == cut.end(); ++n) {
                sent.push_back(fleet.send(router, "/safe/x", attempt(router, n), "key", "GET"));
            }
        }
        for (const auto id : sent) {
            EXPECT_EQ(fleet.wait_for_response(id).status, 200);
        }
        for (int router = 1; router <= router_count; ++router) {
            int late = 0;
            for (int n = 0; n < requests_each; ++n) {
                late += fleet.replicas[0]->runs().contains(attempt(router, n)) ? 1 : 0;
            }
            EXPECT_EQ(late, 0) << "router " << router << ":\n" << fleet.log(router);
        }
    }

    static std::string attempt(int router, int n)
    {
        return "late-" + std::to_string(router) + "-" + std::to_string(n);
    }

    static constexpr int router_count = 12;
    static constexpr int requests_each = 6;
    std::vector<member> live;
    serve_fleet fleet{router_count, serve_fleet::network_path::own_store_proxies};
};

// Followers took a watcher's "nothing newer" for up to date although its own watch was silent, and
// sent to a replica 2.9 s after the store had accepted that it leaves (review/14).
TEST_F(silent_store, of_all_watchers_does_not_keep_followers_from_a_leaving_replica)
{
    expect_no_late_request(with_roles({reader_role::lead, reader_role::relay}));
}

TEST_F(silent_store, of_the_lead_does_not_keep_the_others_from_a_leaving_replica)
{
    expect_no_late_request(with_roles({reader_role::lead}));
}

TEST_F(silent_store, of_watchers_and_standbys_does_not_keep_followers_from_a_leaving_replica)
{
    expect_no_late_request(
        with_roles({reader_role::lead, reader_role::relay, reader_role::standby}));
}

} // namespace
} // namespace endivelatch::serve
