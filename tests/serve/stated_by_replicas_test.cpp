#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <deque>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct three_routers : testing::Test {
    serve_fleet fleet{3};
    int sent = 0;
};

// Incident 2026-12-04-limits-of-targets-ignored, over real processes. Each router by itself stays
// within the limit.
TEST_F(three_routers, all_together_stay_within_the_limit_that_replicas_state)
{
    constexpr double limit = 3;
    for (const auto& it : fleet.replicas) {
        it->set_statements({{"Server-Limit", "3"}});
    }
    std::map<std::string, std::deque<time_point>> arrivals;
    std::map<std::string, std::size_t> counts;
    std::size_t most = 0;
    int refused = 0;
    const auto begins_at = fleet.loop.now();
    while (fleet.loop.now() - begins_at < seconds{9}) {
        const auto n = std::to_string(++sent);
        const auto& response =
            fleet.wait_for_response(fleet.send(sent % 3 + 1, "/safe/x", "r" + n, "key"));
        refused += response.status == 503 ? 1 : 0;
        for (const auto& it : fleet.replicas) {
            auto& window = arrivals[it->id()];
            if (it->runs().size() > counts[it->id()]) {
                counts[it->id()] = it->runs().size();
                window.push_back(fleet.loop.now());
            }
            while (!window.empty() && fleet.loop.now() - window.front() > seconds{4}) {
                window.pop_front();
            }
            if (fleet.loop.now() - begins_at > seconds{5}) {
                most = std::max(most, window.size());
            }
        }
        run_for(fleet.loop, milliseconds{15});
    }
    EXPECT_LE(static_cast<double>(most), 1.5 * 4 * limit + 5);
    EXPECT_GT(refused, 0);
    for (const auto& it : fleet.replicas) {
        EXPECT_GE(static_cast<double>(it->runs().size()), 0.75 * 9 * limit);
        it->set_statements({});
    }
    run_for(fleet.loop, seconds{3});
    for (int n = 0; n < 30; ++n) {
        fleet.send_and_wait(n % 3 + 1, "/safe/x", "last" + std::to_string(n));
    }
    EXPECT_EQ(fleet.send_and_wait(1, "/safe/x", "after").status, 200);
}

TEST_F(three_routers, a_replica_that_states_that_it_leaves_gets_no_new_requests)
{
    fleet.replicas.front()->set_statements({{"Server-Leaving", "1"}});
    std::map<int, bool> has_seen;
    std::size_t allowed = 0;
    for (int n = 0; n < 90; ++n) {
        const int router = n % 3 + 1;
        const auto before = fleet.replicas.front()->runs().size();
        const auto& response = fleet.send_and_wait(router, "/safe/x", "r" + std::to_string(n));
        EXPECT_EQ(response.status, 200);
        if (fleet.replicas.front()->runs().size() > before) {
            EXPECT_FALSE(has_seen[router]) << router;
            has_seen[router] = true;
            ++allowed;
        }
    }
    EXPECT_EQ(fleet.replicas.front()->runs().size(), allowed);
}

} // namespace
} // namespace endivelatch::serve
